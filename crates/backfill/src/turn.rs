/// The order in which gangs may claim capacity: guaranteed gangs, then by priority, then by
/// the level of the team, then those in time, then the
/// longest wait.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Turn {
    /// The step is not covered by its team's guarantee.
    pub borrowed: bool,
    /// The priority of its queue; 0 is the highest.
    pub priority: u32,
    /// The level of its team above its share.
    pub level: u8,
    /// It can no longer meet its objective. Late gangs come after those in time: otherwise a pool
    /// that is short of capacity runs late work first, and makes the rest late as well.
    pub late: bool,
    /// Since when it has been waiting.
    pub waiting_since: u64,
    /// The version of the job's row, which orders jobs by acceptance.
    pub version: u64,
    /// The accelerators that all its tasks need.
    pub accelerators: u64,
}
