//! Workers that refuse starts.

use crate::agent::Agent;
use crate::owner::Owner;

/// A worker that refused a start is left alone for so many milliseconds at first: some
/// ten times what a start and its refusal take.
const FIRST: u64 = 50;
/// Most doublings, to 1.6 s: what it adds to the wait for a worker that has room again
/// is half of that on average, and it costs less than one start a second.
const DOUBLINGS: u32 = 5;

/// Starts that one worker refused in a row.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Refusals {
    count: u32,
    /// Nothing new is ordered there until then; 0 if it is open.
    pub until: u64,
}

impl Refusals {
    fn note(&mut self, now: u64) {
        self.until = self.until.max(now + (FIRST << self.count.min(DOUBLINGS)));
        self.count += 1;
    }
}

impl Owner {
    /// A worker refused a start, though it should not have been ordered one: it has less
    /// room than is believed, or is unhealthy. Asked again at once, it would refuse
    /// hundreds of times a second where no other worker suits the task.
    pub(crate) fn refused(&mut self, name: &str, now: u64) {
        let last = now + self.settings.doubt / 10;
        if let Some(agent) = self.agents.get_mut(name) {
            agent.doubted_until = agent.doubted_until.max(last);
            agent.refusals.note(now);
        }
    }

    /// Opens workers that were left alone for long enough.
    pub(crate) fn ask_refusers(&mut self, now: u64) {
        let over = |agent: &&mut Agent| agent.refusals.until > 0 && now >= agent.refusals.until;
        for agent in self.agents.values_mut().filter(over) {
            agent.refusals.until = 0;
            self.replan = true;
        }
    }
}
