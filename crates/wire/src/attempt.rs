use std::fmt;

use serde::{Deserialize, Serialize};

/// The id of one attempt to run a job, made of the owner's epoch and a number
/// within that epoch. Ids are never reused, so a delayed frame of an old attempt
/// cannot be mistaken for one of a new attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt(pub u64);

impl Attempt {
    /// Returns the id of attempt `number` in `epoch`.
    pub fn new(epoch: u64, number: u32) -> Attempt {
        Attempt(epoch << 32 | u64::from(number))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0 >> 32, self.0 & 0xffff_ffff)
    }
}
