use quincewheel_job::{Id, Progress};
use serde::{Deserialize, Serialize};

/// What entries tell one another about jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Peer {
    /// To the owner: how far is this job?
    Look {
        /// Names the question.
        number: u64,
        /// The job.
        id: Id,
    },
    /// From the owner: the job is so far, by a row of the table.
    Found {
        /// Names the question.
        number: u64,
        /// The job.
        id: Id,
        /// What its row tells, and the row's version; none if there is no such row.
        progress: Option<(Progress, u64)>,
    },
}
