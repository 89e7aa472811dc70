use serde::{Deserialize, Serialize};

use crate::answer::Answer;
use crate::ask::Ask;
use crate::attempt::Attempt;
use crate::task::{Report, Task};

/// Where an attempt stands at an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// Accelerators are granted, nothing started.
    Prepared,
    /// Started.
    Running,
    /// Ended; kept until the owner acknowledges that it is recorded.
    Ended(Report),
}

/// One attempt that an agent holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Inventory {
    /// The task, without its payload.
    pub task: Task,
    /// Where it stands.
    pub phase: Phase,
}

/// A worker as its agent announces it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The worker's name.
    pub worker: String,
    /// Its availability zone.
    pub zone: String,
    /// Its rack.
    pub rack: String,
    /// Its accelerators.
    pub accelerators: u32,
    /// Tasks that may run there at once.
    pub slots: u32,
    /// Where its agent listens for other agents.
    pub address: String,
    /// It is about to leave.
    pub leaving: bool,
}

/// A message between two of the system's processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Agent to owner: here I am, and this is what I hold.
    Announce {
        /// Highest epoch that the agent has seen.
        epoch: u64,
        /// The worker.
        member: Member,
        /// Highest attempt that the agent was asked to prepare: it says nothing
        /// about later ones.
        latest: Attempt,
        /// Everything that holds accelerators or awaits acknowledgement.
        inventory: Vec<Inventory>,
    },
    /// Either way: still here.
    Beat {
        /// Highest epoch that the sender has seen.
        epoch: u64,
        /// Configuration version in force at the sender.
        configuration: u64,
    },
    /// Agent to owner: the epoch you sent is over.
    Fenced {
        /// Highest epoch that the agent has seen.
        epoch: u64,
    },
    /// Owner to agent: grant accelerators, start nothing.
    Prepare {
        /// The owner's epoch.
        epoch: u64,
        /// What to grant.
        task: Task,
    },
    /// Agent to owner: granted.
    Prepared {
        /// The attempt.
        attempt: Attempt,
    },
    /// Agent to owner: not granted, nothing held.
    Declined {
        /// The attempt.
        attempt: Attempt,
        /// Why.
        reason: String,
    },
    /// Owner to agent: the start is recorded; run.
    Go {
        /// The owner's epoch.
        epoch: u64,
        /// The attempt.
        attempt: Attempt,
    },
    /// Owner to agent: if it has not started, it never will; if it has, stop.
    Stop {
        /// The owner's epoch.
        epoch: u64,
        /// The attempt.
        attempt: Attempt,
        /// Milliseconds the task has to checkpoint first.
        grace_ms: u64,
    },
    /// Agent to owner: how a part ended. Repeated until acknowledged.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// How.
        report: Report,
    },
    /// Owner to agent: recorded, forget it.
    Forget {
        /// The owner's epoch.
        epoch: u64,
        /// The attempt.
        attempt: Attempt,
    },
    /// Agent to owner: prepared for a while; what is to become of it?
    Unsure {
        /// The attempt.
        attempt: Attempt,
    },
    /// Agent to owner: no new work from now on, or again.
    Leaving {
        /// True if leaving.
        leaving: bool,
    },
    /// Member to the gang's first member: this part runs.
    Pulse {
        /// The attempt.
        attempt: Attempt,
        /// It has run to its end and need not be heard again.
        done: bool,
    },
    /// First member to the others: the gang runs. Also passes the start on.
    Whole {
        /// The attempt.
        attempt: Attempt,
        /// The first member has run to its end and need not be heard again.
        done: bool,
    },
    /// Between members: the gang is broken, stop.
    Broken {
        /// The attempt.
        attempt: Attempt,
        /// Why.
        reason: String,
    },
    /// Owner to entry or agent: configuration rows, as stored.
    Configure {
        /// The owner's epoch.
        epoch: u64,
        /// The version that the receiver must have for these rows to be all
        /// that it misses; 0 where they are the whole configuration.
        after: u64,
        /// The version that these rows bring the receiver to.
        version: u64,
        /// Key and row, as JSON.
        rows: Vec<(String, String)>,
    },
    /// Entry to owner: a caller's or operator's call.
    Ask {
        /// Names the call on this connection.
        call: u64,
        /// The call.
        ask: Ask,
    },
    /// Owner to entry: the answer to a call.
    Answer {
        /// Names the call.
        call: u64,
        /// The answer.
        answer: Answer,
    },
    /// Entry to owner: the caller no longer waits.
    Hangup {
        /// Names the call.
        call: u64,
    },
}

impl Frame {
    /// The frame's name in logs.
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
