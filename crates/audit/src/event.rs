use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Something that happened at one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// When, on the run's common clock.
    pub at: Duration,
    /// Where.
    pub process: String,
    /// What.
    pub kind: Kind,
}

/// What happened.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An agent granted accelerators to an attempt.
    Granted {
        /// The worker.
        worker: String,
        /// The attempt.
        attempt: u64,
        /// Accelerators.
        mask: u64,
    },
    /// An agent took accelerators back.
    Freed {
        /// The worker.
        worker: String,
        /// The attempt.
        attempt: u64,
    },
    /// An agent started, and found these attempts at its endpoint. What its
    /// predecessor had granted beside them is gone.
    Recovered {
        /// The worker.
        worker: String,
        /// The attempts.
        attempts: Vec<u64>,
    },
    /// An agent and its endpoint are gone with all that they held.
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
        /// Whether a second run would do no harm.
        idempotent: bool,
        /// Number of members of the gang.
        members: usize,
    },
    /// A member's part ended.
    Stopped {
        /// The worker.
        worker: String,
        /// The attempt.
        attempt: u64,
        /// True if it ran to its end.
        done: bool,
    },
    /// A caller submitted a request.
    Submitted {
        /// Names the submission.
        call: u64,
        /// The team.
        team: String,
        /// The request id.
        request: String,
    },
    /// A caller got an answer to a submission.
    Answered {
        /// Names the submission.
        call: u64,
        /// The team.
        team: String,
        /// The request id.
        request: String,
        /// The outcome's name, or `refused` where nothing is said about it.
        outcome: String,
        /// True unless the result does not match its digest.
        whole: bool,
    },
    /// A configuration change was recorded.
    Recorded {
        /// The configuration's version.
        version: u64,
    },
    /// A process put a configuration in force.
    Applied {
        /// The configuration's version.
        version: u64,
    },
    /// A process took ownership.
    Owned {
        /// Its epoch.
        epoch: u64,
    },
}
