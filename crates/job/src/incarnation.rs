use std::fmt;

use serde::{Deserialize, Serialize};

/// One start of a worker's process.
///
/// A worker may restart under the same id. It then runs nothing, has no state from before, and
/// numbers its ends from 1. State about a worker is therefore kept for one incarnation.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation {
    /// The worker's id.
    pub id: String,
    /// When its process started, in milliseconds since 1970; 0 on a platform where each start
    /// has another id. Distinguishes incarnations but does not order them, since the worker's clock
    /// may have been set back.
    #[serde(default)]
    pub born: u64,
}

impl From<&str> for Incarnation {
    /// The incarnation of a worker where each start has another id.
    fn from(id: &str) -> Incarnation {
        Incarnation { id: id.to_owned(), born: 0 }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            0 => write!(f, "{}", self.id),
            born => write!(f, "{} born {born}", self.id),
        }
    }
}
