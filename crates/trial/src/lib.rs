//! Feeds the decision core seeded streams of jobs in virtual time and compares
//! it with simple schedulers.
//!
//! A driver at the core's interface, not a model of a cluster: workers have
//! accelerators and racks, jobs have shapes and run times, and nothing else is
//! imitated.

mod baseline;
mod driver;
mod policy;
mod report;
mod stream;

pub use baseline::Baseline;
pub use driver::run;
pub use policy::Policy;
pub use report::Report;
pub use stream::{Job, Scene, Site, Stream};
