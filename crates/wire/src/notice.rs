use quincewheel_job::{End, Incarnation, Run, Task, Worker};
use serde::{Deserialize, Serialize};

use crate::peer::Peer;

/// A message from an agent to the owner about its worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Notice {
    /// Rejects a claim, as the agent already follows a later epoch.
    Superseded {
        /// The later epoch.
        epoch: u64,
    },
    /// Heartbeat of the agent, which requests a lease.
    Ping {
        /// Time of the agent's clock, in milliseconds.
        stamp: u64,
        /// How long the worker has not replied, in milliseconds. Once this exceeds
        /// a lease, all runs on the worker have lapsed.
        silent: u64,
    },
    /// The worker reported that it shuts down. It has no runs left.
    Left {
        /// The incarnation of the worker.
        worker: Incarnation,
    },
    /// The worker closed its connections or accepts none, so its process may have
    /// died. Superseded by a later status in which the worker replies again.
    Broke {
        /// The incarnation of the worker.
        worker: Incarnation,
        /// Starts that it was sent just before, one of which is the probable cause.
        starts: Vec<(Task, u64)>,
        /// Earlier starts that it is not known to have survived.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        possible: Vec<(Task, u64)>,
    },
    /// The state of the worker and its runs.
    Status {
        /// Time of the agent's clock, in milliseconds.
        stamp: u64,
        /// The worker, or `None` if it left or has not sent a heartbeat yet.
        worker: Option<Worker>,
        /// Whether the worker itself has replied under the claimed epoch. From then
        /// on, no order of a previous owner can take effect there.
        fenced: bool,
        /// When the worker last listed its runs and ends, by the agent's clock; none if it has not. An
        /// agent sends the last list again when it reconnects or the worker's state changes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        listed_at: Option<u64>,
        /// All runs on the worker.
        running: Vec<Run>,
        /// Ends of runs that the owner has not acknowledged as recorded.
        ended: Vec<End>,
        /// Whether the worker may have further ends, which it lists once these are acknowledged. A run
        /// that is not listed may then have ended.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        truncated: bool,
    },
    /// A start took effect.
    Started {
        /// The task.
        task: Task,
        /// Number of this run of the task.
        run: u64,
    },
    /// A run that was started as a suspect has survived its start, so that its task is none.
    Survived {
        /// The task.
        task: Task,
        /// Number of this run of the task.
        run: u64,
    },
    /// A start did not take effect and cannot take effect later.
    Unstarted {
        /// The task.
        task: Task,
        /// Number of this run of the task.
        run: u64,
        /// The cause.
        why: Refused,
    },
    /// A stop is confirmed: the run ends, or can never start.
    Stopped {
        /// The task.
        task: Task,
        /// Number of this run of the task.
        run: u64,
    },
    /// A message between entries about a job; not sent by agents.
    Entry(Peer),
}

/// Why a start did not take effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Refused {
    /// The requested incarnation of the worker has ended or is shutting down.
    Leaving,
    /// The worker lacks capacity.
    Room,
    /// The worker already had this run of the task or a later one.
    Old,
    /// The lease has expired, or none was granted.
    Lease,
    /// The worker has accepted the fencing token of a later owner.
    Fence,
    /// The step has no valid clearance for the worker.
    Ticket,
    /// The worker is unhealthy.
    Busy,
    /// The worker accepts no connections: its process has ended or its port is
    /// closed.
    Unreachable,
    /// The worker rejected the start as malformed.
    Invalid,
    /// The worker did not reply; the run was stopped, as it may have started.
    Silent,
}

impl Refused {
    /// Returns the cause's name in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refused::Leaving => "leaving",
            Refused::Room => "no room",
            Refused::Old => "old run",
            Refused::Lease => "no lease",
            Refused::Fence => "fenced",
            Refused::Ticket => "no ticket",
            Refused::Busy => "busy",
            Refused::Unreachable => "unreachable",
            Refused::Invalid => "invalid",
            Refused::Silent => "silent",
        }
    }
}

/// Formats starts of tasks that may have crashed a worker for a log line.
pub fn list_causes(starts: &[(Task, u64)], possible: &[(Task, u64)]) -> String {
    let start = |(task, run): &(Task, u64)| format!("{task} run {run}");
    let likely = starts.iter().map(start);
    let possible = possible.iter().map(|cause| format!("{}, perhaps", start(cause)));
    let causes: Vec<String> = likely.chain(possible).collect();
    if causes.is_empty() { "no start".to_owned() } else { causes.join(", ") }
}
