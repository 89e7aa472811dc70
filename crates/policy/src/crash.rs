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

/// Consecutive workers that crash just after a task starts before the task is given up. The first
/// crash may be due to another task that started at the same time. Coincidence is rare: where
/// eleven workers crash fifty times in 100 s, one of them does so in one of 90 spans of 250 ms.
pub const CRASH_LIMIT: u32 = 3;
/// Minimum time between two starts on one worker if one of them is of a suspected task, in
/// milliseconds. A task that has been listed for this long has survived its start. Longer than
/// the span in which an agent attributes a crash to a start, as its report takes time to arrive.
pub const START_ISOLATION_MS: u64 = 300;
