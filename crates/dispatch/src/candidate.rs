use quincewheel_job::Id;

/// Tasks of one step that could start now.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// Their job.
    pub id: Id,
    /// Which time of a scheduled job.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The tasks, by index.
    pub tasks: Vec<u32>,
    /// The team's guarantee covers them: room is made for them if need be.
    pub guaranteed: bool,
    /// Lower comes first.
    pub rank: Rank,
}

/// Orders candidates: covered by a guarantee, then by priority, then by how
/// soon they must start to end within their objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    pub borrowed: bool,
    pub priority: u32,
    pub latest: i64,
    pub version: u64,
}
