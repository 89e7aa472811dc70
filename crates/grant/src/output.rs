use std::time::Duration;

use quincewheel_audit::Kind;
use quincewheel_wire::{Attempt, Frame, LinkId, Task};

/// An action for the agent process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read the ownership row.
    ReadOwner,
    /// Connect to another process of the system.
    Dial {
        /// The address of that process.
        address: String,
    },
    /// Send a frame.
    Send {
        /// The connection.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// Close a connection.
    Close {
        /// The connection.
        link: LinkId,
        /// The reason, for the log.
        reason: &'static str,
    },
    /// Have the endpoint run all ranks of a task.
    Run {
        /// The task.
        task: Task,
    },
    /// Have the endpoint stop all ranks of an attempt.
    Stop {
        /// The attempt.
        attempt: Attempt,
        /// How long the tasks may checkpoint before they are killed.
        grace: Duration,
    },
    /// Have the endpoint delete its records of an attempt.
    Forget {
        /// The attempt.
        attempt: Attempt,
    },
    /// Append an event to the event log.
    Event(Kind),
}
