use quincewheel_wire::{Attempt, Frame, Hello, LinkId, Task};

/// An event that a grantor handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// The epoch and the owner's address from the ownership row, or `None` if the read failed.
    OwnerRow(Option<(u64, String)>),
    /// The tasks that the endpoint already runs when the agent starts.
    Recovered(Vec<Task>),
    /// A connection was established and authenticated.
    Connected {
        /// The id of the connection within this process.
        link: LinkId,
        /// The identity of the process at the other end.
        hello: Hello,
        /// The address that was dialled, or empty if the other end dialled.
        dialled: String,
    },
    /// A connection was closed or lost.
    Disconnected {
        /// The connection.
        link: LinkId,
    },
    /// Dialling an address failed.
    DialFailed {
        /// The address.
        address: String,
    },
    /// A frame arrived.
    Frame {
        /// The connection.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// A rank of an attempt ended at the endpoint.
    RankEnded {
        /// The attempt.
        attempt: Attempt,
        /// The rank.
        rank: u32,
        /// How it ended.
        end: End,
    },
    /// The result of a health check of the endpoint.
    EndpointHealth {
        /// Whether the endpoint accepts no new work.
        leaving: bool,
    },
    /// The process is to exit: accept no new attempts and let running ones end.
    Drain,
}

/// How a rank of a task ended at the endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// It completed with a result.
    Done {
        /// The result, or empty if it is in the object store.
        result: Vec<u8>,
        /// The result's name in the object store, or empty if it is inline.
        object: String,
        /// The SHA-256 digest of the result.
        digest: String,
    },
    /// It failed, for the reason that the endpoint gave.
    Failed(String),
    /// It was stopped by request.
    Stopped,
    /// Its outcome is unknown, for the given reason.
    Lost(String),
}
