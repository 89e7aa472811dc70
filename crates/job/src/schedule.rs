use serde::{Deserialize, Serialize};

/// When a job's steps run, for a job that runs at set times.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// How many times the steps run.
    pub times: u32,
    /// The first time, in milliseconds since 1970.
    pub first: u64,
    /// Milliseconds between two times.
    pub every: u64,
}

impl Schedule {
    /// When an occurrence is due, in milliseconds since 1970.
    pub fn due(&self, occurrence: u32) -> u64 {
        self.first + self.every * u64::from(occurrence)
    }
}
