//! Placement of tasks on workers.
//!
//! Pure functions over a snapshot of the workers: [`pack`] places the tasks of a step in free
//! capacity, [`plan_preemption`] finds the cheapest work to preempt where there is none. Both
//! keep workers and racks whole where they can, because scattered small tasks starve the gangs
//! that need many accelerators close together.

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
