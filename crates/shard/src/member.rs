use std::collections::BTreeSet;
use std::time::Duration;

use quincewheel_pool::Condition;
use quincewheel_wire::{LinkId, Member};

/// An agent as the owner knows it.
pub(crate) struct Agent {
    /// Its connection, while there is one.
    pub link: Option<LinkId>,
    pub member: Member,
    pub heard: Duration,
    pub lag: Lag,
    /// It declined work: left alone until then.
    pub pause: Duration,
    /// It fails what others run; tried again after a while.
    pub quarantined: Option<Duration>,
}

/// Which configuration a process has in force, and whether it misses one.
#[derive(Debug, Default)]
pub(crate) struct Lag {
    pub version: u64,
    behind: u32,
}

impl Lag {
    /// Notes the version that came with a beat.
    pub fn beat(&mut self, version: u64, recorded: u64) {
        self.version = self.version.max(version);
        self.behind = if self.version < recorded { self.behind + 1 } else { 0 };
    }

    /// True if a change must have been lost. One beat may have crossed the
    /// change on its way; a second one in a row cannot.
    pub fn lost(&mut self) -> bool {
        let lost = self.behind >= 2;
        if lost {
            self.behind = 0;
        }
        lost
    }
}

/// Calls that came over one connection. A doubled frame would otherwise be
/// taken for a new try of a job whose first try was refused as not run, and
/// the job would run after its caller was told that it did not.
#[derive(Debug, Default)]
pub(crate) struct Seen(BTreeSet<u64>);

impl Seen {
    /// How many calls are remembered. Call numbers grow, so the oldest go.
    const MOST: usize = 8192;

    /// Notes a call. False if it came before.
    pub fn first(&mut self, call: u64) -> bool {
        let first = self.0.insert(call);
        while self.0.len() > Self::MOST {
            self.0.pop_first();
        }
        first
    }
}

/// Another process that is connected to the owner.
pub(crate) enum Peer {
    /// An agent, by its worker's name.
    Agent { worker: String },
    /// An entry that forwards its callers' calls.
    Entry { name: String, heard: Duration, lag: Lag, seen: Seen },
}

impl Agent {
    /// Whether new work may go there.
    pub fn condition(&self, drained: bool, now: Duration, silence: Duration) -> Condition {
        if self.member.leaving {
            Condition::Leaving
        } else if drained {
            Condition::Drained
        } else if self.link.is_none()
            || now < self.pause
            || now.saturating_sub(self.heard) > silence
        {
            Condition::Suspect
        } else if self.quarantined.is_some() {
            Condition::Quarantined
        } else {
            Condition::Serving
        }
    }
}
