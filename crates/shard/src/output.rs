use quincewheel_audit::Kind;
use quincewheel_store::Op;
use quincewheel_wire::{Answer, Frame, LinkId};

/// What a node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a call of this entry.
    Answer {
        /// The call.
        call: u64,
        /// The answer.
        answer: Answer,
    },
    /// Send a frame.
    Send {
        /// On which connection.
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
        /// The connection.
        link: LinkId,
        /// Why, for the log.
        reason: &'static str,
    },
    /// Call the table service.
    Store {
        /// Names the call.
        id: u64,
        /// The call.
        op: Op,
    },
    /// Note an event.
    Event(Kind),
}
