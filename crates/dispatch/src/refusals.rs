//! Delays after refused starts.
//!
//! Without a delay, a start that is refused is ordered again in the next round of planning, up to a
//! thousand times a second: each takes a run number, a call and a log line.

use quincewheel_job::Id;
use quincewheel_wire::Refused;

use crate::agent::Agent;
use crate::entry::Key;
use crate::owner::Owner;

/// First backoff after a refused start: about ten times what a start and its refusal take.
const FIRST_BACKOFF_MS: u64 = 50;
/// Most doublings of the backoff, to 1.6 s. That delays work for a worker with capacity again by
/// half of it on average, and costs less than one refused start a second.
const MAX_DOUBLINGS: u32 = 5;

/// Consecutive starts that one worker refused, or that were refused for one step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Refusals {
    /// How many; those that were ordered together count as one.
    pub count: u32,
    /// When the last one was counted.
    counted_at: u64,
    /// When the backoff ends, until which nothing new is ordered; 0 if there is none.
    pub until: u64,
    /// Why the last one was refused.
    pub why: Option<Refused>,
}

impl Refusals {
    /// Counts a refusal and extends the backoff.
    fn record(&mut self, why: Refused, now: u64) {
        self.until = self.until.max(now + (FIRST_BACKOFF_MS << self.count.min(MAX_DOUBLINGS)));
        self.count += 1;
        self.counted_at = now;
        self.why = Some(why);
    }

    /// The same for a step, of a start that was ordered at `ordered_at`. The step may start again at once
    /// after the first refusal, since the cause may be gone.
    fn record_for_step(&mut self, why: Refused, ordered_at: u64, now: u64) {
        if ordered_at < self.counted_at {
            return;
        }
        let doublings = self.count.checked_sub(1).map(|count| count.min(MAX_DOUBLINGS));
        self.until = now + doublings.map_or(0, |doublings| FIRST_BACKOFF_MS << doublings);
        self.count += 1;
        self.counted_at = now;
        self.why = Some(why);
    }
}

impl Owner {
    /// Delays the next start where the cause of a refusal lies: at the worker, or with the step.
    pub(crate) fn delay_after_refusal(
        &mut self,
        name: &str,
        (id, key, ordered_at): (&Id, Key, u64),
        why: Refused,
        now: u64,
    ) {
        *self.refused_counts.entry(why).or_default() += 1;
        match why {
            Refused::Ticket | Refused::Old => {
                self.delay_step(id, (key.0, key.1), (why, ordered_at), now);
            }
            // Not for want of capacity, so the worker does not become the last choice.
            Refused::Leaving | Refused::Lease | Refused::Fence => {
                if let Some(agent) = self.agents.get_mut(name) {
                    agent.refusals.record(why, now);
                }
            }
            Refused::Room
            | Refused::Busy
            | Refused::Unreachable
            | Refused::Invalid
            | Refused::Silent => self.back_off(name, why, now),
        }
    }

    /// Starts a backoff for a worker that refused a start although it appeared to fit: it has less
    /// capacity than recorded, or is unhealthy. Without the backoff it would refuse hundreds of
    /// starts a second where no other worker suits the task.
    fn back_off(&mut self, name: &str, why: Refused, now: u64) {
        let last = now + self.settings.failure_cooldown / 10;
        if let Some(agent) = self.agents.get_mut(name) {
            agent.deprioritized_until = agent.deprioritized_until.max(last);
            agent.refusals.record(why, now);
        }
    }

    /// Starts a backoff for a step.
    fn delay_step(
        &mut self,
        id: &str,
        at: (u32, u32),
        (why, ordered_at): (Refused, u64),
        now: u64,
    ) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let refusals = entry.refused_starts.entry(at).or_default();
        refusals.record_for_step(why, ordered_at, now);
        let until = refusals.until;
        self.refused_until = Some(self.refused_until.map_or(until, |at| at.min(until)));
    }

    /// Lets workers take starts again, and steps start again, whose backoff is over.
    pub(crate) fn end_backoffs(&mut self, now: u64) {
        let expired = |agent: &&mut Agent| agent.refusals.until > 0 && now >= agent.refusals.until;
        for agent in self.agents.values_mut().filter(expired) {
            agent.refusals.until = 0;
            self.replan = true;
        }
        if self.refused_until.take_if(|at| *at <= now).is_some() {
            self.replan = true;
            let steps = self.jobs.values().flat_map(|entry| entry.refused_starts.values());
            self.refused_until = steps.map(|step| step.until).filter(|until| *until > now).min();
        }
    }

    /// Returns how many starts were refused under this owner, by cause.
    pub fn refused_starts(&self) -> impl Iterator<Item = (Refused, u64)> {
        self.refused_counts.iter().map(|(why, count)| (*why, *count))
    }
}
