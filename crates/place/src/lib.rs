//! Where tasks go.
//!
//! Pure functions over a picture of the workers: [`pack`] finds free places
//! for the tasks of a step, [`reclaim`] finds the cheapest work to take away
//! where there are none. Both keep workers and racks whole where they can,
//! because scattered small tasks starve the gangs that need many accelerators
//! side by side.

mod pack;
mod preemption;
mod protection;
mod request;
mod worker_state;

pub use pack::{WorkerIndex, pack};
pub use preemption::{Preemption, plan_preemption};
pub use protection::Protection;
pub use request::Request;
pub use worker_state::{Preemptible, WorkerState};
