//! What starts first, what gives way to it, and which workers are left alone.
//!
//! Plain functions on plain views of jobs, workers and what runs there. Nothing here
//! knows a network, a clock or who owns: times are numbers that the caller passes in.
//! Where tasks go is told by `quincewheel-place`; the owner of a deployment applies
//! what both decide.

mod blame;
mod crash;
mod goal;
mod pace;
mod rank;
mod room;
mod spare;

pub use blame::{AVOIDED, Blame, bound_avoided, most_closed};
pub use crash::{APART, CRASHES};
pub use goal::{Goal, waves};
pub use pace::{share, stands_still};
pub use rank::{Hope, Rank};
pub use room::{Guarantees, last_call, loss, pays, promised, weight};
pub use spare::{is_half_free, spare, unspare};
