//! The brain of an agent: the only grantor of its worker's accelerators.
//!
//! [`Grantor`] performs no I/O. It is handed an [`Input`] and the time, and
//! gives back [`Output`]s to carry out. It obeys the owner with the highest
//! epoch it has seen and no other, starts only what it was told to start, and
//! keeps how each part ended until the owner has recorded it.

mod gang;
mod grantor;
mod held;
mod input;
mod output;
mod settings;

pub use grantor::Grantor;
pub use input::{End, Input};
pub use output::Output;
pub use settings::Settings;
