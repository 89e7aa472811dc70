//! Generated types of the RPC schema and of the stored rows.
//!
//! The sources are `proto/quincewheel/v1/*.proto`. The generated code is
//! committed so that a build needs no generator; `tests/generated.rs` makes it
//! anew and compares, and with `QUINCEWHEEL_REGENERATE=1` writes it.

/// The schema itself, for operators who want to print it.
pub const SCHEDULER_PROTO: &str = include_str!("../proto/quincewheel/v1/scheduler.proto");

/// Messages of `quincewheel.v1`.
#[allow(missing_docs, clippy::all, rustdoc::all)]
pub mod v1 {
    include!("gen/quincewheel.v1.rs");
    include!("gen/quincewheel.v1.serde.rs");
}

/// The schema of jobs of steps and tasks.
pub const JOBS_PROTO: &str = include_str!("../proto/quincewheel/jobs/v1/jobs.proto");

/// Messages of `quincewheel.jobs.v1`.
#[allow(missing_docs, clippy::all, rustdoc::all)]
pub mod jobs {
    include!("gen/quincewheel.jobs.v1.rs");
    include!("gen/quincewheel.jobs.v1.serde.rs");
}
