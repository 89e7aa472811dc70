//! Jobs, their progress, and the workers that may run them.
//!
//! Plain data with checks and queries; no I/O and no clock. The entry stores a [`Job`] and, as the
//! owner, its [`Progress`]. Both are rows of the table, so their format must stay compatible between
//! versions of the program.

mod advice;
mod answer;
mod call;
mod config;
mod error;
mod evacuation;
mod incarnation;
mod job;
mod layout;
mod machine;
mod progress;
mod queue;
mod resources;
mod route;
mod run;
mod schedule;
mod slots;
mod step;
mod team;
mod wave;
mod worker;

pub use advice::Advice;
pub use answer::{Answer, Refusal};
pub use call::{Call, Target, is_job_id};
pub use config::Config;
pub use error::Error;
pub use evacuation::Evacuation;
pub use incarnation::Incarnation;
pub use job::{Job, MAX_STEPS};
pub use layout::Layout;
pub use machine::{Condition, Machine};
pub use progress::{CrashCount, Progress, State};
pub use queue::Queue;
pub use resources::Resources;
pub use route::Route;
pub use run::{End, How, Run, Task};
pub use schedule::Schedule;
pub use slots::Slot;
pub use step::Step;
pub use team::Team;
pub use wave::Wave;
pub use worker::Worker;

/// The name of a job. Chosen by its client, and unique in the deployment.
pub type Id = String;
