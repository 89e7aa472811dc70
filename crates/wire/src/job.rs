use std::time::Duration;

use quincewheel_pool::Shape;
use serde::{Deserialize, Serialize};

/// A job, as submitted by a client.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The team whose quota the job counts against.
    pub team: String,
    /// The client's idempotency key, unique within the team.
    pub request: String,
    /// Whether the job may safely run more than once.
    pub idempotent: bool,
    /// The accelerators it needs.
    pub shape: Shape,
    /// Whether the job starts before others within the team's guarantee.
    pub urgent: bool,
    /// Time remaining until the result is no longer useful.
    pub deadline: Duration,
    /// Run time that the client expects.
    pub run: Duration,
    /// Opaque data, passed to the endpoint unchanged.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
    /// SHA-256 of the request's body, in hexadecimal.
    pub digest: String,
    /// Whether the client waits for the outcome.
    pub wait: bool,
    /// Whether a previous owner had the job and may have started it. Without this,
    /// a job that ran under that owner could be reported as not run by its
    /// successor.
    pub again: bool,
    /// Whether the client asserts that this is the first try with this request id.
    pub first: bool,
}

impl Job {
    /// Returns true if the job must be recorded in the table rather than held in
    /// memory only: it must not run twice, or the client does not wait for it.
    pub fn recorded(&self) -> bool {
        !self.idempotent || !self.wait
    }
}
