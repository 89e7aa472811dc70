//! Clocks beside the runtime's.
//!
//! Waits use the runtime's clock, which stands still while a machine is
//! suspended. Leases, ownership and the age of a configuration must count that
//! time, or a process that wakes up would act on what others have long taken
//! for lapsed.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Milliseconds since the machine started, suspended time included.
pub fn boot() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock");
    let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec()).unwrap_or(0);
    seconds * 1000 + nanos / 1_000_000
}

/// Milliseconds since 1970, by the time of day.
pub fn wall() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
