//! Settings from command-line flags and environment variables.
//!
//! A [`Definition`] describes a flag, its environment variable, its default and its
//! help text; `--help`, the settings page and the parser are generated from it.
//! [`parse`] returns the raw [`Values`]; [`Resolver`] validates them, converts them
//! to their types and collects all errors, so that they are reported together.

mod common;
mod definition;
mod end;
mod error;
mod own;
mod parse;
mod resolver;
mod values;

pub use common::{EVENTS, FLEET_KEY, LISTEN, LOG_LEVEL, METRICS_PORT, PLATFORM};
pub use definition::Definition;
pub use end::ending;
pub use error::Error;
pub use own::Own;
pub use parse::{Command, Program, parse};
pub use resolver::Resolver;
pub use values::Values;
