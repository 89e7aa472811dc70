/// The worker's clock as last seen, and the lease that the owner granted.
///
/// Two clocks are involved: the agent's, on which the owner's grant counts,
/// and the worker's, on which the lease ends. Where the two drift apart the
/// lease must end early, never late: the owner starts the work elsewhere once
/// it takes the lease for lapsed, and a lease that ended late would let one
/// task run twice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    /// The worker's clock, and the agent's when the answer that told it came.
    seen: Option<(u64, u64)>,
    /// The agent's time at which the lease must have ended.
    end: Option<u64>,
}

/// How much slower than true time a worker's clock may run, in percent.
const SLOW: u64 = 2;

impl Lease {
    /// Takes note of the worker's clock. The answer came at `now`, so the
    /// clock was read before, and the lease that is reckoned from it errs
    /// towards early.
    pub fn set_worker_clock(&mut self, clock: u64, now: u64) {
        self.seen = Some((clock, now));
    }

    /// Takes a grant that ends at `end` on the agent's clock. An earlier one
    /// that arrives late changes nothing.
    pub fn grant(&mut self, end: u64) {
        self.end = Some(self.end.map_or(end, |known| known.max(end)));
    }

    /// Forgets the worker's clock: another incarnation of the worker has another one.
    pub fn clear_worker_clock(&mut self) {
        self.seen = None;
    }

    /// Milliseconds of the lease that are left.
    pub fn remaining(&self, now: u64) -> u64 {
        self.end.map_or(0, |end| end.saturating_sub(now))
    }

    /// When the lease ends on the worker's clock, but no later than `latest` on
    /// the agent's; none without a grant.
    pub fn end_on_worker_clock(&self, latest: u64) -> Option<u64> {
        let (clock, at) = self.seen?;
        let left = self.end?.min(latest).saturating_sub(at);
        Some(clock + left * (100 - SLOW) / 100)
    }
}
