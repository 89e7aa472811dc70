use std::time::Duration;

use quincewheel_pool::Share;
use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// The owner's answer to an [`crate::Ask`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Answer {
    /// Where a job stands.
    Job {
        /// Its state or final outcome.
        outcome: Outcome,
        /// Attempts that were started.
        attempts: u32,
    },
    /// A change was recorded.
    Changed {
        /// The item's version.
        version: u64,
        /// The configuration's version.
        configuration: u64,
    },
    /// The pool.
    Pool {
        /// The owner's epoch.
        epoch: u64,
        /// The owner's name.
        owner: String,
        /// False while the table service does not answer.
        store: bool,
        /// The workers.
        workers: Vec<Worker>,
        /// The teams.
        teams: Vec<Team>,
    },
    /// The configuration in force, by process.
    Configuration {
        /// Version recorded by the owner.
        recorded: u64,
        /// All processes that are connected.
        processes: Vec<Process>,
    },
    /// The call was not taken up.
    Refused(Refusal),
}

/// One worker, as operators see it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Worker {
    /// The worker's name.
    pub worker: String,
    /// Its availability zone.
    pub zone: String,
    /// Its rack.
    pub rack: String,
    /// Accelerators it has.
    pub accelerators: u32,
    /// Accelerators nobody holds.
    pub free: u32,
    /// Whether it may be given work.
    pub condition: String,
    /// Tasks there.
    pub tasks: u32,
}

/// One process and the configuration in force there.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Process {
    /// Its name.
    pub name: String,
    /// The version in force.
    pub configuration: u64,
    /// True for an entry, false for an agent.
    pub entry: bool,
}

/// One team, as operators see it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Team {
    /// The team's name.
    pub team: String,
    /// The version of its row.
    pub version: u64,
    /// Most accelerators it may hold.
    pub quota: u32,
    /// The version of its guarantee.
    pub guarantee_version: u64,
    /// Its guaranteed shapes.
    pub shares: Vec<Share>,
    /// Accelerators held.
    pub held: u32,
    /// Jobs waiting.
    pub queued: u32,
    /// True while the guarantee can be reclaimed in full.
    pub fits: bool,
}

/// Why a call was not taken up. Says nothing about earlier calls with the same
/// request id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// A field of the request is wrong.
    Invalid {
        /// The field.
        field: String,
        /// What is wrong and what to do.
        message: String,
    },
    /// The key does not prove that the caller may do this.
    Denied {
        /// What to do.
        message: String,
    },
    /// No such team, job or worker.
    NotFound {
        /// The field that names it.
        field: String,
        /// What was not found.
        message: String,
    },
    /// The change expected another version, or the request id has another body.
    Conflict {
        /// The field.
        field: String,
        /// What is in force.
        message: String,
        /// The current version, where versions are in question.
        current: u64,
    },
    /// The guaranteed shapes do not fit.
    Unfit {
        /// Which does not, and what would.
        message: String,
    },
    /// Nobody can take the call up now.
    Unavailable {
        /// Why.
        message: String,
        /// When a new try makes sense.
        retry_after: Duration,
    },
}
