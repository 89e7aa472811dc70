//! Clocks that include the time during which the machine is suspended.
//!
//! Timers use the runtime's clock, which stops while the machine is suspended.
//! Leases, ownership and the age of a configuration must include that time.
//! Otherwise, a process that resumes would act on leases that others already treat
//! as expired.

use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since the machine booted, including suspended time.
pub fn boot() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has CLOCK_BOOTTIME");
    let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec()).unwrap_or(0);
    seconds * 1000 + nanos / 1_000_000
}

/// Returns the milliseconds since the Unix epoch, by the system's wall clock.
pub fn wall() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
