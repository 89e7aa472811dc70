use crate::standing::Standing;

/// A team whose waiting steps now come after those of others, or further after them.
#[derive(Clone, Debug, PartialEq)]
pub struct Rise {
    /// The pool.
    pub pool: String,
    /// The priority of the waiting steps.
    pub priority: u32,
    /// The team.
    pub team: String,
    /// Its usage and share.
    pub standing: Standing,
    /// Number of teams that wait.
    pub waiting_teams: usize,
    /// Milliseconds since the waiting teams were determined.
    pub age: u64,
}
