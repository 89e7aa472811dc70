/// What is known of a run's duration. Times are those of the caller's clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Run {
    /// When it started.
    pub started_at: u64,
    /// When its progress was last reported.
    pub seen_at: u64,
    /// The progress reported then, from 0 to 100.
    pub percent: u32,
    /// Its expected duration.
    pub estimate: u64,
    /// Whether its progress began at 0 when it started.
    pub from_scratch: bool,
}

/// Progress from which on it predicts the end better than the estimate, which may be wrong by a
/// factor of ten. Progress is rounded to whole percents, so below this the rounding alone gives
/// errors of 5 % and more.
const MIN_PERCENT: u32 = 10;
/// A run past its expected end is expected to take this part of its estimate in addition, ...
const OVERRUN_PARTS: u64 = 10;
/// ... and at least this many milliseconds, the time between two reports of a worker.
const MIN_OVERRUN_MS: u64 = 200;

impl Run {
    /// Returns when the run is expected to end; always later than `now`.
    pub fn expected_end(&self, now: u64) -> u64 {
        let end = match self.percent.min(100) {
            percent if percent < MIN_PERCENT => self.started_at + self.estimate,
            percent => {
                let (percent, rest) = (u64::from(percent), u64::from(100 - percent));
                let ran = self.seen_at.saturating_sub(self.started_at);
                let left = match self.from_scratch {
                    true => ran * rest / percent,
                    false => self.estimate * rest / 100,
                };
                self.seen_at + left
            }
        };
        if end > now {
            return end;
        }
        let extension = (self.estimate / OVERRUN_PARTS).max(MIN_OVERRUN_MS);
        end + ((now - end) / extension + 1) * extension
    }
}
