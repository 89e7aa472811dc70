use quincewheel_wire::{Attempt, Frame, Hello, LinkId, Task};

/// What a grantor is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// The ownership row, as read from the table; `None` if the read failed.
    OwnerRow(Option<(u64, String)>),
    /// Tasks that the endpoint already runs, as after a restart of the agent.
    Recovered(Vec<Task>),
    /// A connection was authenticated.
    Connected {
        /// Names it within this process.
        link: LinkId,
        /// Who is at the other end.
        hello: Hello,
        /// The address that was dialled; empty if the other end dialled.
        dialled: String,
    },
    /// A connection is gone.
    Disconnected {
        /// The connection.
        link: LinkId,
    },
    /// A dial did not succeed.
    DialFailed {
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
    /// The endpoint's part of an attempt ended.
    RankEnded {
        /// The attempt.
        attempt: Attempt,
        /// The task's rank.
        rank: u32,
        /// How it ended.
        end: End,
    },
    /// What the endpoint says of itself.
    EndpointHealth {
        /// It takes no new work.
        leaving: bool,
    },
    /// The process is to end: finish what runs and take nothing new.
    Drain,
}

/// How a task ended at the endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// With a result.
    Done {
        /// The result, empty where it is an object.
        result: Vec<u8>,
        /// Name in the object store, or empty.
        object: String,
        /// SHA-256 of the whole result.
        digest: String,
    },
    /// The endpoint said that it failed.
    Failed(String),
    /// It was stopped by request.
    Stopped,
    /// The endpoint does not know what became of it.
    Lost(String),
}
