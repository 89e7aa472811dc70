use std::collections::BTreeMap;

use quincewheel_job::{Resources, Step};
use quincewheel_policy::{Objective, rounds};

use crate::entry::Entry;
use crate::queues::Queues;
use crate::times::Times;

/// Estimates run times and objectives from learned run times and the size of the pools.
pub(crate) struct Estimator<'a> {
    /// Learned run times.
    pub times: &'a Times,
    /// Total capacity of the workers of each pool.
    pub pools: &'a BTreeMap<String, Resources>,
    /// The queues, which tell the pool of a job.
    pub queues: &'a Queues,
}

impl Estimator<'_> {
    /// Returns the objective of an occurrence of a job.
    pub fn objective_of(&self, entry: &Entry, occurrence: u32) -> Objective {
        let job = &entry.job;
        let begin = entry.begins_at(occurrence);
        if job.is_perpetual() {
            return Objective::perpetual(begin);
        }
        let whole = job.critical_path_by(|number, step| self.estimate(entry, number, step));
        let left = job.critical_path_by(|number, step| {
            let done = entry.progress.is_step_done(occurrence, number, step);
            if done { 0 } else { self.estimate(entry, number, step) }
        });
        Objective::new(begin, (whole, left), job.queue.stretch, job.queue.slack)
    }

    /// Returns the expected run time of a step of the job, in milliseconds. Tasks that do not fit
    /// into the pool at once run in several rounds.
    pub fn estimate(&self, entry: &Entry, number: u32, step: &Step) -> u64 {
        let pool = self.pools.get(self.queues.pool(&entry.job));
        run_time(self.times, entry, number, step) * rounds(step, pool)
    }
}

/// Returns the expected time of one run of a step of the job, in milliseconds.
pub(crate) fn run_time(times: &Times, entry: &Entry, number: u32, step: &Step) -> u64 {
    let known = entry.step_durations.get(&number).copied();
    known.unwrap_or_else(|| times.estimate(&entry.job.queue.name, step.estimate))
}
