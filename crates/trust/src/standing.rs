use crate::grade::Grade;
use crate::record::Record;

/// How a worker stands in one round of planning.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Standing {
    /// Its grade, with the bound on doubtful workers applied.
    pub grade: Grade,
    /// When it became doubtful. Runs that started earlier are no trials.
    pub doubted_at: u64,
    /// When the next trial may start.
    pub retry_at: u64,
    /// When the doubt ends without a trial.
    pub doubt_ends: u64,
    /// A trial runs there.
    pub on_trial: bool,
}

impl Standing {
    /// The standing of a worker with this record.
    pub(crate) fn of(record: &Record, doubt: u64, now: u64) -> Standing {
        let grade = record.grade(doubt, now);
        match grade {
            Grade::Doubtful => Standing {
                grade,
                doubted_at: record.doubted_at,
                retry_at: record.retry_at,
                doubt_ends: record.doubt_ends(doubt),
                on_trial: false,
            },
            _ => Standing { grade, ..Standing::default() },
        }
    }

    /// True if a trial of the worker may start.
    pub fn is_trial_due(&self, now: u64) -> bool {
        self.grade == Grade::Doubtful && !self.on_trial && now >= self.retry_at
    }

    /// The next time after `now` at which the passage of time alone changes what may start there.
    pub fn changes_at(&self, now: u64) -> Option<u64> {
        let doubtful = self.grade == Grade::Doubtful;
        let times = [self.retry_at, self.doubt_ends].into_iter();
        times.filter(|at| doubtful && *at > now).min()
    }
}
