//! The owner's side of jobs.
//!
//! An [`Owner`] holds all unfinished jobs and a picture of all workers. It
//! decides what starts where, takes note of ends, and says what must be
//! recorded in the table before a worker may forget it. It performs no I/O and
//! reads no clock. Two clocks are inputs: one that also counts while the
//! machine is suspended, for leases, and the time of day, for jobs that run at
//! set times.

mod advice;
mod agent;
mod awaited;
mod batch;
mod blame;
mod candidate;
mod cause;
mod close_reason;
mod detail;
mod dismissal;
mod election;
mod entry;
mod evacuation;
mod guide;
mod listing;
mod members;
mod mirror;
mod output;
mod owner;
mod pace;
mod plan;
mod record;
mod refusals;
mod reports;
mod review;
mod room;
pub mod rows;
mod saved;
mod settings;
mod sight;
mod snapshot;
mod suspects;
mod tally;
mod throttle;
mod times;
mod unlisted;
mod unproven;
mod unsettled;
mod upkeep;
mod waits;

pub use advice::Question;
pub use batch::{Batch, Seen};
pub use cause::Cause;
pub use election::Election;
pub use mirror::{Mirror, News, View};
pub use output::Output;
pub use owner::Owner;
pub use saved::Saved;
pub use settings::Settings;
pub use times::Times;
pub use unproven::Unproven;
pub use unsettled::Unsettled;
pub use upkeep::Taken;
