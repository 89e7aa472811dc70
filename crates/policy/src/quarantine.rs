//! Failures: the task's own, or its worker's.
//!
//! A worker may fail everything that it starts, within a tenth of a second, and
//! report itself well. In a full pool its places are the ones that are free, so
//! a task that failed there would start there again, and burn all its attempts
//! in less than a second. So a task does not return to a worker at which it
//! failed, and a worker at which several jobs fail, and none succeeds, is closed
//! for a while. Jobs whose tasks fail everywhere close no worker by themselves.

use std::collections::BTreeSet;

use quincewheel_job::Id;

/// Failures in a row after which a worker is closed ...
const FAILURES: u32 = 3;
/// ... if they are of so many jobs.
const JOBS: usize = 2;
/// How long it is closed at first, in milliseconds: half of what such a state
/// lasts. Doubles each time until a run succeeds there.
const CLOSED: u64 = 3000;
/// Most doublings.
const DOUBLINGS: u32 = 3;
/// A task does not return to a worker at which it failed for so many
/// milliseconds. No longer, since no other worker may be able to run it.
pub const AVOIDANCE_MS: u64 = 2500;
/// No more than one worker in so many is closed, nor avoided by one step: where
/// most fail, the cause is elsewhere.
const PART: usize = 4;

/// What speaks against a worker.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Runs that failed there in a row.
    failures: u32,
    /// Their jobs.
    jobs: BTreeSet<Id>,
    /// How often it was closed in a row.
    times: u32,
    /// It is closed until then.
    pub until: u64,
}

impl Quarantine {
    /// A run succeeded.
    pub fn reset(&mut self) {
        *self = Quarantine::default();
    }

    /// A run of a job failed. True if the worker should be closed.
    pub fn record_failure(&mut self, job: &str) -> bool {
        self.failures += 1;
        self.jobs.insert(job.to_owned());
        self.failures >= FAILURES && self.jobs.len() >= JOBS
    }

    /// Closes the worker, and tells for how many milliseconds.
    pub fn begin(&mut self, now: u64) -> u64 {
        let length = CLOSED << self.times.min(DOUBLINGS);
        self.until = now + length;
        self.times += 1;
        self.failures = 0;
        self.jobs.clear();
        length
    }
}

/// How many of so many workers may be closed at one time.
pub fn max_quarantined(workers: usize) -> usize {
    (workers / PART).max(1)
}

/// The places that a step avoids; none if they are too many of all.
pub fn limit_avoided(avoided: Vec<usize>, all: usize) -> Vec<usize> {
    if avoided.len() > max_quarantined(all) { Vec::new() } else { avoided }
}
