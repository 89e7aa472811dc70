use std::fmt;

use crate::limits::Excess;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// A row did not have the expected version; nothing was written.
    Conflict {
        /// The key of that row.
        key: String,
    },
    /// The service refused the call without performing it.
    Refused {
        /// The step that failed.
        step: &'static str,
        /// The service's address.
        peer: String,
        /// The service's error message.
        detail: String,
    },
    /// The transaction is beyond the limits of the table, and was not sent.
    Oversized(Excess),
    /// The requested changes have been compacted; all rows must be read again.
    Compacted,
    /// No reply arrived, or none that shows whether the call took effect.
    Unclear {
        /// The step that failed.
        step: &'static str,
        /// The service's address.
        peer: String,
        /// What failed.
        detail: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Conflict { key } => write!(f, "commit: {key} has another version"),
            Error::Refused { step, peer, detail } => write!(f, "{step} at {peer}: {detail}"),
            Error::Oversized(excess) => write!(f, "commit: {excess}"),
            Error::Compacted => f.write_str(
                "follow changes: the requested changes have been compacted; read all rows again",
            ),
            Error::Unclear { step, peer, detail } => {
                write!(f, "{step} at {peer}: outcome unclear: {detail}")
            }
        }
    }
}

impl std::error::Error for Error {}
