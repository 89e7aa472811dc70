//! Settings: one definition per flag, parsed low and resolved once.
//!
//! A [`Definition`] names a flag, its environment variable, its default and its
//! help; `--help`, the settings page and the parser all come from it. [`parse`]
//! gives the raw [`Values`]; [`Resolver`] turns them into checked types and
//! gathers every mistake, so that all of them are reported at once.

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
