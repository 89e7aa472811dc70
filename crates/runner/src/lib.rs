//! The agent's side of runs at one worker.
//!
//! A [`Runner`] carries the owner's orders to the worker and the worker's ends
//! back. It keeps leases alive for as long as the owner grants them, fences
//! the worker against earlier owners, and settles starts that got no answer.
//! It performs no I/O and reads no clock: the time is an input, and must be of
//! a clock that also counts while the machine is suspended, or an agent that
//! wakes up would extend leases that its owner took for lapsed.

mod announcement;
mod call;
mod crashed;
mod crashes;
mod heartbeat;
mod incarnations;
mod lease;
mod looks;
mod orders;
mod pending;
mod rival;
mod runner;
mod session;
mod settings;
mod stopped;
mod unanswered;

pub use announcement::Announcement;
pub use call::{Action, Call, Fault, Reply};
pub use heartbeat::Heartbeat;
pub use lease::Lease;
pub use runner::{Output, Runner};
pub use settings::Settings;
