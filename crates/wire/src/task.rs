use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::attempt::Attempt;

/// One member's part of a gang, as the owner asks an agent to prepare it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// The attempt.
    pub attempt: Attempt,
    /// The team.
    pub team: String,
    /// The request id.
    pub request: String,
    /// SHA-256 of the request's body.
    pub digest: String,
    /// Whether a second run would do no harm.
    pub idempotent: bool,
    /// The whole gang's shape.
    pub shape: quincewheel_pool::Shape,
    /// This member's ranks and the accelerators of each.
    pub ranks: Vec<(u32, u64)>,
    /// Workers of the gang, by rank of their lowest task, and their addresses.
    pub members: Vec<(String, String)>,
    /// Time left until an answer is no longer useful.
    pub deadline: Duration,
    /// Handed to the endpoint.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}

impl Task {
    /// Accelerators of all ranks.
    pub fn mask(&self) -> u64 {
        self.ranks.iter().fold(0, |mask, (_, accelerators)| mask | accelerators)
    }

    /// The worker whose agent watches over the gang.
    pub fn first(&self) -> &str {
        self.members.first().map_or("", |(worker, _)| worker)
    }
}

/// How a member's part ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Report {
    /// It never started.
    Aborted,
    /// It ran to its end.
    Done {
        /// The result of the lowest rank here, empty where it is an object.
        #[serde(with = "serde_bytes")]
        result: Vec<u8>,
        /// Name in the object store, or empty.
        object: String,
        /// SHA-256 of the whole result.
        digest: String,
    },
    /// The endpoint said that it failed.
    Failed {
        /// Why.
        reason: String,
    },
    /// It was stopped by request or because the gang was not whole.
    Stopped {
        /// Why.
        reason: String,
    },
    /// It started; how it ended is not known.
    Lost {
        /// Why.
        reason: String,
    },
}
