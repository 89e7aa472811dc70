use std::time::Duration;

use quincewheel_pool::Share;
use serde::{Deserialize, Serialize};

use crate::job::Job;

/// A call from a client or an operator to the shard's owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ask {
    /// Submit a job.
    Submit(Job),
    /// Wait for a job's outcome.
    Wait {
        /// The client's team.
        team: String,
        /// The job's request id.
        request: String,
        /// Time remaining until the client stops waiting.
        deadline: Duration,
    },
    /// Cancel a job.
    Cancel {
        /// The client's team.
        team: String,
        /// The job's request id.
        request: String,
    },
    /// Return the state of a job.
    Get {
        /// The client's team.
        team: String,
        /// The job's request id.
        request: String,
    },
    /// Create or change a team.
    PutTeam {
        /// The team to change.
        team: String,
        /// Version that the row must have for the change to apply.
        expected: u64,
        /// SHA-256 of the team's key, in hexadecimal.
        key_digest: String,
        /// Maximum number of accelerators held at once.
        quota: u32,
    },
    /// Set a team's guaranteed shapes.
    PutGuarantee {
        /// The team to change.
        team: String,
        /// Version that the row must have for the change to apply.
        expected: u64,
        /// The shapes to guarantee.
        shares: Vec<Share>,
    },
    /// Start or end the draining of a worker.
    PutDrain {
        /// The worker's name.
        worker: String,
        /// Version that the row must have for the change to apply.
        expected: u64,
        /// True to start draining, false to end it.
        drained: bool,
    },
    /// Return the workers and teams of the pool.
    Pool,
    /// Return the configuration version in force at each process.
    Configuration,
}

impl Ask {
    /// Returns the team whose key authorizes the call, or `None` for a call that
    /// needs the operator's key.
    pub fn team(&self) -> Option<&str> {
        match self {
            Ask::Submit(job) => Some(&job.team),
            Ask::Wait { team, .. } | Ask::Cancel { team, .. } | Ask::Get { team, .. } => Some(team),
            _ => None,
        }
    }
}
