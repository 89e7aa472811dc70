use serde::{Deserialize, Serialize};

/// Machines that are to be taken down for maintenance, a few at a time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Names of the machines.
    pub machines: Vec<String>,
    /// Milliseconds within which all should have begun.
    pub duration: u64,
    /// Most machines that may be down for it at one time.
    pub most: usize,
}
