//! The decision core of the scheduler: which job starts where, and which work is reclaimed for it.
//!
//! The pool knows workers, teams, their guaranteed shapes and the jobs that
//! wait or hold accelerators. It performs no I/O and reads no clock: callers
//! pass the time in. Commands (`command`) change it; queries (`query`) do not.
//! Decisions come from [`Pool::decide`], which is a command because it allocates the accelerators
//! of the jobs that it starts.
//!
//! A worker's accelerators are cells in a buddy hierarchy (single, pair, quad,
//! octet), the published idea of HiveD (Zhao et al., OSDI '20). Unlike there,
//! guaranteed cells are not bound to places in advance: a guaranteed job may
//! take any cells that leave all other unused guarantees packable, with
//! borrowed work counted as reclaimable.

mod adjacency;
mod availability;
mod cell;
mod command;
mod decide;
mod decision;
mod demand;
mod estimate;
mod guarantee;
mod plan;
mod pool;
mod query;
mod queue;
mod shape;
mod share;
mod tally;
mod team;
mod worker;

pub use adjacency::Adjacency;
pub use decision::Decision;
pub use demand::Demand;
pub use pool::{Limits, Pool};
pub use query::{TeamView, WorkerView};
pub use shape::Shape;
pub use share::Share;
pub use worker::Condition;

/// Identifies a job within one pool. Assigned by the caller.
pub type JobId = u64;

/// The placement of a gang's tasks: worker and accelerator mask, by rank.
pub type Placement = Vec<(String, u64)>;
