use std::time::Duration;

use serde::{Deserialize, Serialize};

/// An event at one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// Time of the event, on a clock common to all processes of the run.
    pub at: Duration,
    /// Name of the process.
    pub process: String,
    /// What happened, with its details.
    pub kind: Kind,
}

/// The kind of an event, with its details.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An agent granted accelerators to an attempt.
    Granted {
        /// The worker.
        worker: String,
        /// The attempt.
        attempt: u64,
        /// Bit mask of the granted accelerators.
        mask: u64,
    },
    /// An agent released the accelerators of an attempt.
    Freed {
        /// The worker.
        worker: String,
        /// The attempt.
        attempt: u64,
    },
    /// An agent started and found these attempts at its endpoint. Everything else that
    /// its previous incarnation had granted is released.
    Recovered {
        /// The worker.
        worker: String,
        /// The attempts that go on.
        attempts: Vec<u64>,
    },
    /// An agent and its endpoint were lost with all attempts they held.
    Vanished {
        /// The worker.
        worker: String,
    },
    /// A member's part of a gang started.
    Started {
        /// The worker.
        worker: String,
        /// The attempt.
        attempt: u64,
        /// The team.
        team: String,
        /// The request id.
        request: String,
        /// Whether the request may safely run more than once.
        idempotent: bool,
        /// Number of members in the gang.
        members: usize,
    },
    /// A member's part ended.
    Stopped {
        /// The worker.
        worker: String,
        /// The attempt.
        attempt: u64,
        /// Whether it completed.
        done: bool,
    },
    /// A client submitted a request.
    Submitted {
        /// Id of the submission.
        call: u64,
        /// The team.
        team: String,
        /// The request id.
        request: String,
    },
    /// A client received the reply to a submission.
    Answered {
        /// Id of the submission.
        call: u64,
        /// The team.
        team: String,
        /// The request id.
        request: String,
        /// Name of the outcome, or `refused` if the reply gives no outcome.
        outcome: String,
        /// False if the result does not match its digest.
        whole: bool,
    },
    /// A configuration change was written to the table.
    Recorded {
        /// The configuration's version.
        version: u64,
    },
    /// A process applied a configuration.
    Applied {
        /// The configuration's version.
        version: u64,
    },
    /// A process became owner.
    Owned {
        /// The epoch of its ownership.
        epoch: u64,
    },
}
