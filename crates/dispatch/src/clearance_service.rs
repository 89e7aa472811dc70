//! The clearance service as its calls show it.

use quincewheel_job::Advice;

/// Time limit for a call, as a multiple of the time that the service states for its answer: it may have
/// to finish a call first that was cut off ...
const STATED_TIMES: u64 = 2;
/// ... and an allowance beyond that.
const EXTRA_TIMEOUT_MS: u64 = 1500;
/// Delay before the next call of any step after one that got no answer. Doubled with each in a row, ...
const SERVICE_RETRY_DELAY_MS: u64 = 100;
/// ... this often at most, to 1.6 s.
const MAX_SERVICE_DOUBLINGS: u32 = 4;

/// The state of the service as its calls show it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClearanceService {
    /// Whether a request is in flight.
    pub pending: bool,
    /// No call is made before this time.
    pub retry_at: u64,
    /// Calls in a row without an answer.
    failures: u32,
    /// Its calls under this owner.
    pub calls: ClearanceCalls,
}

/// Calls to the clearance service under one owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClearanceCalls {
    /// All.
    pub sent: u64,
    /// Those for a step whose last call was of no use: no answer, or nothing new and no start.
    pub repeated: u64,
    /// Those without an answer.
    pub unanswered: u64,
}

impl ClearanceService {
    /// Records that a call was answered.
    pub fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Records that a call got no answer.
    pub fn record_failure(&mut self, now: u64) {
        let doublings = self.failures.min(MAX_SERVICE_DOUBLINGS);
        self.retry_at = now + (SERVICE_RETRY_DELAY_MS << doublings);
        self.failures += 1;
        self.calls.unanswered += 1;
    }
}

/// Returns the time limit of a call for this many workers, in milliseconds.
pub(crate) fn call_timeout_ms(advice: Advice, workers: usize) -> u64 {
    advice.call_ms(workers).saturating_mul(STATED_TIMES).saturating_add(EXTRA_TIMEOUT_MS)
}
