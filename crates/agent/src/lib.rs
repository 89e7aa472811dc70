//! The agent process: beside one endpoint, the only grantor of its worker's
//! accelerators.
//!
//! Duties and their threads: `brain` runs the [`quincewheel_grant::Grantor`],
//! `endpoint` calls the endpoint and the object store, `peers` keeps
//! connections to other processes, `store` reads the ownership row, `pages`
//! serves metrics and health. Bounded rings join them.

mod brain;
mod endpoint;
mod metrics;
mod run;
mod settings;
mod site;

pub use run::run;
pub use settings::{DEFINITIONS, PROGRAM, Settings};
