//! The members that a new owner waits for.

use crate::close_reason::CloseReason;
use crate::detail::list;
use crate::owner::Owner;
use crate::waits::MIN_LOGGED_WAIT_MS;

/// Time between two lines about them, in milliseconds.
const PAUSE: u64 = 1000;
/// Time between two looks at them, in milliseconds: time passes for an owner
/// with each report, too, and each look takes in all members.
const LOOK: u64 = 100;

/// What was told of the members that an owner waits for.
#[derive(Debug, Default)]
pub(crate) struct Awaited {
    /// The members, and what each lacks.
    told: Vec<(String, CloseReason)>,
    /// No look before this time.
    next: u64,
}

impl Owner {
    /// Tells whom older jobs wait for, and why, once for all of them.
    pub(crate) fn tell_unsettled(&mut self, now: u64, wall: u64) {
        let waited = now - self.claimed_at;
        if self.settled || waited < MIN_LOGGED_WAIT_MS || now < self.awaited.next {
            return;
        }
        let members = self.members(now);
        if members == self.awaited.told {
            self.awaited.next = now + LOOK;
            return;
        }
        self.awaited.next = now + PAUSE;
        let steps = self.refresh_held_back(wall);
        if steps == 0 {
            return;
        }
        let names = members.iter().map(|(name, lack)| format!("{name} {}", lack.name())).collect();
        let names = list(names);
        self.log("unsettled", "", format!("{waited} ms; {steps} older steps wait for {names}"));
        self.awaited.told = members;
    }

    /// The members that may run what a former owner started, and what each lacks.
    fn members(&self, now: u64) -> Vec<(String, CloseReason)> {
        let (last, lease) = self.predecessor_grants();
        let agents = self
            .agents
            .iter()
            .filter(|(_, agent)| !agent.is_clear_of_predecessors(last, lease, now));
        let lack =
            |agent| CloseReason::of(agent, &self.settings, self.now).unwrap_or(CloseReason::Answer);
        agents.map(|(name, agent)| (name.clone(), lack(agent))).collect()
    }
}
