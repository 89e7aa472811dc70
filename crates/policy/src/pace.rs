//! How fast tasks may work that fill what others leave idle, and which runs do not go
//! on at all.

/// From this part of its target on, in percent, a task that serves is close to
/// it: its neighbours slow down.
const CLOSE: u64 = 80;
/// Below this part of its target, its neighbours speed up again.
const EASY: u64 = 55;
/// By so many percent at a time: a share that was too much is cut at once, one
/// that was too little costs only time.
const STEP: u32 = 10;

/// A run whose progress stands still for this part of its estimate, and for
/// [`STILL`], does not go on.
const STILL_SHARE: u64 = 4;
/// The shortest standstill, in milliseconds: two looks at the worker.
const STILL: u64 = 2500;

/// The share of its speed, in percent, at which a task that fills works next, where the
/// worst of the tasks that serve there is at `load` percent of its target.
pub fn next_pace(percent: u32, load: u64) -> u32 {
    match load {
        100.. => 0,
        CLOSE..100 => percent / 2,
        EASY..CLOSE => percent,
        _ => (percent + STEP).min(100),
    }
}

/// True if a run that was estimated at `estimate` milliseconds and has got no further
/// for `still` does not go on. Without an estimate nothing can be said.
///
/// Workers that merely turned slow are not told apart from tasks that take long:
/// estimates are off by up to 0.9, and a task away from its rack takes three times as
/// long. Moving what seemed to need three times its estimate cut the mean worth of eight
/// seeds from 0.82 and 0.75 to 0.78 and 0.41.
pub fn is_stalled(estimate: u64, still: u64) -> bool {
    estimate > 0 && still >= STILL.max(estimate / STILL_SHARE)
}
