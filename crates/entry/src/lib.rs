//! The entry process: admits calls, and owns or forwards to the shard's owner.
//!
//! Duties and their threads: `rpc` speaks HTTP with callers and operators,
//! `brain` runs the [`quincewheel_shard::Node`], `peers` keeps connections to
//! other processes, `store` calls the table service. Bounded rings join them.

mod brain;
mod burn;
mod burn_report;
mod connect;
mod convert;
mod day;
mod explain;
mod line;
mod metrics;
mod routes;
mod run;
mod settings;
mod site;

pub use burn::{Burn, Objective};
pub use day::sum_up;
pub use explain::explain;
pub use run::run;
pub use settings::{DEFINITIONS, PROGRAM, Settings};
