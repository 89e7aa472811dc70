//! The agent process. One runs beside each endpoint and alone grants the accelerators of its
//! worker.
//!
//! Each task has a thread of its own: `brain` runs the [`quincewheel_grant::Grantor`], `endpoint`
//! calls the endpoint and the object store, `peers` keeps the connections to other processes,
//! `store` reads the ownership row, and `pages` serves metrics and health checks. Bounded rings
//! connect them.
//!
//! On the users' platform the agent runs the `site` module instead.

mod endpoint;
mod grantor_thread;
mod metrics;
mod run;
mod settings;
mod site;

pub use run::run;
pub use settings::{DEFINITIONS, PROGRAM, Settings};
