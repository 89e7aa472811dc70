use serde::{Deserialize, Serialize};

use crate::answer::Answer;
use crate::ask::Ask;
use crate::attempt::Attempt;
use crate::task::{Report, Task};

/// The state of an attempt at an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// Accelerators are granted; the task has not started.
    Prepared,
    /// The task has started.
    Running,
    /// The task has ended. Kept until the owner acknowledges that the end is
    /// recorded.
    Ended(Report),
}

/// An attempt that an agent holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Inventory {
    /// The task, without its payload.
    pub task: Task,
    /// The state of the attempt.
    pub phase: Phase,
}

/// A worker, as announced by its agent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The worker's name.
    pub worker: String,
    /// Its availability zone.
    pub zone: String,
    /// Its rack.
    pub rack: String,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// Maximum number of tasks that may run on it at once.
    pub slots: u32,
    /// Address on which its agent accepts connections from other agents.
    pub address: String,
    /// Whether it is shutting down and takes no new work.
    pub leaving: bool,
}

/// A message between two processes of the system.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Agent to owner: registers the worker and lists the attempts it holds.
    Announce {
        /// Highest epoch that the agent has received.
        epoch: u64,
        /// The announced worker.
        member: Member,
        /// Highest attempt that the agent was asked to prepare. The inventory
        /// gives no information on later attempts.
        latest: Attempt,
        /// All attempts that hold accelerators or await acknowledgement.
        inventory: Vec<Inventory>,
    },
    /// Both directions: heartbeat.
    Beat {
        /// Highest epoch that the sender has received.
        epoch: u64,
        /// Configuration version in force at the sender.
        configuration: u64,
    },
    /// Agent to owner: rejects a frame because its epoch is superseded.
    Fenced {
        /// Highest epoch that the agent has received.
        epoch: u64,
    },
    /// Owner to agent: grant accelerators without starting the task.
    Prepare {
        /// The owner's epoch.
        epoch: u64,
        /// The task, with the accelerators to grant.
        task: Task,
    },
    /// Agent to owner: the accelerators are granted.
    Prepared {
        /// The attempt.
        attempt: Attempt,
    },
    /// Agent to owner: the grant is declined and the attempt holds nothing.
    Declined {
        /// The attempt.
        attempt: Attempt,
        /// The cause.
        reason: String,
    },
    /// Owner to agent: the start is recorded, so run the prepared attempt.
    Go {
        /// The owner's epoch.
        epoch: u64,
        /// The attempt.
        attempt: Attempt,
    },
    /// Owner to agent: stop the attempt if it runs, and never start it if it has
    /// not started.
    Stop {
        /// The owner's epoch.
        epoch: u64,
        /// The attempt.
        attempt: Attempt,
        /// Time in milliseconds that the task has to write a checkpoint before it
        /// is stopped.
        grace_ms: u64,
    },
    /// Agent to owner: a member's part of a gang has ended. Repeated until
    /// acknowledged.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        report: Report,
    },
    /// Owner to agent: acknowledges that the end is recorded, so that the agent
    /// can discard the attempt.
    Forget {
        /// The owner's epoch.
        epoch: u64,
        /// The attempt.
        attempt: Attempt,
    },
    /// Agent to owner: the attempt has been prepared for some time without a
    /// `Go` or `Stop`; asks for a decision.
    Unsure {
        /// The attempt.
        attempt: Attempt,
    },
    /// Agent to owner: the worker stops or resumes taking new work.
    Leaving {
        /// True if it is shutting down, false if it takes work again.
        leaving: bool,
    },
    /// Member to the gang's first member: heartbeat of a running part.
    Pulse {
        /// The attempt.
        attempt: Attempt,
        /// The part has completed; no more heartbeats follow.
        done: bool,
    },
    /// First member to the others: heartbeat of a gang of which all parts run.
    /// Also passes the start on.
    Whole {
        /// The attempt.
        attempt: Attempt,
        /// The first member's part has completed; no more heartbeats follow.
        done: bool,
    },
    /// Between members: a part of the gang has failed; stop the others.
    Broken {
        /// The attempt.
        attempt: Attempt,
        /// The cause.
        reason: String,
    },
    /// Owner to entry or agent: configuration rows, as stored.
    Configure {
        /// The owner's epoch.
        epoch: u64,
        /// The version to which these rows apply as changes; 0 if they are the
        /// whole configuration.
        after: u64,
        /// The version that the receiver has after applying the rows.
        version: u64,
        /// Key and value of each row; the value is JSON.
        rows: Vec<(String, String)>,
    },
    /// Entry to owner: a call from a client or an operator.
    Ask {
        /// Id of the call, unique on this connection.
        call: u64,
        /// The call itself.
        ask: Ask,
    },
    /// Owner to entry: the reply to a call.
    Answer {
        /// Id of the call.
        call: u64,
        /// The reply.
        answer: Answer,
    },
    /// Entry to owner: the client no longer waits for the reply.
    Hangup {
        /// Id of the call.
        call: u64,
    },
}

impl Frame {
    /// Returns the frame's name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Frame::Announce { .. } => "announce",
            Frame::Beat { .. } => "beat",
            Frame::Fenced { .. } => "fenced",
            Frame::Prepare { .. } => "prepare",
            Frame::Prepared { .. } => "prepared",
            Frame::Declined { .. } => "declined",
            Frame::Go { .. } => "go",
            Frame::Stop { .. } => "stop",
            Frame::Ended { .. } => "ended",
            Frame::Forget { .. } => "forget",
            Frame::Unsure { .. } => "unsure",
            Frame::Leaving { .. } => "leaving",
            Frame::Pulse { .. } => "pulse",
            Frame::Whole { .. } => "whole",
            Frame::Broken { .. } => "broken",
            Frame::Configure { .. } => "configure",
            Frame::Ask { .. } => "ask",
            Frame::Answer { .. } => "answer",
            Frame::Hangup { .. } => "hangup",
        }
    }
}
