//! Workers that a task avoids after it failed there.
//!
//! In a full pool the capacity that a failed task has left is what is free, so without this the
//! task would start there again at once.

/// Milliseconds for which a task avoids a worker on which it failed. Kept short, since there may
/// be no other worker that can run the task.
pub const AVOIDANCE_MS: u64 = 2500;
/// At most one worker in this many is avoided by one step: where more fail, the workers are not the
/// cause.
const WORKERS_PER_AVOIDED: usize = 4;

/// Returns the workers that a step avoids, or none if they are too many of `all`.
pub fn limit_avoided(avoided: Vec<usize>, all: usize) -> Vec<usize> {
    if avoided.len() > max_avoided(all) { Vec::new() } else { avoided }
}

/// The number of workers, out of `workers`, that one step may avoid at the same time.
fn max_avoided(workers: usize) -> usize {
    (workers / WORKERS_PER_AVOIDED).max(1)
}
