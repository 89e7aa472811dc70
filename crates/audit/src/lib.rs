//! Events of a test run, and a checker of invariants over them.
//!
//! Processes and tests emit [`Event`]s; [`Checker`] reads the events of a whole run
//! in order of time and reports each violated invariant. The checker depends only on
//! the invariants, not on the implementation of the system.

mod checker;
mod event;

pub use checker::{Checker, Violation};
pub use event::{Event, Kind};
