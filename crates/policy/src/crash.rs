//! Tasks that crash the workers on which they start.
//!
//! A task may crash each worker that starts it, about 10 ms after the start, and everything else
//! that runs on the worker is lost. Restarted without limit, one such task can take down eleven
//! workers within 5.5 s, and again each time they are back. A task is therefore given up after a
//! number of crashes in a row.
//!
//! The culprit cannot be identified where several tasks had just started on the crashed worker.
//! That is common in a pool that has lost workers: all waiting tasks start in one round on the
//! first worker that is back, and an innocent task may share four workers in a row with a bad
//! one. A suspected task is therefore started in isolation: nothing else starts on its worker at
//! about the same time. An innocent task is cleared by its first start that the worker survives.

//!
//! A worker may also end for another reason just after a start. A crash is therefore counted as
//! likely only if the start was the last thing that the worker is known to have done; if the crash
//! was noticed late, or nobody saw when it happened, it is merely possible, and more of those are
//! needed.

/// Consecutive likely crashes after which a task is given up.
const LIKELY_CRASH_LIMIT: u32 = 3;
/// Consecutive crashes, likely or possible, after which a task is given up. A task may start twice
/// after its third crash, and one crash may be lost before it is recorded.
const CRASH_LIMIT: u32 = 4;
/// Minimum time between two starts on one worker if one of them is of a suspected task, in
/// milliseconds. A task that has been listed for this long has survived its start.
pub const START_ISOLATION_MS: u64 = 300;

/// Returns whether a task is given up after this many consecutive starts that probably crashed
/// their workers, and this many in all that may have.
pub fn is_given_up(likely: u32, total: u32) -> bool {
    likely >= LIKELY_CRASH_LIMIT || total >= CRASH_LIMIT
}
