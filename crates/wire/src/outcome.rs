use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The state or final outcome of a job. All variants but the first two are final.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The job waits for accelerators.
    Queued,
    /// The job may have started.
    Started,
    /// The job completed.
    Done {
        /// The result, or empty if it is in the object store.
        #[serde(with = "serde_bytes")]
        result: Vec<u8>,
        /// Name of the result in the object store, or empty.
        object: String,
        /// SHA-256 of the whole result, in hexadecimal.
        digest: String,
    },
    /// The job ran and the endpoint reported a failure.
    Failed {
        /// The cause.
        reason: String,
    },
    /// The job has not run and will not run.
    NotRun {
        /// The cause.
        reason: String,
        /// How long to wait before retrying.
        retry_after: Duration,
    },
    /// The job was cancelled before it started.
    CancelledNotRun,
    /// The job was cancelled while it ran, and has stopped.
    CancelledStopped,
    /// The job may have started, and how it ended is unknown. It does not run
    /// again.
    Unknown {
        /// The cause.
        reason: String,
    },
}

impl Outcome {
    /// Returns true if the outcome is final.
    pub fn terminal(&self) -> bool {
        !matches!(self, Outcome::Queued | Outcome::Started)
    }

    /// Returns the name used in events and logs.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Queued => "queued",
            Outcome::Started => "started",
            Outcome::Done { .. } => "done",
            Outcome::Failed { .. } => "failed",
            Outcome::NotRun { .. } => "not_run",
            Outcome::CancelledNotRun => "cancelled_not_run",
            Outcome::CancelledStopped => "cancelled_stopped",
            Outcome::Unknown { .. } => "unknown",
        }
    }

    /// Returns the outcome of a job that was refused and has not run.
    pub fn not_run(reason: &str, retry_after: Duration) -> Outcome {
        Outcome::NotRun { reason: reason.to_owned(), retry_after }
    }
}
