/// What ended the time in which nothing of a job ran beside free workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Resolution {
    /// A run of the job started.
    Started,
    /// The job ended.
    JobEnded,
    /// No task of the job is ready any more.
    NotReady,
    /// At least half of the pool is in use.
    PoolInUse,
    /// What is free on open workers does not hold its tasks twice.
    LessRoom,
}

impl Resolution {
    /// Returns the resolution as it is logged.
    pub fn name(self) -> &'static str {
        match self {
            Resolution::Started => "started",
            Resolution::JobEnded => "job ended",
            Resolution::NotReady => "nothing is ready",
            Resolution::PoolInUse => "half of the pool is in use",
            Resolution::LessRoom => "less room on open workers",
        }
    }
}
