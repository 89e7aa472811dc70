use std::collections::BTreeMap;

use quincewheel_job::{Resources, Step};
use quincewheel_policy::{Objective, rounds};

use crate::entry::Entry;
use crate::times::Times;

/// What steps are expected to take.
pub(crate) struct Guide<'a> {
    /// Learned run times.
    pub times: &'a Times,
    /// What the workers of each pool have in all.
    pub pools: &'a BTreeMap<String, Resources>,
}

impl Guide<'_> {
    /// The goal of an occurrence of a job.
    pub fn goal(&self, entry: &Entry, occurrence: u32) -> Objective {
        let job = &entry.job;
        let begin = job.schedule.map_or(job.accepted, |schedule| schedule.due(occurrence));
        if job.is_perpetual() {
            return Objective::perpetual(begin);
        }
        let whole = job.critical_path_by(|number, step| self.expect(entry, number, step));
        let left = job.critical_path_by(|number, step| {
            let done = entry.progress.is_step_done(occurrence, number, step);
            if done { 0 } else { self.expect(entry, number, step) }
        });
        Objective::new(begin, (whole, left), job.queue.stretch, job.queue.slack)
    }

    /// How long a step of the job is expected to take, in milliseconds.
    pub fn expect(&self, entry: &Entry, number: u32, step: &Step) -> u64 {
        let queue = &entry.job.queue;
        let known = entry.step_durations.get(&number).copied();
        let time = known.unwrap_or_else(|| self.times.expect(&queue.name, step.estimate));
        time * rounds(step, self.pools.get(&queue.pool))
    }
}
