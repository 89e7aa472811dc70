/// What the outcomes of runs say about a worker.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Grade {
    /// A run succeeded there, and no failures have made it doubtful since.
    Sound,
    /// Nothing is known.
    #[default]
    Unknown,
    /// It probably fails what it starts.
    Doubtful,
}

impl Grade {
    /// All grades, in the order of their declaration.
    pub const ALL: [Grade; 3] = [Grade::Sound, Grade::Unknown, Grade::Doubtful];

    /// The grade's name in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Grade::Sound => "sound",
            Grade::Unknown => "unknown",
            Grade::Doubtful => "doubtful",
        }
    }
}
