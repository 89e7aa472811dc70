use std::collections::BTreeMap;

/// Backoff for dialling processes that are not connected.
///
/// The row of a machine that has failed for good remains for some 8 s, and a network partition may
/// last longer. Dialling without a delay would cost a thread's time and a log line several times a
/// second for each.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    dials: BTreeMap<String, Dial>,
}

#[derive(Debug)]
struct Dial {
    next_at: u64,
    delay_ms: u64,
}

/// Delay before the second attempt, in milliseconds. It doubles from there.
const INITIAL_DELAY_MS: u64 = 300;
/// Longest delay, in milliseconds. On average half of it is added to the time until a recovered
/// process is connected.
const MAX_DELAY_MS: u64 = 1200;

impl Backoff {
    /// Returns true if the process is to be dialled now, and schedules the next attempt.
    pub fn begin_attempt(&mut self, address: &str, now: u64) -> bool {
        let dial = self
            .dials
            .entry(address.to_owned())
            .or_insert(Dial { next_at: 0, delay_ms: INITIAL_DELAY_MS / 2 });
        if now < dial.next_at {
            return false;
        }
        dial.delay_ms = (dial.delay_ms * 2).min(MAX_DELAY_MS);
        dial.next_at = now + dial.delay_ms;
        true
    }

    /// True if the process has been dialled exactly once.
    pub fn is_first_attempt(&self, address: &str) -> bool {
        self.dials.get(address).is_some_and(|dial| dial.delay_ms == INITIAL_DELAY_MS)
    }

    /// Resets the backoff of a process that is connected or has announced itself again.
    pub fn reset(&mut self, address: &str) {
        self.dials.remove(address);
    }

    /// Removes processes that are no longer members.
    pub fn retain_members(&mut self, is_member: impl Fn(&str) -> bool) {
        self.dials.retain(|address, _| is_member(address));
    }

    pub fn clear(&mut self) {
        self.dials.clear();
    }
}
