use std::time::Duration;

use quincewheel_pool::Shape;
use serde::{Deserialize, Serialize};

/// A job as a caller submitted it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The team that pays.
    pub team: String,
    /// The caller's idempotency key, unique within the team.
    pub request: String,
    /// True where a second run would do no harm.
    pub idempotent: bool,
    /// The accelerators it needs.
    pub shape: Shape,
    /// Starts first within the team's guarantee.
    pub urgent: bool,
    /// Time left until an answer is no longer useful.
    pub deadline: Duration,
    /// Run time that the caller expects.
    pub run: Duration,
    /// Handed to the endpoint as it is.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
    /// SHA-256 of the request's body, in hexadecimal.
    pub digest: String,
    /// The caller waits for the outcome.
    pub wait: bool,
    /// An earlier owner had it and may have started it. Without this, a job
    /// that ran under that owner could be reported as not run by the next.
    pub again: bool,
    /// The caller vouches that there was no other try with this request id.
    pub first: bool,
}

impl Job {
    /// True if a second run could do harm or the caller does not wait: then
    /// memory alone must not carry it.
    pub fn recorded(&self) -> bool {
        !self.idempotent || !self.wait
    }
}
