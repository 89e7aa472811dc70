//! Relative speed of machines, learned from the times that runs take on them.
//!
//! [`compare`] turns the times of runs of one step into observations, [`Speed`] keeps a record of
//! them for each machine, and [`Spread`] decides whether the machines of a pool differ by enough
//! that placement should consider it. Nothing here knows jobs or workers: machines are names, and
//! the caller passes the time of day in.

mod compare;
mod estimate;
mod record;
mod row;
mod sample;
mod speed;
mod spread;

pub use compare::{compare, is_uniform};
pub use estimate::Estimate;
pub use sample::Sample;
pub use speed::Speed;
pub use spread::Spread;
