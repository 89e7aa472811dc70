//! Events of a run, and the checker that reads them.
//!
//! Processes and tests emit [`Event`]s; [`Checker`] reads those of a whole run
//! in the order of their times and reports each broken invariant. The checker
//! knows nothing of how the system works, only what must hold.

mod checker;
mod event;

pub use checker::{Checker, Violation};
pub use event::{Event, Kind};
