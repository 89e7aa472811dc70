//! Re-evaluates why steps wait when workers have closed or opened without a round of planning.
//!
//! A worker that drains or stops responding lets nothing new start, so it causes no planning.
//! A step that waited for capacity may then wait for that worker instead.

use crate::cause::Cause;
use crate::close_reason::CloseReason;
use crate::owner::Owner;
use crate::tally::Restriction;

/// Time between two reviews. Log lines about one step are at least this far apart anyway.
const REVIEW_INTERVAL_MS: u64 = 1000;

/// Result of the last review.
#[derive(Debug, Default)]
pub(crate) struct Review {
    /// Earliest time of the next review.
    next_at: u64,
    /// The agents whose workers were closed.
    closed_agents: Vec<String>,
}

impl Owner {
    /// Updates the cause of steps that now wait for workers, or do so no more.
    pub(crate) fn review_waits(&mut self, now: u64) {
        if now < self.review.next_at {
            return;
        }
        self.review.next_at = now + REVIEW_INTERVAL_MS;
        let closed = |agent| CloseReason::of(agent, &self.settings, now).is_some();
        let agents = self.agents.iter().filter(|(_, agent)| closed(agent));
        let closed: Vec<String> = agents.map(|(name, _)| name.clone()).collect();
        if closed == self.review.closed_agents {
            return;
        }
        self.review.closed_agents = closed;
        // Claims on a worker that has closed move to others, and of those that are left under half
        // may be in use.
        self.replan |= !self.claims.is_empty() || !self.waits.is_empty();
        let waits = self.waits.waiting_for_workers();
        if waits.is_empty() {
            return;
        }
        let snapshot = self.snapshot(now);
        let restrictions = vec![Restriction::None; snapshot.workers.len()];
        for (step_key, wait) in waits {
            let found = self.cause(&step_key, wait.tasks, &snapshot.workers, &restrictions);
            let changed =
                |cause: &Cause| cause.is_lack_of_workers() || wait.cause.is_lack_of_workers();
            if let Some((cause, room)) = found.filter(|(cause, _)| changed(cause)) {
                self.waits.record(step_key, (wait.tasks, cause), room, now);
            }
        }
    }
}
