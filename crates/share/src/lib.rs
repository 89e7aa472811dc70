//! Shares of teams in the capacity of a pool.
//!
//! Where steps of several teams of the same priority wait for room, a team that uses more than its
//! share comes after the others. Usage is that of dominant resource fairness, of what runs beyond
//! the team's guarantee: what runs now, or its decaying mean if that is higher. Pure functions over views of pools: nothing
//! here uses a network or a clock, and the caller passes the time in.

mod account;
mod contest;
mod demand;
mod pool;
mod rise;
mod round;
mod row;
mod shares;
mod standing;
mod usage;

pub use account::Account;
pub use demand::Demand;
pub use pool::Pool;
pub use rise::Rise;
pub use round::Round;
pub use shares::Shares;
pub use standing::Standing;
pub use usage::Usage;
