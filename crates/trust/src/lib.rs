//! Trust in workers, by the outcomes of their runs.
//!
//! A faulty worker may fail every task within 50 ms of its start while it reports itself healthy.
//! Its capacity is what is free in a full pool, so it attracts the tasks that failed elsewhere and
//! takes their last attempts. [`Trust`] keeps what the ends of runs say about each worker and
//! grades it; [`Admission`] decides which workers a task may use, by the attempts it has left.
//!
//! Nothing here reads a clock: times are passed in, in milliseconds of the time of day, since a
//! later owner continues from the same records.

mod admission;
mod attempt;
mod change;
mod failure;
mod grade;
mod member;
mod outcome;
mod record;
mod standing;
mod trust;

pub use admission::Admission;
pub use attempt::Attempt;
pub use change::Change;
pub use grade::Grade;
pub use member::{Demand, Member};
pub use outcome::Outcome;
pub use record::Record;
pub use standing::Standing;
pub use trust::Trust;
