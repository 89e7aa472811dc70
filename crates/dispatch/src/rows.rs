//! The system's rows in the table: their keys and what they hold.
//!
//! An entry writes `job/ID` when it accepts a job and `stop/ID` when a client
//! cancels it; the owner writes `run/ID`, the job's progress, and
//! `save/ID`, its
//! checkpoints, and `times`, learned run
//! times, and `wave/N`, when it first saw a wave; every process writes
//! `node/NAME`; the owner and whoever replaces it write `owner`.

use quincewheel_store::{Commit, Put};
use serde::{Deserialize, Serialize};

/// Key of the ownership row.
pub const OWNER_KEY: &str = "owner";

/// Key of the row that holds the run times which owners have learned.
pub const TIMES_KEY: &str = "times";

/// Parts of the table over which clients' jobs and cancellations are spread. A part takes
/// one transaction after the other: while a slow table takes 180 ms for each, a single one
/// takes 5 a second, of which the owner's own writes need all, and refuses what waits for
/// longer than a second. Clients then wait for seconds, with 200 jobs accepted in 34 s. An
/// eighth of them is less than one a second for each part.
const JOB_PARTS: [&str; 8] = ["0", "1", "2", "3", "4", "5", "6", "7"];

/// The part that the owner's rows and members' lie in.
const MAIN_PART: &str = "";

/// The part of the table that a row lies in.
pub fn part_of(key: &str) -> &'static str {
    match key.split_once('/') {
        Some(("job" | "stop", id)) => {
            let sum = id.bytes().fold(0, |sum: usize, byte| sum * 31 % 8191 + usize::from(byte));
            JOB_PARTS[sum % JOB_PARTS.len()]
        }
        _ => MAIN_PART,
    }
}

/// All parts that hold rows, jobs first: their checkpoints, which are in the main one, are
/// taken in only after them.
pub fn parts() -> impl Iterator<Item = &'static str> {
    JOB_PARTS.into_iter().chain([MAIN_PART])
}

/// Key of a job's row.
pub fn job_key(id: &str) -> String {
    format!("job/{id}")
}

/// Key of the row that tells how far a job is.
pub fn progress_key(id: &str) -> String {
    format!("run/{id}")
}

/// Key of the row that cancels a job. It stays when the job is unknown, so
/// that a submission which a network holds up finds it.
pub fn cancellation_key(id: &str) -> String {
    format!("stop/{id}")
}

/// Key of the row that holds a job's checkpoints.
pub fn checkpoints_key(id: &str) -> String {
    format!("save/{id}")
}

/// Key of a process's row.
pub fn node_key(name: &str) -> String {
    format!("node/{name}")
}

/// Key of the row that tells when a wave of maintenance was first seen.
pub fn wave_key(number: u64) -> String {
    format!("wave/{number}")
}

/// What owners know of a wave of maintenance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// When it was first seen, in milliseconds since 1970.
    pub at: u64,
    /// All its machines have begun. A later owner must not begin anew.
    #[serde(default)]
    pub done: bool,
}

/// Who owns the deployment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ownership {
    /// The entry; empty if the last one handed over.
    pub holder: String,
    /// Drawn when its process started.
    pub incarnation: u64,
    /// Rises with each change of owner.
    pub epoch: u64,
    /// Rises with each record of one owner.
    pub sequence: u64,
    /// Nothing that an owner before this one started can be unknown any more.
    #[serde(default)]
    pub settled: bool,
}

impl Ownership {
    /// True if no owner up to this one grants a lease any more, as the entry `name`
    /// can tell at its own claim: the holder handed over, or was this very entry,
    /// whose former incarnation has ended. That holds for the owners before only if the
    /// holder had outlived what they granted; one that was cut off may not know yet
    /// that it was replaced twice.
    pub fn grants_ended(&self, name: &str) -> bool {
        self.settled && (self.holder.is_empty() || self.holder == name)
    }
}

/// Where a process of the system is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Node {
    /// Where other processes reach it.
    pub address: String,
    /// It is an entry, not an agent.
    #[serde(default)]
    pub entry: bool,
    /// What its machine gives it; nothing is known of an agent's.
    #[serde(default)]
    pub size: Size,
}

/// What a machine gives a process. The order is that of how much an owner could do there.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Size {
    /// Processor time, in thousandths of a core.
    pub processor: u64,
    /// Of its link, in Mbit/s.
    pub link: u64,
}

/// The write by which a process tells where it is.
pub fn announcement(name: &str, node: &Node) -> Commit {
    let value = serde_json::to_string(node).expect("rows are plain data");
    Commit { put: vec![Put { key: self::node_key(name), value }], ..Commit::default() }
}

/// The keys of all rows of a job.
pub fn job_keys(id: &str) -> [String; 4] {
    [job_key(id), progress_key(id), cancellation_key(id), checkpoints_key(id)]
}
