use serde::{Deserialize, Serialize};

/// A team and what it is guaranteed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Accelerators that belong to its jobs of priority 0 at all times.
    pub guaranteed: u64,
    /// Its part in what is not guaranteed, relative to those of other teams; at least 1.
    pub weight: u64,
}

impl Default for Team {
    fn default() -> Team {
        Team { name: String::new(), guaranteed: 0, weight: 1 }
    }
}
