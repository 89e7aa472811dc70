use serde::{Deserialize, Serialize};

use crate::advice::Advice;

/// A queue as the configuration defines it. Jobs keep a copy, so that a job
/// outlives changes of its queue.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The pool of workers that runs its tasks.
    pub pool: String,
    /// 0 comes first and may preempt others.
    pub priority: u32,
    /// Failures of one task after which its job has failed.
    pub attempts: u32,
    /// Who must be asked where a step may run; none if nobody.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advice: Option<Advice>,
    /// A job's objective is this many times its longest chain of work ...
    pub stretch: f64,
    /// ... and this many milliseconds more.
    pub slack: u64,
}
