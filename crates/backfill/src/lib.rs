//! Claims of waiting gangs on capacity that becomes free, and backfill around them.
//!
//! A gang that cannot start claims workers for its tasks, with a planned start that is derived
//! from the expected ends of what runs there. Later work may use claimed capacity only if it is
//! expected to end before the planned start, or if it fits beside the claim. Pure functions over
//! views of workers and gangs: nothing here uses a network or a clock.

mod claim;
mod gang;
mod kept;
mod plan;
mod planner;
mod profile;
mod release;
mod run;
mod turn;

pub use claim::Claim;
pub use gang::Gang;
pub use kept::Kept;
pub use plan::Plan;
pub use planner::Planner;
pub use release::Release;
pub use run::Run;
pub use turn::Turn;
