//! Shares of teams in the capacity of a pool.

mod usage;

pub use usage::Usage;
