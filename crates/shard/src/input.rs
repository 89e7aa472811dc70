use quincewheel_store::{Error, Reply};
use quincewheel_wire::{Ask, Frame, Hello, LinkId};

/// An input of a [`Node`](crate::Node).
#[derive(Debug)]
pub enum Input {
    /// A client or an operator called this entry.
    Call {
        /// Id of the call within this process.
        call: u64,
        /// SHA-256 of the call's bearer key, in hexadecimal.
        key_digest: String,
        /// The request.
        ask: Ask,
    },
    /// The caller of `call` disconnected.
    Hangup {
        /// Id of the call.
        call: u64,
    },
    /// A connection was authenticated.
    Linked {
        /// Id of the connection within this process.
        link: LinkId,
        /// The other end's role, name and incarnation.
        hello: Hello,
        /// The address that was dialled; empty if the other end dialled.
        dialled: String,
    },
    /// A connection was closed.
    Unlinked {
        /// Id of the connection.
        link: LinkId,
    },
    /// A dial failed.
    Undialled {
        /// The address that was dialled.
        address: String,
    },
    /// A frame was received.
    Frame {
        /// Connection on which it arrived.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// The table service replied, or the call to it failed.
    Store {
        /// Id of the call to the table.
        id: u64,
        /// Its result.
        result: Result<Reply, Error>,
    },
    /// The process shuts down: release ownership and accept nothing new.
    Drain,
}
