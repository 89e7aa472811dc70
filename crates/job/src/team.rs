use serde::{Deserialize, Serialize};

/// A team and what it is guaranteed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Accelerators that belong to its jobs of priority 0 at all times.
    pub guaranteed: u64,
}
