//! Scheduling policy: which work starts first, which is preempted for it, and which workers a task
//! avoids.
//!
//! Pure functions over views of jobs, workers and runs. Nothing here uses a network, a clock or
//! knows which process is the owner: the caller passes the time in. Placement is up to
//! `quincewheel-place`; the owner of a deployment applies the decisions of both.

mod avoidance;
mod crash;
mod objective;
mod pace;
mod preemption;
mod rank;
mod reserve;

pub use avoidance::{AVOIDANCE_MS, limit_avoided};
pub use crash::{START_ISOLATION_MS, is_given_up};
pub use objective::{Objective, rounds};
pub use pace::{is_stalled, next_pace};
pub use preemption::{
    Guarantees, borrowed_reclaim_at, core_weight, guaranteed_reclaim_at, is_worth_preempting,
    preemption_loss,
};
pub use rank::{Lateness, Rank};
pub use reserve::{is_any_resource_half_free, release_whole_workers, reserve_whole_workers};
