//! Backoff for workers that refuse starts.

use crate::agent::Agent;
use crate::owner::Owner;

/// First backoff after a refused start: about ten times what a start and its refusal take.
const FIRST_BACKOFF_MS: u64 = 50;
/// Most doublings of the backoff, to 1.6 s. That delays work for a worker with capacity again by
/// half of it on average, and costs less than one refused start a second.
const MAX_DOUBLINGS: u32 = 5;

/// Consecutive starts that one worker refused.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Refusals {
    count: u32,
    /// When the backoff ends, until which nothing new is ordered there; 0 if there is none.
    pub until: u64,
}

impl Refusals {
    /// Counts a refusal and extends the backoff.
    fn record(&mut self, now: u64) {
        self.until = self.until.max(now + (FIRST_BACKOFF_MS << self.count.min(MAX_DOUBLINGS)));
        self.count += 1;
    }
}

impl Owner {
    /// Starts a backoff for a worker that refused a start although it appeared to fit: it has less
    /// capacity than recorded, or is unhealthy. Without the backoff it would refuse hundreds of
    /// starts a second where no other worker suits the task.
    pub(crate) fn back_off(&mut self, name: &str, now: u64) {
        let last = now + self.settings.failure_cooldown / 10;
        if let Some(agent) = self.agents.get_mut(name) {
            agent.deprioritized_until = agent.deprioritized_until.max(last);
            agent.refusals.record(now);
        }
    }

    /// Lets workers take starts again whose backoff is over.
    pub(crate) fn end_backoffs(&mut self, now: u64) {
        let expired = |agent: &&mut Agent| agent.refusals.until > 0 && now >= agent.refusals.until;
        for agent in self.agents.values_mut().filter(expired) {
            agent.refusals.until = 0;
            self.replan = true;
        }
    }
}
