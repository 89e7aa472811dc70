use std::fmt;

/// Why a call to the platform did not succeed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// An expected version did not hold; nothing was written.
    Conflict {
        /// The key whose version differs.
        key: String,
    },
    /// The service refused before doing anything.
    Refused {
        /// What was being done.
        step: &'static str,
        /// The service's address.
        peer: String,
        /// What it said.
        detail: String,
    },
    /// The changes asked for are no longer kept; everything must be read anew.
    Compacted,
    /// No answer, or none that says whether the call took effect.
    Unclear {
        /// What was being done.
        step: &'static str,
        /// The service's address.
        peer: String,
        /// What went wrong.
        detail: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Conflict { key } => write!(f, "commit: {key} has another version"),
            Error::Refused { step, peer, detail } => write!(f, "{step} at {peer}: {detail}"),
            Error::Compacted => f.write_str("follow changes: the history is gone; read all rows"),
            Error::Unclear { step, peer, detail } => {
                write!(f, "{step} at {peer}: outcome unclear: {detail}")
            }
        }
    }
}

impl std::error::Error for Error {}
