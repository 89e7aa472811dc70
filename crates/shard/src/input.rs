use quincewheel_store::{Error, Reply};
use quincewheel_wire::{Ask, Frame, Hello, LinkId};

/// What a node is told.
#[derive(Debug)]
pub enum Input {
    /// A caller or an operator called this entry.
    Call {
        /// Names the call within this process.
        call: u64,
        /// SHA-256 of the bearer key that came with it, in hexadecimal.
        key_digest: String,
        /// What is wanted.
        ask: Ask,
    },
    /// The caller of `call` is gone.
    Hangup {
        /// The call.
        call: u64,
    },
    /// A connection was authenticated.
    Linked {
        /// Names it within this process.
        link: LinkId,
        /// Who is at the other end.
        hello: Hello,
        /// The address that was dialled; empty if the other end dialled.
        dialled: String,
    },
    /// A connection is gone.
    Unlinked {
        /// The connection.
        link: LinkId,
    },
    /// A dial did not succeed.
    Undialled {
        /// The address.
        address: String,
    },
    /// A frame came.
    Frame {
        /// On which connection.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// The table service answered.
    Store {
        /// Names the call to the table.
        id: u64,
        /// Its answer.
        result: Result<Reply, Error>,
    },
    /// The process is to end: hand over and take nothing new.
    Drain,
}
