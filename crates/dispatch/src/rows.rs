//! The system's rows in the table: their keys and content.
//!
//! An entry writes `job/ID` when it accepts a job and `stop/ID` when a client cancels it. The
//! owner writes `run/ID`, a job's progress; `save/ID`, its checkpoints; where these would outgrow a
//! row, their further parts as `run/ID/PART` and `save/ID/PART`; `times`, `trust`, `speed`
//! and `usage`, what it learned from runs; `queues`, how queues of unfinished jobs have changed; and `wave/N`, when it first saw a wave of maintenance. Every process writes
//! `node/NAME`. The owner and the entry that replaces it write `owner`.

use quincewheel_store::{Commit, Put};
use serde::{Deserialize, Serialize};

/// Key of the ownership row.
pub const OWNER_KEY: &str = "owner";

/// Key of the row that holds the learned run times.
pub const TIMES_KEY: &str = "times";

/// Key of the row that holds the trust in workers.
pub const TRUST_KEY: &str = "trust";

/// Key of the row that holds the speed of machines.
pub const SPEED_KEY: &str = "speed";

/// Key of the row that holds the usage of teams.
pub const USAGE_KEY: &str = "usage";

/// Key of the row that holds queues of unfinished jobs that have changed since these were accepted.
pub const QUEUES_KEY: &str = "queues";

/// Parts of the table over which job and cancellation rows are distributed.
///
/// A part processes its transactions one at a time. A slow table takes 180 ms for each, so a
/// single part handles 5 a second, all of which the owner's own writes need, and rejects those
/// that wait for more than a second: clients wait for seconds, and accepting 200 jobs takes
/// 34 s. With eight parts each gets less than one client transaction a second.
const JOB_PARTS: [&str; 8] = ["0", "1", "2", "3", "4", "5", "6", "7"];

/// The part that holds all other rows.
const MAIN_PART: &str = "";

/// Returns the part of the table that holds a row.
pub fn part_of(key: &str) -> &'static str {
    match key.split_once('/') {
        Some(("job" | "stop", id)) => {
            let sum = id.bytes().fold(0, |sum: usize, byte| sum * 31 % 8191 + usize::from(byte));
            JOB_PARTS[sum % JOB_PARTS.len()]
        }
        _ => MAIN_PART,
    }
}

/// Returns all parts that hold rows. The parts with jobs come first, since checkpoints in the main
/// part are applied only to known jobs.
pub fn parts() -> impl Iterator<Item = &'static str> {
    JOB_PARTS.into_iter().chain([MAIN_PART])
}

/// Returns the key of a job's row.
pub fn job_key(id: &str) -> String {
    format!("job/{id}")
}

/// Returns the key of the row that holds a job's progress, or the first part of it.
pub fn progress_key(id: &str) -> String {
    progress_part_key(id, 0)
}

/// Returns the key of the row that holds a part of a job's progress.
pub fn progress_part_key(id: &str, part: u32) -> String {
    part_key("run", id, part)
}

/// Returns the key of the row that cancels a job. It is also written for an unknown job, so that a
/// submission delayed by the network finds it.
pub fn cancellation_key(id: &str) -> String {
    format!("stop/{id}")
}

/// Returns the key of the row that holds a job's checkpoints, or the first part of them.
pub fn checkpoints_key(id: &str) -> String {
    checkpoints_part_key(id, 0)
}

/// Returns the key of the row that holds a part of a job's checkpoints.
pub fn checkpoints_part_key(id: &str, part: u32) -> String {
    part_key("save", id, part)
}

fn part_key(kind: &str, id: &str, part: u32) -> String {
    if part == 0 { format!("{kind}/{id}") } else { format!("{kind}/{id}/{part}") }
}

/// Splits the name of a row of a job into the job's id and the number of the part, 0 if there is
/// none.
pub(crate) fn split_part(name: &str) -> (&str, u32) {
    let part = name.split_once('/').and_then(|(id, part)| Some((id, part.parse().ok()?)));
    part.unwrap_or((name, 0))
}

/// Returns the key of a process's row.
pub fn node_key(name: &str) -> String {
    format!("node/{name}")
}

/// Returns the key of the row that records when a wave of maintenance was first seen.
pub fn wave_key(number: u64) -> String {
    format!("wave/{number}")
}

/// What is recorded of a wave of maintenance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// When it was first seen, in milliseconds since 1970.
    pub at: u64,
    /// Whether all its machines have been taken down. A later owner must not restart the wave.
    #[serde(default)]
    pub done: bool,
}

/// The ownership of the deployment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ownership {
    /// The name of the owning entry; empty after a hand-over.
    pub holder: String,
    /// The random incarnation number of the holder's process.
    pub incarnation: u64,
    /// Incremented with each change of owner.
    pub epoch: u64,
    /// Incremented with each write by the same owner.
    pub sequence: u64,
    /// Whether this owner has accounted for everything that earlier owners started.
    #[serde(default)]
    pub settled: bool,
}

impl Ownership {
    /// Returns whether neither this owner nor an earlier one still grants leases, as far as the
    /// entry `name` can tell when it claims: the holder handed over, or it was a previous
    /// incarnation of the same entry. For earlier owners this holds only if the holder had settled,
    /// that is, outlived their leases: a partitioned owner may not have detected yet that it was
    /// replaced twice.
    pub fn grants_ended(&self, name: &str) -> bool {
        self.settled && (self.holder.is_empty() || self.holder == name)
    }
}

/// The address and kind of a process.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Node {
    /// The address at which other processes reach it.
    pub address: String,
    /// True for an entry, false for an agent.
    #[serde(default)]
    pub entry: bool,
    /// The resources of its machine; zero for an agent.
    #[serde(default)]
    pub size: Size,
}

/// The resources that a machine gives a process. Ordered by how much load an owner could handle.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Size {
    /// Processor time, in thousandths of a core.
    pub processor: u64,
    /// Bandwidth of its network link, in Mbit/s.
    pub link: u64,
}

/// Returns the write by which a process announces its address.
pub fn announcement(name: &str, node: &Node) -> Commit {
    let value = serde_json::to_string(node).expect("rows are plain data");
    Commit { put: vec![Put { key: self::node_key(name), value }], ..Commit::default() }
}

/// Returns the keys of all rows of a job, but those of further parts.
pub fn job_keys(id: &str) -> [String; 4] {
    [job_key(id), progress_key(id), cancellation_key(id), checkpoints_key(id)]
}
