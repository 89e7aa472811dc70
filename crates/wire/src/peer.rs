use quincewheel_job::{Id, Job, Progress, State};
use serde::{Deserialize, Serialize};

/// The result of a request to another entry to store a row.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The row is stored, with this version.
    Stored(u64),
    /// The row already existed and belongs to the same team.
    Known,
    /// A job of another team has this id.
    Foreign,
    /// This entry has not stored the row and will not store it.
    Refused,
    /// The row may have been stored or may still be stored.
    Unclear,
}

/// A message between entries about jobs and ownership.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Peer {
    /// Heartbeat of the owner.
    Alive,
    /// To the owner: the sender has stored this job.
    Accepted {
        /// The job.
        id: Id,
        /// The version of its row.
        version: u64,
        /// The contents of the row.
        job: Job,
    },
    /// To the owner: the sender has stored a client's cancellation.
    Cancelled {
        /// The job.
        id: Id,
    },
    /// Request to store a job, as the table does not reply to the sender.
    Store {
        /// Id of the request.
        number: u64,
        /// The job.
        id: Id,
        /// The contents of the row to write.
        job: Job,
    },
    /// Request to store a client's cancellation, as the table does not reply to
    /// the sender.
    Cancel {
        /// Id of the request.
        number: u64,
        /// The job.
        id: Id,
    },
    /// Reply to `Store` or `Cancel`.
    Stored {
        /// Id of the request.
        number: u64,
        /// The result of the request.
        verdict: Verdict,
    },
    /// Query from the owner whether the receiver can reach the table.
    Reach {
        /// Id of the request.
        number: u64,
    },
    /// Reply to `Reach`.
    Reached {
        /// Id of the request.
        number: u64,
        /// Whether the table has just replied.
        well: bool,
    },
    /// Request from the previous owner to clear the ownership row. The sender makes
    /// no more decisions.
    HandOver {
        /// The contents of the ownership row to write.
        value: String,
        /// The latest version of the row that the sender knows of.
        version: u64,
    },
    /// To the owner: query for a job's progress.
    Look {
        /// Id of the request.
        number: u64,
        /// The job.
        id: Id,
    },
    /// From the owner: reply to `Look`, read from the job's rows in the table.
    Found {
        /// Id of the request.
        number: u64,
        /// The job.
        id: Id,
        /// The progress in the row and the row's version. Sent by earlier versions
        /// only: it may take more than a frame.
        progress: Option<(Progress, u64)>,
        /// The state in the row and the row's version, or `None` if there is no such
        /// row.
        #[serde(default)]
        state: Option<(State, u64)>,
    },
}
