/// The owner's clock for durations: the time of day at its first tick, counted on from there by the
/// monotonic clock. By the time of day, each step back would prolong every wait by as much.
#[derive(Debug, Default)]
pub(crate) struct Clock {
    /// How far the time of day was ahead of the monotonic time at the first tick; none before it.
    ahead: Option<i64>,
}

impl Clock {
    /// Returns the time of this clock at a tick, in milliseconds since 1970.
    pub fn tick(&mut self, now: u64, time_of_day: u64) -> u64 {
        let ahead = time_of_day.cast_signed().wrapping_sub(now.cast_signed());
        now.saturating_add_signed(*self.ahead.get_or_insert(ahead))
    }
}
