use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What became of a job. All but the first two are final.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It waits for accelerators.
    Queued,
    /// It may have started.
    Started,
    /// It ran to its end.
    Done {
        /// The result, or empty where it lies in the object store.
        #[serde(with = "serde_bytes")]
        result: Vec<u8>,
        /// Name in the object store, or empty.
        object: String,
        /// SHA-256 of the whole result, in hexadecimal.
        digest: String,
    },
    /// It ran and the endpoint said that it failed.
    Failed {
        /// Why.
        reason: String,
    },
    /// It did not run and will not.
    NotRun {
        /// Why.
        reason: String,
        /// When a new try makes sense.
        retry_after: Duration,
    },
    /// Cancelled before it started.
    CancelledNotRun,
    /// Cancelled while it ran, and stopped.
    CancelledStopped,
    /// It may have started; how it ended is not known. It does not run again.
    Unknown {
        /// Why.
        reason: String,
    },
}

impl Outcome {
    /// True if nothing more will happen.
    pub fn terminal(&self) -> bool {
        !matches!(self, Outcome::Queued | Outcome::Started)
    }

    /// The name used in events and logs.
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

    /// A refusal that truly did not run.
    pub fn not_run(reason: &str, retry_after: Duration) -> Outcome {
        Outcome::NotRun { reason: reason.to_owned(), retry_after }
    }
}
