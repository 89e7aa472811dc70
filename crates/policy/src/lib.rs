//! What starts first, what gives way to it, and which workers are left alone.
//!
//! Plain functions on plain views of jobs, workers and what runs there. Nothing here
//! knows a network, a clock or who owns: times are numbers that the caller passes in.
//! Where tasks go is told by `quincewheel-place`; the owner of a deployment applies
//! what both decide.

mod crash;
mod objective;
mod pace;
mod preemption;
mod quarantine;
mod rank;
mod reserve;

pub use crash::{CRASH_LIMIT, START_ISOLATION_MS};
pub use objective::{Objective, rounds};
pub use pace::{is_stalled, next_pace};
pub use preemption::{
    Guarantees, borrowed_reclaim_at, core_weight, guaranteed_reclaim_at, is_worth_preempting,
    preemption_loss,
};
pub use quarantine::{AVOIDANCE_MS, Quarantine, limit_avoided, max_quarantined};
pub use rank::{Lateness, Rank};
pub use reserve::{is_half_free, release_whole_workers, reserve_whole_workers};
