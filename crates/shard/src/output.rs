use quincewheel_audit::Kind;
use quincewheel_store::Op;
use quincewheel_wire::{Answer, Frame, LinkId};

/// An action that a [`Node`](crate::Node) requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a call of this entry.
    Answer {
        /// Id of the call.
        call: u64,
        /// The answer.
        answer: Answer,
    },
    /// Send a frame.
    Send {
        /// Connection on which to send it.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// Connect to another process.
    Dial {
        /// Its address.
        address: String,
    },
    /// Close a connection.
    Close {
        /// Id of the connection.
        link: LinkId,
        /// The reason, for the log.
        reason: &'static str,
    },
    /// Call the table service.
    Store {
        /// Id of the call, which its reply repeats.
        id: u64,
        /// The operation.
        op: Op,
    },
    /// Record an audit event.
    Event(Kind),
}
