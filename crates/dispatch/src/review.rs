//! Another look at what waits, where workers changed and nothing was decided.
//!
//! A worker that drains or falls silent changes no decision, so nothing is
//! decided anew. What waits may then wait for it, and no longer for room.

use crate::cause::Cause;
use crate::close_reason::CloseReason;
use crate::owner::Owner;
use crate::tally::Bar;

/// Time between two looks, in milliseconds: a line comes no sooner than that
/// after the one before.
const PAUSE: u64 = 1000;

/// What the last look found.
#[derive(Debug, Default)]
pub(crate) struct Review {
    /// No look before this time.
    next: u64,
    /// The agents whose workers were not open.
    shut: Vec<String>,
}

impl Owner {
    /// Takes note of steps whose cause has become a lack of workers, or is none
    /// any more.
    pub(crate) fn review_waits(&mut self, now: u64) {
        if now < self.review.next {
            return;
        }
        self.review.next = now + PAUSE;
        let shut = |agent| CloseReason::of(agent, &self.settings, now).is_some();
        let agents = self.agents.iter().filter(|(_, agent)| shut(agent));
        let shut: Vec<String> = agents.map(|(name, _)| name.clone()).collect();
        if shut == self.review.shut {
            return;
        }
        self.review.shut = shut;
        let waits = self.waits.on_workers();
        if waits.is_empty() {
            return;
        }
        let snapshot = self.snapshot(now);
        let bars = vec![Bar::Open; snapshot.spots.len()];
        for (group, wait) in waits {
            let found = self.cause(&group, wait.tasks, &snapshot.spots, &bars);
            let changed = |cause: &Cause| cause.is_lack() || wait.cause.is_lack();
            if let Some((cause, room)) = found.filter(|(cause, _)| changed(cause)) {
                self.waits.note(group, (wait.tasks, cause), room, now);
            }
        }
    }
}
