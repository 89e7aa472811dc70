use serde::{Deserialize, Serialize};

/// A machine as the platform lists it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Machine {
    /// Its name, which stays the same when its worker restarts.
    pub name: String,
    /// Its condition.
    pub condition: Condition,
    /// The id of its worker; empty if it has none.
    pub worker: String,
}

/// The condition of a machine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Condition {
    /// It is in service.
    #[default]
    Up,
    /// It is being moved to another pool.
    Moving,
    /// It is down for maintenance.
    Maintained,
    /// It is down for another reason.
    Down,
}
