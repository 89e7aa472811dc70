//! The brain of an entry: who owns the shard, what became of each job, what is
//! recorded and when an answer may be given.
//!
//! [`Node`] performs no I/O. It is handed an [`Input`] and the time, and gives
//! back [`Output`]s to carry out. A node follows (`follower`) or owns (`owner`)
//! its shard. What must last goes through the table by way of `ledger`, which
//! commits in groups and settles lost answers.

mod config;
mod context;
mod denials;
mod follower;
mod input;
mod job;
mod ledger;
mod member;
mod node;
mod output;
mod owner;
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
