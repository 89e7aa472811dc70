use crate::rows::Ownership;

/// Decides when this candidate claims the ownership.
///
/// An owner rewrites its row several times within the claim timeout. A candidate that reads the
/// table's changes without a gap and sees no new version of the row for that long claims the
/// ownership. A candidate that cannot read the table waits, since the owner may be healthy. Time
/// without table access does not count, since the owner may not have reached the table either.
#[derive(Debug)]
pub struct Election {
    name: String,
    incarnation: u64,
    /// Milliseconds without a new version of the owner's row after which it is replaced.
    claim_timeout: u64,
    /// Since when the table is known to have no owner row.
    unowned_since: Option<u64>,
    /// The version of the row at which the previous owner handed over to this entry.
    handover_version: Option<u64>,
    /// The row's version, and since when it has been unchanged without a gap in the reads.
    unchanged: Option<(u64, u64)>,
    /// When the table's changes were last read completely.
    last_read: u64,
    /// Since when the owner's connection has been lost; none while it is open or if there never
    /// was one.
    disconnected_since: Option<u64>,
    /// When the owner's last heartbeat arrived; none before the first and without a connection.
    last_heartbeat: Option<u64>,
    /// How much longer than the first candidate this one waits, in milliseconds.
    stagger: u64,
}

/// How much longer the second candidate waits than the first. A claim takes 10 ms, and the others
/// read the change feed every 40 ms. Without the wait all candidates claim at once, and a machine
/// that is too small may win.
const FIRST_STAGGER_MS: u64 = 60;

/// How much longer each further candidate waits than the one before it. A claim that loses the
/// race costs only one write.
const STAGGER_STEP_MS: u64 = 20;

/// Longest stagger. If that many larger machines are down, a few refused writes cost less than a
/// longer wait.
const MAX_STAGGER_MS: u64 = 400;

/// How long candidates wait if there was never an owner. The entries have just started, within
/// 300 ms of one another, and must announce themselves first.
const BOOTSTRAP_DELAY_MS: u64 = 500;

/// How long a draining entry leaves a vacant ownership to others: ten times what a claim takes.
const DRAINING_DELAY_MS: u64 = 300;

/// Longest gap between two reads that does not restart a candidate's timeout. Candidates poll every
/// 400 ms, and a slow table answers within about 450 ms. Without this, every entry would claim the
/// ownership as soon as a table returns after an outage longer than the claim timeout.
const MAX_READ_GAP_MS: u64 = 1000;

/// An owner that lost its connection, or sends no heartbeats, is replaced after this time unless
/// it reconnects or writes its row. A running owner reconnects within 400 ms.
pub(crate) const OWNER_TIMEOUT_MS: u64 = 700;

impl Election {
    /// Creates a candidate that claims after the row has been unchanged for `claim_timeout`
    /// milliseconds.
    pub fn new(name: &str, incarnation: u64, claim_timeout: u64) -> Election {
        Election {
            name: name.to_owned(),
            incarnation,
            claim_timeout,
            unowned_since: None,
            handover_version: None,
            unchanged: None,
            last_read: 0,
            disconnected_since: None,
            last_heartbeat: None,
            stagger: 0,
        }
    }

    /// Sets how many candidates precede this one. Each waits a little longer than the one before
    /// it, so that they rarely race and the largest running machine becomes the owner.
    pub fn set_rank(&mut self, rank: usize) {
        self.stagger = match rank as u64 {
            0 => 0,
            rank => (FIRST_STAGGER_MS + (rank - 1) * STAGGER_STEP_MS).min(MAX_STAGGER_MS),
        };
    }

    /// Handles a hand-over by the previous owner to this entry; the row now has this version.
    pub fn on_handover(&mut self, version: u64) {
        self.handover_version = Some(version);
    }

    /// Handles a read of the table that found no owner row.
    pub fn on_unowned(&mut self, now: u64) {
        self.unowned_since.get_or_insert(now);
    }

    /// Handles a connection from the owner.
    pub fn on_owner_connected(&mut self) {
        self.disconnected_since = None;
        self.last_heartbeat = None;
    }

    /// Handles a heartbeat of the owner.
    pub fn on_owner_heartbeat(&mut self, now: u64) {
        self.last_heartbeat = Some(now);
    }

    /// Handles the loss of the owner's connection.
    pub fn on_owner_disconnected(&mut self, now: u64) {
        self.disconnected_since = Some(now);
        self.last_heartbeat = None;
    }

    /// Handles a read of the table that found the owner's row at this version.
    pub fn observe_row(&mut self, version: u64, now: u64) {
        if self.unchanged.is_none_or(|(known, _)| known < version) {
            self.unchanged = Some((version, now));
            // The writer is alive, and a new owner opens connections of its own.
            self.disconnected_since = None;
            self.last_heartbeat = self.last_heartbeat.map(|_| now);
        } else if now > self.last_read + MAX_READ_GAP_MS {
            self.unchanged = Some((version, now));
        }
        self.last_read = now;
    }

    /// Returns whether this candidate should claim the ownership now. `current` is when the table's
    /// changes were last known to be read completely.
    ///
    /// A `draining` candidate claims only an ownership that was handed over and that nobody else
    /// has claimed. In a rolling restart all running entries may be draining, and a short
    /// ownership is better than none.
    pub fn should_claim(
        &self,
        owner: Option<&(Ownership, u64)>,
        current: u64,
        now: u64,
        draining: bool,
    ) -> bool {
        let Some((owner, version)) = owner else {
            let delay_has_passed = |since| now >= since + BOOTSTRAP_DELAY_MS + self.stagger;
            return !draining && self.unowned_since.is_none_or(delay_has_passed);
        };
        let unchanged = self.unchanged.filter(|(known, _)| known == version);
        if draining {
            let unclaimed = unchanged.is_some_and(|(_, since)| now >= since + DRAINING_DELAY_MS);
            return owner.holder.is_empty() && unclaimed;
        }
        // The previous incarnation of this process has ended.
        let restarted = owner.holder == self.name && owner.incarnation != self.incarnation;
        let timeout = self.claim_timeout + self.stagger;
        let stale = unchanged.is_some_and(|(_, since)| current >= since + timeout);
        // An owner that lost its connection has ended, or it reconnects or writes its row
        // within this time.
        let disconnected = self
            .disconnected_since
            .is_some_and(|since| now >= since + OWNER_TIMEOUT_MS + self.stagger);
        // A power loss or a network partition breaks no connection: heartbeats stop and the row
        // stays unchanged.
        let silent =
            self.last_heartbeat.is_some_and(|at| now >= at + OWNER_TIMEOUT_MS + self.stagger)
                && unchanged
                    .is_some_and(|(_, since)| current >= since + OWNER_TIMEOUT_MS + self.stagger);
        let turn_reached = unchanged.is_some_and(|(_, since)| now >= since + self.stagger);
        let is_next = self.stagger == 0 || turn_reached || self.handover_version == Some(*version);
        let vacant = owner.holder.is_empty() && is_next;
        restarted || disconnected || silent || vacant || (stale && now < current + timeout)
    }
}
