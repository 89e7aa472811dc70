use serde::{Deserialize, Serialize};

use crate::advice::Advice;

/// A queue of the configuration. A job keeps a copy: the terms under which it was accepted. Its pool
/// and its clearance follow the configuration in force, and the copy only until that is known.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The pool of workers that runs its tasks.
    pub pool: String,
    /// The priority; 0 is the highest and may preempt others.
    pub priority: u32,
    /// Number of failures of one task after which its job fails.
    pub attempts: u32,
    /// The clearance that steps need; none if they need none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advice: Option<Advice>,
    /// A job's objective is this many times its critical path ...
    pub stretch: f64,
    /// ... plus this many milliseconds.
    pub slack: u64,
}
