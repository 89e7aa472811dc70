//! Tasks that crash the workers that start them.
//!
//! A task may crash each worker that starts it, some 10 ms after the start, and all that runs
//! beside it is lost. Started again without end, one took eleven workers down within 5.5 s, and
//! again each time they were back. So a task is given up after some crashes in a row.
//!
//! Who crashed a worker cannot be seen where several tasks had just started there, and in a pool
//! that has lost workers they do: all that waits starts in one round where the first worker is
//! back. A task was once lost in this way beside a bad one at four workers in a row. So a task
//! that is suspected starts by itself: nothing else starts at its worker at about that time. An
//! innocent one is cleared by its first start that its worker outlives.

/// Workers in a row that crash just after starts of a task before it is given up. The first may
/// be the doing of another task that started beside it. By chance it comes seldom: where eleven
/// workers crash fifty times in 100 s, one of them does so in one of 90 spans of 250 ms.
pub const CRASH_LIMIT: u32 = 3;
/// No two starts at one worker within this time, in milliseconds, if one of them is of a task
/// that is suspected, and a task that is listed for so long has outlived its start. Longer than
/// what an agent takes into account, as its word takes its time.
pub const START_ISOLATION_MS: u64 = 300;
