//! Where tasks go.
//!
//! Pure functions over a picture of the workers: [`pack`] finds free places
//! for the tasks of a step, [`reclaim`] finds the cheapest work to take away
//! where there are none. Both keep workers and racks whole where they can,
//! because scattered small tasks starve the gangs that need many accelerators
//! side by side.

mod ask;
mod hold;
mod pack;
mod reclaim;
mod spot;

pub use ask::Ask;
pub use hold::Hold;
pub use pack::{Choice, pack};
pub use reclaim::{Claim, reclaim};
pub use spot::{Holder, Spot};
