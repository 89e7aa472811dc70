use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Id;

/// Identifies a task.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Task {
    /// Its job.
    pub job: Id,
    /// The occurrence of a scheduled job, counted from 0; 0 for other jobs.
    pub occurrence: u32,
    /// Its step, counted from 0.
    pub step: u32,
    /// Its index in the step, counted from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// A run of a task, as its worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The task.
    pub task: Task,
    /// The number of the run, which increases with each start of the task.
    pub number: u64,
    /// The newest checkpoint; empty if there is none.
    pub saved: String,
    /// Its progress in percent.
    pub percent: u32,
    /// A rough measure of what it uses or how it serves.
    pub gauge: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum How {
    /// Its work is complete.
    Done,
    /// It failed, by its own fault or the worker's; counts as an attempt.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// The end of a run, as its worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct End {
    /// The number of the end, counted from 1 for each incarnation of a worker.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u64,
    /// How it ended.
    pub how: How,
    /// The newest checkpoint; empty if there is none.
    pub saved: String,
}
