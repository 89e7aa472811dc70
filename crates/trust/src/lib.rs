//! Trust in workers, by the outcomes of their runs.

mod trust;

pub use trust::Trust;
