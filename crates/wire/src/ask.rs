use std::time::Duration;

use quincewheel_pool::Share;
use serde::{Deserialize, Serialize};

use crate::job::Job;

/// What a caller or an operator wants of the shard's owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ask {
    /// Run a job.
    Submit(Job),
    /// Wait for a job's outcome.
    Wait {
        /// The team.
        team: String,
        /// The request id.
        request: String,
        /// Time left.
        deadline: Duration,
    },
    /// Cancel a job.
    Cancel {
        /// The team.
        team: String,
        /// The request id.
        request: String,
    },
    /// Tell where a job stands.
    Get {
        /// The team.
        team: String,
        /// The request id.
        request: String,
    },
    /// Create or change a team.
    PutTeam {
        /// The team.
        team: String,
        /// Version that the change expects.
        expected: u64,
        /// SHA-256 of the team's key, in hexadecimal.
        key_digest: String,
        /// Most accelerators held at once.
        quota: u32,
    },
    /// Set a team's guaranteed shapes.
    PutGuarantee {
        /// The team.
        team: String,
        /// Version that the change expects.
        expected: u64,
        /// The shapes.
        shares: Vec<Share>,
    },
    /// Drain a worker, or end its drain.
    PutDrain {
        /// The worker.
        worker: String,
        /// Version that the change expects.
        expected: u64,
        /// True to drain.
        drained: bool,
    },
    /// Show the pool.
    Pool,
    /// Show the configuration in force.
    Configuration,
}

impl Ask {
    /// The team whose key the caller must hold; `None` for operators' calls.
    pub fn team(&self) -> Option<&str> {
        match self {
            Ask::Submit(job) => Some(&job.team),
            Ask::Wait { team, .. } | Ask::Cancel { team, .. } | Ask::Get { team, .. } => Some(team),
            _ => None,
        }
    }
}
