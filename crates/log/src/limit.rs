use std::sync::atomic::{AtomicU64, Ordering};

/// Rate limit for log lines about one kind of event that other processes may cause
/// at any rate. Allows one line per second, which can state how many were suppressed
/// before it.
#[derive(Debug, Default)]
pub struct Limit {
    /// Time in milliseconds before which no line is allowed.
    next_allowed: AtomicU64,
    /// Events suppressed since the last line.
    suppressed: AtomicU64,
}

/// Minimum time between two lines, in milliseconds.
const LINE_INTERVAL_MS: u64 = 1000;

impl Limit {
    /// Returns the number of events suppressed since the last line if a line is
    /// allowed at `now` (in milliseconds). Otherwise counts the event as suppressed
    /// and returns `None`.
    pub fn allow(&self, now: u64) -> Option<u64> {
        let next = self.next_allowed.load(Ordering::Relaxed);
        let allowed = now >= next
            && self
                .next_allowed
                .compare_exchange(
                    next,
                    now + LINE_INTERVAL_MS,
                    Ordering::Relaxed,
                    Ordering::Relaxed,
                )
                .is_ok();
        if allowed {
            return Some(self.suppressed.swap(0, Ordering::Relaxed));
        }
        self.suppressed.fetch_add(1, Ordering::Relaxed);
        None
    }
}
