/// The lease that the owner granted, and the worker's clock, on which it ends.
///
/// The owner's grant counts on the agent's clock, but the worker ends the lease by its own. If
/// the two drift apart, the lease must end early, never late: the owner starts the work elsewhere
/// once it takes the lease for expired, and a lease that ends late would let one task run twice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    /// A reading of the worker's clock, and the agent's clock when it was received.
    worker_clock: Option<(u64, u64)>,
    /// The agent's time at which the lease must have ended.
    end: Option<u64>,
}

/// How much slower than true time a worker's clock may run.
const MAX_CLOCK_LAG_PERCENT: u64 = 2;

impl Lease {
    /// Stores a reading of the worker's clock that was received at `now`. It was taken before,
    /// so a lease that is computed from it ends early rather than late.
    pub fn set_worker_clock(&mut self, clock: u64, now: u64) {
        self.worker_clock = Some((clock, now));
    }

    /// Extends the lease to `end` on the agent's clock. A grant that ends earlier than the known
    /// one, because it was delayed, changes nothing.
    pub fn grant(&mut self, end: u64) {
        self.end = Some(self.end.map_or(end, |known| known.max(end)));
    }

    /// Drops the reading of the worker's clock, since each incarnation has another clock.
    pub fn clear_worker_clock(&mut self) {
        self.worker_clock = None;
    }

    /// Milliseconds until the lease ends.
    pub fn remaining(&self, now: u64) -> u64 {
        self.end.map_or(0, |end| end.saturating_sub(now))
    }

    /// When the lease ends on the worker's clock, but no later than `latest` on the agent's; none
    /// without a grant or without a reading of the worker's clock.
    pub fn end_on_worker_clock(&self, latest: u64) -> Option<u64> {
        let (clock, at) = self.worker_clock?;
        let left = self.end?.min(latest).saturating_sub(at);
        Some(clock + left * (100 - MAX_CLOCK_LAG_PERCENT) / 100)
    }
}
