use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::attempt::Attempt;

/// One member's part of a gang, which the owner asks an agent to prepare.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// The attempt that the part belongs to.
    pub attempt: Attempt,
    /// The team.
    pub team: String,
    /// The request id.
    pub request: String,
    /// SHA-256 of the request's body, in hexadecimal.
    pub digest: String,
    /// Whether the job may safely run more than once.
    pub idempotent: bool,
    /// The shape of the whole gang.
    pub shape: quincewheel_pool::Shape,
    /// This member's ranks, each with the bit mask of its accelerators.
    pub ranks: Vec<(u32, u64)>,
    /// Names and addresses of the gang's workers, ordered by their lowest rank.
    pub members: Vec<(String, String)>,
    /// Time remaining until the result is no longer useful.
    pub deadline: Duration,
    /// Opaque data, passed to the endpoint unchanged.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}

impl Task {
    /// Returns the bit mask of the accelerators of all ranks.
    pub fn mask(&self) -> u64 {
        self.ranks.iter().fold(0, |mask, (_, accelerators)| mask | accelerators)
    }

    /// Returns the gang's first worker, whose agent monitors the gang, or an empty
    /// string if there are no members.
    pub fn first(&self) -> &str {
        self.members.first().map_or("", |(worker, _)| worker)
    }
}

/// How a member's part ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Report {
    /// The part never started.
    Aborted,
    /// The part completed.
    Done {
        /// The result of this member's lowest rank, or empty if it is in the object
        /// store.
        #[serde(with = "serde_bytes")]
        result: Vec<u8>,
        /// Name of the result in the object store, or empty.
        object: String,
        /// SHA-256 of the whole result, in hexadecimal.
        digest: String,
    },
    /// The endpoint reported a failure.
    Failed {
        /// The cause.
        reason: String,
    },
    /// The part was stopped on request or because another part of the gang did not
    /// run.
    Stopped {
        /// The cause.
        reason: String,
    },
    /// The part started, and how it ended is unknown.
    Lost {
        /// The cause.
        reason: String,
    },
}
