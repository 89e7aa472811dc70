/// The order in which gangs may claim capacity: guaranteed gangs, then by priority, then by
/// the level of the team, then the longest wait.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Turn {
    /// The step is not covered by its team's guarantee.
    pub borrowed: bool,
    /// The priority of its queue; 0 is the highest.
    pub priority: u32,
    /// The level of its team above its share.
    pub level: u8,
    /// Since when it has been waiting.
    pub waiting_since: u64,
    /// The version of the job's row, which orders jobs by acceptance.
    pub version: u64,
}
