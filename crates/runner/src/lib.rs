//! The agent's part in running tasks at one worker.
//!
//! A [`Runner`] forwards the owner's orders to the worker and reports the ends of runs to the
//! owner. It renews leases while the owner grants them, fences the worker against earlier owners,
//! and settles starts that got no reply. It performs no I/O and reads no clock: the time is an
//! input. It must come from a clock that also advances while the machine is suspended; otherwise
//! an agent that wakes up would extend leases that its owner has taken for expired.

mod announcement;
mod call;
mod candidate;
mod crash;
mod crashes;
mod heartbeat;
mod incarnations;
mod lease;
mod orders;
mod pending;
mod polls;
mod probes;
mod recent_start;
mod runner;
mod session;
mod settings;
mod stop_report;
mod unanswered;

pub use announcement::Announcement;
pub use call::{Action, Call, Fault, Reply};
pub use heartbeat::Heartbeat;
pub use lease::Lease;
pub use runner::{Output, Runner};
pub use settings::Settings;
