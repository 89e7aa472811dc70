use std::sync::atomic::{AtomicU64, Ordering};

/// Bounds the lines about one kind of event, which somebody else may cause at any
/// rate: a line a second, with the number of those before it that were left out.
#[derive(Debug, Default)]
pub struct Limit {
    /// No line before this time, in milliseconds.
    next: AtomicU64,
    held: AtomicU64,
}

/// Milliseconds between two lines.
const PAUSE: u64 = 1000;

impl Limit {
    /// How many events have had no line since the last one, if this one may have
    /// a line at `now`.
    pub fn pass(&self, now: u64) -> Option<u64> {
        let next = self.next.load(Ordering::Relaxed);
        let won = now >= next
            && self
                .next
                .compare_exchange(next, now + PAUSE, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok();
        if won {
            return Some(self.held.swap(0, Ordering::Relaxed));
        }
        self.held.fetch_add(1, Ordering::Relaxed);
        None
    }
}
