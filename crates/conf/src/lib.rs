//! Settings from command-line flags and environment variables.
//!
//! A [`Definition`] describes a flag, its environment variable, its default and its
//! help text; `--help`, the settings page and the parser are generated from it.
//! [`parse`] returns the raw [`Values`]; [`Resolver`] validates them, converts them
//! to their types and collects all errors, so that they are reported together.

mod common;
mod definition;
mod error;
mod local_settings;
mod machine;
mod parse;
mod resolver;
mod shutdown;
mod values;

pub use common::{
    EVENTS, FLEET_KEY, LISTEN, LOG_LEVEL, MAX_FDS, MEMORY_MB, METRICS_PORT, PLATFORM,
};
pub use definition::Definition;
pub use error::Error;
pub use local_settings::LocalSettings;
pub use machine::Machine;
pub use parse::{Command, Program, parse};
pub use resolver::Resolver;
pub use shutdown::wait_for_shutdown;
pub use values::Values;
