use quincewheel_place::{Request, WorkerIndex};

use crate::kept::Kept;
use crate::turn::Turn;

/// A gang that waits and is entitled to a claim.
#[derive(Clone, Debug)]
pub struct Gang<'a> {
    /// Its tasks, and the pool that runs them.
    pub request: Request<'a>,
    /// Its place in the order of claims.
    pub turn: Turn,
    /// Its expected run time, in milliseconds.
    pub run_time: u64,
    /// The earliest time at which it may start.
    pub not_before: u64,
    /// The workers that it must not use, in ascending order.
    pub excluded: Vec<WorkerIndex>,
    /// Its claim of the last round.
    pub kept: Option<Kept>,
}

impl Gang<'_> {
    /// True if the gang waits for a single rack that could hold it.
    pub(crate) fn prefers_one_rack(&self) -> bool {
        self.request.step.same_rack && self.request.count > 1
    }
}
