use std::collections::BTreeMap;

use quincewheel_job::{Need, Step};
use quincewheel_policy::{Goal, waves};

use crate::entry::Entry;
use crate::times::Times;

/// What steps are expected to take.
pub(crate) struct Guide<'a> {
    /// Learned run times.
    pub times: &'a Times,
    /// What the workers of each pool have in all.
    pub pools: &'a BTreeMap<String, Need>,
}

impl Guide<'_> {
    /// The goal of an occurrence of a job.
    pub fn goal(&self, entry: &Entry, occurrence: u32) -> Goal {
        let job = &entry.job;
        let begin = job.schedule.map_or(job.accepted, |schedule| schedule.due(occurrence));
        if job.perpetual() {
            return Goal::lasting(begin);
        }
        let whole = job.chain_by(|number, step| self.expect(entry, number, step));
        let left = job.chain_by(|number, step| {
            let done = entry.progress.step_done(occurrence, number, step);
            if done { 0 } else { self.expect(entry, number, step) }
        });
        Goal::open(begin, (whole, left), job.queue.stretch, job.queue.slack)
    }

    /// How long a step of the job is expected to take, in milliseconds.
    pub fn expect(&self, entry: &Entry, number: u32, step: &Step) -> u64 {
        let queue = &entry.job.queue;
        let known = entry.step_durations.get(&number).copied();
        let time = known.unwrap_or_else(|| self.times.expect(&queue.name, step.estimate));
        time * waves(step, self.pools.get(&queue.pool))
    }
}
