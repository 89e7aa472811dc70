//! The entry process: accepts calls, and owns the deployment or forwards calls to the owner.
//!
//! Threads: `rpc` serves HTTP to callers and operators, `brain` runs the
//! [`quincewheel_shard::Node`], `peers` keeps connections to other processes, `store` calls the
//! table service. They are connected by bounded queues.

mod burn;
mod burn_report;
mod connect;
mod convert;
mod day;
mod driver;
mod explain;
mod line;
mod metrics;
mod routes;
mod run;
mod scheduling;
mod settings;
mod site;

pub use burn::{Burn, Objective};
pub use day::sum_up;
pub use explain::explain;
pub use run::run;
pub use settings::{DEFINITIONS, PROGRAM, Settings};
