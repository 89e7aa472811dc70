//! State machine of an entry: ownership of the shard, scheduling and outcomes of
//! its jobs, and their records.
//!
//! [`Node`] performs no I/O. It takes [`Input`]s with the time and returns
//! [`Output`]s to carry out. A node is either a follower (`follower`) or the owner
//! (`owner`) of its shard. Durable state is written through `ledger`, which batches
//! commits and resolves those whose reply was lost.

mod config;
mod context;
mod denials;
mod follower;
mod input;
mod job;
mod ledger;
mod node;
mod output;
mod owner;
mod peer;
mod record;
mod refusals;
mod reports;
mod rows;
mod settings;
mod starts;
mod takeover;
mod views;

pub use config::Config;
pub use input::Input;
pub use node::Node;
pub use output::Output;
pub use rows::{shape_from_row, shape_to_row};
pub use settings::Settings;
