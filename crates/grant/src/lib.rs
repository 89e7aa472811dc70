//! The state machine of an agent, which alone grants its worker's accelerators.
//!
//! [`Grantor`] performs no I/O: it takes an [`Input`] and the time and returns the [`Output`]s to
//! carry out. It follows the orders of the owner with the highest epoch that it has seen and of no
//! other, starts only attempts that were ordered to start, and keeps the report of each end until
//! the owner has recorded it.

mod gang;
mod grant;
mod grantor;
mod input;
mod output;
mod settings;

pub use grantor::Grantor;
pub use input::{End, Input};
pub use output::Output;
pub use settings::Settings;
