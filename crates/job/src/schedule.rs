use serde::{Deserialize, Serialize};

/// The times at which a scheduled job runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// The number of times that the steps run.
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
