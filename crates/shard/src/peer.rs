use std::collections::BTreeSet;
use std::time::Duration;

use quincewheel_pool::Condition;
use quincewheel_wire::{LinkId, Member};

/// The owner's state of an agent.
pub(crate) struct Agent {
    /// Its connection, if there is one.
    pub link: Option<LinkId>,
    pub member: Member,
    pub last_seen: Duration,
    pub config_tracker: ConfigTracker,
    /// It declined work and gets nothing new until then.
    pub backoff_until: Duration,
    /// When it was quarantined because tasks failed on it that succeed elsewhere.
    pub quarantined_at: Option<Duration>,
}

/// Tracks a peer's configuration version and detects lost updates.
#[derive(Debug, Default)]
pub(crate) struct ConfigTracker {
    pub version: u64,
    stale_heartbeats: u32,
}

impl ConfigTracker {
    /// Records the version in a heartbeat.
    pub fn on_heartbeat(&mut self, version: u64, recorded: u64) {
        self.version = self.version.max(version);
        self.stale_heartbeats = if self.version < recorded { self.stale_heartbeats + 1 } else { 0 };
    }

    /// Returns true if an update must have been lost, and resets the count. One
    /// heartbeat may have crossed the update on its way; a second one in a row cannot.
    pub fn take_missed_update(&mut self) -> bool {
        let missed = self.stale_heartbeats >= 2;
        if missed {
            self.stale_heartbeats = 0;
        }
        missed
    }
}

/// Calls received over one connection. A duplicated frame would otherwise count as
/// a new submission of a job whose first one was refused as not run, and the job
/// would run after its caller was told that it did not.
#[derive(Debug, Default)]
pub(crate) struct SeenCalls(BTreeSet<u64>);

impl SeenCalls {
    /// Number of calls that are remembered. Call numbers grow, so the oldest are
    /// evicted.
    const MAX_CALLS: usize = 8192;

    /// Records a call. Returns false if it was received before.
    pub fn insert(&mut self, call: u64) -> bool {
        let is_new = self.0.insert(call);
        while self.0.len() > Self::MAX_CALLS {
            self.0.pop_first();
        }
        is_new
    }
}

/// A process that is connected to the owner.
pub(crate) enum Peer {
    /// An agent, by its worker's name.
    Agent { worker: String },
    /// An entry that forwards its callers' calls.
    Entry {
        name: String,
        last_seen: Duration,
        config_tracker: ConfigTracker,
        seen_calls: SeenCalls,
    },
}

impl Agent {
    /// Returns the condition that decides whether the worker gets new work.
    pub fn condition(&self, drained: bool, now: Duration, timeout: Duration) -> Condition {
        if self.member.leaving {
            Condition::Leaving
        } else if drained {
            Condition::Drained
        } else if self.link.is_none()
            || now < self.backoff_until
            || now.saturating_sub(self.last_seen) > timeout
        {
            Condition::Suspect
        } else if self.quarantined_at.is_some() {
            Condition::Quarantined
        } else {
            Condition::Serving
        }
    }
}
