use std::fmt;

/// An invalid field of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// The field, as a path such as `steps[2].after`.
    pub field: String,
    /// The requirement that the field does not meet.
    pub message: String,
}

impl Error {
    pub(crate) fn new(field: impl Into<String>, message: impl Into<String>) -> Error {
        Error { field: field.into(), message: message.into() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.field, self.message)
    }
}

impl std::error::Error for Error {}
