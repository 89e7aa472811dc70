use quincewheel_place::WorkerIndex;

/// The claim that a gang had in the last round.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Kept {
    /// The claimed workers that still accept runs, in ascending order.
    pub workers: Vec<WorkerIndex>,
    /// The claimed rack, if the gang requires a single one.
    pub rack: Option<String>,
    /// When the gang made its first claim.
    pub made_at: u64,
    /// The start that was planned when these workers were claimed.
    pub planned: u64,
}

/// A claim is abandoned only if its start is overdue by this many milliseconds. Work of 6 to 8 s
/// takes up to 1.3 times as long on slow workers, which is well within this time.
const MIN_OVERDUE_MS: u64 = 5000;
/// A claim is abandoned if it is overdue by this many times the time between it and its planned
/// start.
const OVERDUE_HORIZONS: u64 = 2;
/// A gang leaves the workers that it has claimed only for others that are available sooner by at
/// least this time, in milliseconds. Less is within the error of the estimates.
const MIN_GAIN_MS: u64 = 500;

impl Kept {
    /// True if the claim must be made anew, since its estimates have turned out to be wrong.
    ///
    /// The time is counted from the gang's first claim, so it grows with each claim that was
    /// abandoned. Otherwise a gang could leave workers again and again shortly before their runs
    /// end, while all runs take several times as long as expected.
    pub fn is_abandoned(&self, now: u64) -> bool {
        now >= self.abandoned_at()
    }

    /// When the claim must be made anew.
    pub fn abandoned_at(&self) -> u64 {
        self.planned + MIN_OVERDUE_MS.max(self.horizon() * OVERDUE_HORIZONS + 1)
    }

    /// The time from the gang's first claim to the start that was planned for this one.
    pub fn horizon(&self) -> u64 {
        self.planned.saturating_sub(self.made_at)
    }

    /// True if the gang should have started.
    pub(crate) fn is_overdue(&self, now: u64) -> bool {
        now > self.planned
    }

    /// By how much sooner other workers must be available for the gang to leave these. An overdue
    /// claim waits for late runs, of which it is not known when they end; the gang leaves them only
    /// for workers that are much better, as after the start of more urgent work on the claimed ones.
    pub(crate) fn min_gain(&self, now: u64) -> u64 {
        match self.is_overdue(now) {
            true => self.horizon().max(MIN_GAIN_MS),
            false => MIN_GAIN_MS,
        }
    }
}
