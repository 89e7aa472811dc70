use std::fmt;

/// Why a connection could not be established or was closed. Except for `Closed`,
/// each variant has the step that failed, and each has the peer.
#[derive(Debug)]
pub enum Error {
    /// The TCP socket or the WebSocket on top of it failed.
    Socket {
        /// The step that failed.
        step: &'static str,
        /// The peer's address.
        peer: String,
        /// The error reported by the library.
        detail: String,
    },
    /// The peer did not prove that it has the fleet key.
    Stranger {
        /// The step that failed.
        step: &'static str,
        /// The peer's address.
        peer: String,
    },
    /// A frame could not be decoded or was not a binary message.
    Malformed {
        /// The step that failed.
        step: &'static str,
        /// The peer's address.
        peer: String,
        /// What is wrong with the frame.
        detail: String,
    },
    /// The peer did not complete the step in time.
    Timeout {
        /// The step that failed.
        step: &'static str,
        /// The peer's address.
        peer: String,
    },
    /// The peer closed the connection.
    Closed {
        /// The peer's address.
        peer: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Socket { step, peer, detail } => write!(f, "{step} with {peer}: {detail}"),
            Error::Stranger { step, peer } => {
                write!(f, "{step} with {peer}: no proof of membership; check the fleet key")
            }
            Error::Malformed { step, peer, detail } => {
                write!(f, "{step} with {peer}: malformed frame: {detail}")
            }
            Error::Timeout { step, peer } => write!(f, "{step} with {peer}: timed out"),
            Error::Closed { peer } => write!(f, "{peer} closed the connection"),
        }
    }
}

impl std::error::Error for Error {}
