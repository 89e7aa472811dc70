//! Failures of tasks, and quarantine of the workers that cause them.
//!
//! A faulty worker may fail every task within 100 ms of its start while it reports itself
//! healthy. In a full pool its capacity is what is free, so a failed task would be placed there
//! again and use up all its attempts in less than a second. A task therefore avoids a worker
//! on which it failed, and a worker on which tasks of several jobs fail, and none succeeds, is
//! quarantined. A single job whose tasks fail everywhere causes no quarantine.

use std::collections::BTreeSet;

use quincewheel_job::Id;

/// Consecutive failures after which a worker is quarantined ...
const FAILURE_THRESHOLD: u32 = 3;
/// ... if they belong to at least this many jobs.
const MIN_DISTINCT_JOBS: usize = 2;
/// Length of the first quarantine, in milliseconds: half of what such a fault lasts. It doubles
/// each time until a run succeeds on the worker.
const INITIAL_QUARANTINE_MS: u64 = 3000;
/// Most times that the length doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Milliseconds for which a task avoids a worker on which it failed. Kept short, since there may
/// be no other worker that can run the task.
pub const AVOIDANCE_MS: u64 = 2500;
/// At most one worker in this many is quarantined, or avoided by one step: where more fail, the
/// workers are not the cause.
const WORKERS_PER_QUARANTINED: usize = 4;

/// The failures of a worker since its last success, and its quarantine.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Runs that failed in a row.
    failures: u32,
    /// The jobs of these runs.
    jobs: BTreeSet<Id>,
    /// Quarantines in a row.
    rounds: u32,
    /// When the quarantine ends, in the milliseconds of the caller's clock.
    pub until: u64,
}

impl Quarantine {
    /// Ends the quarantine and clears its history, after a run succeeded on the worker.
    pub fn reset(&mut self) {
        *self = Quarantine::default();
    }

    /// Counts a failed run of `job`. True if the worker should be quarantined.
    pub fn record_failure(&mut self, job: &str) -> bool {
        self.failures += 1;
        self.jobs.insert(job.to_owned());
        self.failures >= FAILURE_THRESHOLD && self.jobs.len() >= MIN_DISTINCT_JOBS
    }

    /// Starts a quarantine at `now` and returns its length in milliseconds.
    pub fn begin(&mut self, now: u64) -> u64 {
        let length = INITIAL_QUARANTINE_MS << self.rounds.min(MAX_DOUBLINGS);
        self.until = now + length;
        self.rounds += 1;
        self.failures = 0;
        self.jobs.clear();
        length
    }
}

/// The number of workers, out of `workers`, that may be quarantined at the same time.
pub fn max_quarantined(workers: usize) -> usize {
    (workers / WORKERS_PER_QUARANTINED).max(1)
}

/// Returns the workers that a step avoids, or none if they are too many of `all`.
pub fn limit_avoided(avoided: Vec<usize>, all: usize) -> Vec<usize> {
    if avoided.len() > max_quarantined(all) { Vec::new() } else { avoided }
}
