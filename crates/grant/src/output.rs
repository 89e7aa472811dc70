use std::time::Duration;

use quincewheel_audit::Kind;
use quincewheel_wire::{Attempt, Frame, LinkId, Task};

/// What a grantor wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Read the ownership row.
    ReadOwner,
    /// Connect to another process.
    Dial {
        /// Its address.
        address: String,
    },
    /// Send a frame.
    Send {
        /// On which connection.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// Close a connection.
    Close {
        /// The connection.
        link: LinkId,
        /// Why, for the log.
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
        /// Time to checkpoint first.
        grace: Duration,
    },
    /// The endpoint may drop what it keeps of an attempt.
    Forget {
        /// The attempt.
        attempt: Attempt,
    },
    /// Note an event.
    Event(Kind),
}
