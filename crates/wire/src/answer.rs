use std::time::Duration;

use quincewheel_pool::Share;
use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// The owner's reply to an [`crate::Ask`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Answer {
    /// The state of a job.
    Job {
        /// Its state or final outcome.
        outcome: Outcome,
        /// Number of attempts started so far.
        attempts: u32,
    },
    /// A change was written to the table.
    Changed {
        /// The new version of the changed row.
        version: u64,
        /// The configuration version that contains the change.
        configuration: u64,
    },
    /// The workers and teams of the pool.
    Pool {
        /// The owner's epoch.
        epoch: u64,
        /// The owner's name.
        owner: String,
        /// False while the table service does not answer.
        store: bool,
        /// The workers of the pool.
        workers: Vec<Worker>,
        /// The configured teams.
        teams: Vec<Team>,
    },
    /// The configuration version that each process has applied.
    Configuration {
        /// Latest version written by the owner.
        recorded: u64,
        /// All connected processes.
        processes: Vec<Process>,
    },
    /// The call was rejected.
    Refused(Refusal),
}

/// A worker as shown to operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Worker {
    /// The worker's name.
    pub worker: String,
    /// Its availability zone.
    pub zone: String,
    /// Its rack.
    pub rack: String,
    /// Number of accelerators installed.
    pub accelerators: u32,
    /// Number of accelerators that no attempt holds.
    pub free: u32,
    /// Whether it accepts new work, as text.
    pub condition: String,
    /// Number of tasks on it.
    pub tasks: u32,
}

/// A process and the configuration version that it has applied.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Process {
    /// The process's name.
    pub name: String,
    /// The configuration version in force there.
    pub configuration: u64,
    /// True for an entry, false for an agent.
    pub entry: bool,
}

/// A team as shown to operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Team {
    /// The team's name.
    pub team: String,
    /// Version of the team's row.
    pub version: u64,
    /// Maximum number of accelerators that it may hold at once.
    pub quota: u32,
    /// Version of its guarantee's row.
    pub guarantee_version: u64,
    /// Shapes that it is guaranteed.
    pub shares: Vec<Share>,
    /// Number of accelerators held now.
    pub held: u32,
    /// Number of queued jobs.
    pub queued: u32,
    /// Whether the whole guarantee could be reclaimed now.
    pub fits: bool,
}

/// Why a call was rejected. It does not imply anything about earlier calls with
/// the same request id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// A field of the request is wrong.
    Invalid {
        /// The name of the field.
        field: String,
        /// What is wrong with it and how to correct it.
        message: String,
    },
    /// The key does not authorize this call.
    Denied {
        /// What the caller must do to be authorized.
        message: String,
    },
    /// The team, job or worker does not exist.
    NotFound {
        /// The field that refers to it.
        field: String,
        /// What was not found.
        message: String,
    },
    /// The expected version is not the current one, or the request id was used
    /// with a different body.
    Conflict {
        /// The name of the field.
        field: String,
        /// What the request conflicts with.
        message: String,
        /// The current version, if the conflict is one of versions.
        current: u64,
    },
    /// The guaranteed shapes do not fit into the pool.
    Unfit {
        /// Which shape does not fit, and what would.
        message: String,
    },
    /// No process can serve the call now.
    Unavailable {
        /// The cause.
        message: String,
        /// How long to wait before retrying.
        retry_after: Duration,
    },
}
