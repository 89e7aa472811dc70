use std::collections::BTreeMap;

use quincewheel_job::{Need, Step};
use quincewheel_policy::{Goal, waves};

use crate::entry::Entry;
use crate::times::Times;

/// Estimates run times and objectives from learned run times and the size of the pools.
pub(crate) struct Guide<'a> {
    /// Learned run times.
    pub times: &'a Times,
    /// Total capacity of the workers of each pool.
    pub pools: &'a BTreeMap<String, Need>,
}

impl Guide<'_> {
    /// Returns the objective of an occurrence of a job.
    pub fn objective_of(&self, entry: &Entry, occurrence: u32) -> Goal {
        let job = &entry.job;
        let begin = job.schedule.map_or(job.accepted, |schedule| schedule.due(occurrence));
        if job.perpetual() {
            return Goal::lasting(begin);
        }
        let whole = job.chain_by(|number, step| self.estimate(entry, number, step));
        let left = job.chain_by(|number, step| {
            let done = entry.progress.step_done(occurrence, number, step);
            if done { 0 } else { self.estimate(entry, number, step) }
        });
        Goal::open(begin, (whole, left), job.queue.stretch, job.queue.slack)
    }

    /// Returns the expected run time of a step of the job, in milliseconds. Tasks that do not fit
    /// into the pool at once run in several rounds.
    pub fn estimate(&self, entry: &Entry, number: u32, step: &Step) -> u64 {
        let queue = &entry.job.queue;
        let known = entry.step_durations.get(&number).copied();
        let time = known.unwrap_or_else(|| self.times.estimate(&queue.name, step.estimate));
        time * waves(step, self.pools.get(&queue.pool))
    }
}
