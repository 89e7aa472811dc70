use serde::{Deserialize, Serialize};

/// A maintenance wave: machines to be taken down, a few at a time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Names of the machines.
    pub machines: Vec<String>,
    /// Milliseconds within which the maintenance of all machines should have begun.
    pub duration: u64,
    /// Maximum number of machines that may be down for it at a time.
    pub most: usize,
}
