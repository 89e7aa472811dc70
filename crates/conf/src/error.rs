use std::fmt;

/// An invalid setting or command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The command line has an unknown flag or subcommand, or cannot be parsed.
    Usage(String),
    /// A required setting was not given.
    Missing {
        /// The flag's name.
        name: &'static str,
        /// The environment variable's name.
        variable: String,
    },
    /// The value of a setting is invalid.
    Invalid {
        /// The flag's name.
        name: &'static str,
        /// What is wrong with the value and what is expected.
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
