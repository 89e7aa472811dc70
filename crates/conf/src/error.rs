use std::fmt;

/// A setting that cannot be used, or a flag that does not exist.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The command line has a flag or an argument that is not known.
    Usage(String),
    /// A setting without a default was not given.
    Missing {
        /// The flag's name.
        name: &'static str,
        /// The environment variable's name.
        variable: String,
    },
    /// A setting has a value that it cannot have.
    Invalid {
        /// The flag's name.
        name: &'static str,
        /// What is wrong with it and what to give instead.
        detail: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Usage(detail) => write!(f, "{detail}; see --help"),
            Error::Missing { name, variable } => {
                write!(f, "--{name} is not set; give the flag or the variable {variable}")
            }
            Error::Invalid { name, detail } => write!(f, "--{name}: {detail}"),
        }
    }
}

impl std::error::Error for Error {}
