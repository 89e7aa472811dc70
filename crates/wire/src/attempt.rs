use std::fmt;

use serde::{Deserialize, Serialize};

/// One try at running a job: the epoch of the owner that made it and a number
/// within that epoch. Never used twice, so that late frames of an old attempt
/// cannot be taken for those of a new one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt(pub u64);

impl Attempt {
    /// The `number`th attempt of `epoch`.
    pub fn new(epoch: u64, number: u32) -> Attempt {
        Attempt(epoch << 32 | u64::from(number))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0 >> 32, self.0 & 0xffff_ffff)
    }
}
