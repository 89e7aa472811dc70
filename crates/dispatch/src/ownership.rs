//! What an owner knows of its own ownership: that the table has confirmed it, that another entry may
//! have taken over, or that no previous owner is left.

use std::collections::BTreeMap;

use crate::election::OWNER_TIMEOUT_MS;
use crate::owner::Owner;

/// A longer time without a tick or a notice means that the process was suspended. The owner ticks
/// every 100 ms, and agents send pings every second.
pub(crate) const MAX_TICK_GAP_MS: u64 = 300;

/// An owner cannot have been replaced within this time after it sent a successful write of its
/// row. The 200 ms below the earliest takeover allow for clock drift.
const OWNERSHIP_GUARANTEE_MS: u64 = OWNER_TIMEOUT_MS - 200;

impl Owner {
    /// Records that no previous owner can grant leases any more.
    ///
    /// A previous owner that may still run, cut off by the network, must be waited for until a
    /// majority of agents follows this owner, or for as long as it may grant leases without the
    /// table. Where all processes were killed and half of the workers are lost, that delays
    /// older jobs by 14.2 s instead of a lease of 6.2 s.
    pub fn predecessor_ended(&mut self) {
        self.majority_since = Some(self.claimed_at);
        self.predecessor_ended = true;
    }

    /// Sets by which versions of the table earlier epochs had been claimed. Without them, each step
    /// of an older job waits until this owner is settled.
    pub fn set_earlier_claims(&mut self, claims: &BTreeMap<u64, u64>) {
        self.earlier_claims = claims.clone();
    }

    /// Records that the table confirmed the ownership in answer to a request sent at `sent`.
    pub fn confirm_ownership(&mut self, sent: u64) {
        let waits = self.needs_confirmation();
        self.confirmed_at = self.confirmed_at.max(sent);
        self.replan |= waits && !self.needs_confirmation();
    }

    /// Returns whether work or leases wait for the table to confirm the ownership.
    pub fn needs_confirmation(&self) -> bool {
        self.confirmed_at < self.assumed_over_at.max(self.resumed_at)
    }

    /// Notices that this process was suspended since `self.now`. Other entries may have taken over
    /// meanwhile, and what agents sent before that may still wait to be processed.
    pub(crate) fn detect_suspension(&mut self, now: u64) {
        if now > self.now + MAX_TICK_GAP_MS {
            self.resumed_at = now;
        }
        self.now = now;
    }

    /// Returns whether what agents send may be taken for news of this owner's time: it has not been
    /// suspended since the table last confirmed it, and no agent follows a later owner.
    pub(crate) fn trusts_notices(&self) -> bool {
        !self.superseded && self.confirmed_at >= self.resumed_at
    }

    /// Returns whether no other entry can have taken over yet. Every candidate waits for a fixed
    /// minimum time after the last write of the owner's row that it has seen, and its claim
    /// succeeds only if that row is unchanged.
    pub fn holds_ownership(&self, now: u64) -> bool {
        now < self.renewed_at + OWNERSHIP_GUARANTEE_MS
    }

    /// Records that a write of the owner's row sent at `sent` succeeded. An earlier attempt of
    /// the same write must not count, as its effect may be older than `sent`.
    pub fn renew_ownership(&mut self, sent: u64) {
        self.renewed_at = self.renewed_at.max(sent);
    }
}
