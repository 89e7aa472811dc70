use std::fmt;

/// Why a connection could not be made or was closed. Each carries the step and
/// the peer at which it arose.
#[derive(Debug)]
pub enum Error {
    /// The socket or the WebSocket under it failed.
    Socket {
        /// What was being done.
        step: &'static str,
        /// With whom.
        peer: String,
        /// What the library said.
        detail: String,
    },
    /// The peer did not prove that it belongs to the fleet.
    Stranger {
        /// What was being done.
        step: &'static str,
        /// With whom.
        peer: String,
    },
    /// A frame was not well-formed or too large.
    Malformed {
        /// What was being done.
        step: &'static str,
        /// With whom.
        peer: String,
        /// What is wrong with it.
        detail: String,
    },
    /// The peer took too long.
    Timeout {
        /// What was being done.
        step: &'static str,
        /// With whom.
        peer: String,
    },
    /// The peer closed the connection.
    Closed {
        /// With whom.
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
