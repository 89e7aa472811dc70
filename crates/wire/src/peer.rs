use quincewheel_job::{Id, Job, Progress};
use serde::{Deserialize, Serialize};

/// What entries tell one another about jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Peer {
    /// To the owner: the sender has stored this job.
    Accepted {
        /// The job.
        id: Id,
        /// The version of its row.
        version: u64,
        /// What the row holds.
        job: Job,
    },
    /// To the owner: the sender has stored a client's cancellation.
    Cancelled {
        /// The job.
        id: Id,
    },
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
