//! Entries, agents and endpoints of one test, joined by fakes at their
//! interfaces: links, a table and endpoints, all under the runtime's paused
//! clock. Not a simulator of a cluster: it has no model of load or of
//! hardware, only what is needed to bring failures about one by one.

mod chaos;
mod delivery;
mod endpoint;
mod links;
mod table;
mod views;
mod world;

use std::time::Duration;

use quincewheel_pool::{Adjacency, Shape, Share};
use quincewheel_wire::{Answer, Job, Outcome, Refusal};

pub use chaos::Chaos;
pub use table::Table;
pub use world::{Who, World, put_guarantee, put_team};

pub const TEAM: &str = "banco";
pub const OTHER: &str = "cooperativa";

/// How long a gang may be partial at its start and end, as stated in
/// docs/PROOFS.md: the gang's silence, a beat, and the hard stop.
pub const GANG_BOUND: Duration = Duration::from_secs(6);

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A job of one task that takes `work` at its endpoint.
pub fn job(request: &str, idempotent: bool, work: Duration) -> Job {
    Job {
        team: TEAM.to_owned(),
        request: request.to_owned(),
        idempotent,
        shape: Shape::new(1, 1, Adjacency::Any),
        urgent: false,
        deadline: secs(60),
        run: work,
        payload: work.as_millis().to_string().into_bytes(),
        digest: format!("digest of {request}"),
        wait: true,
        again: false,
        first: true,
    }
}

/// The same job as a gang of whole workers.
pub fn gang(request: &str, idempotent: bool, work: Duration, workers: u32) -> Job {
    let shape = Shape::new(workers, 8, Adjacency::Any);
    Job { shape, ..job(request, idempotent, work) }
}

pub fn share(shape: Shape, count: u32) -> Share {
    Share { shape, count }
}

/// A short name for an answer, for snapshots.
pub fn name(answer: Option<&Answer>) -> String {
    match answer {
        None => "none".to_owned(),
        Some(Answer::Job { outcome, .. }) => outcome.name().to_owned(),
        Some(Answer::Changed { version, .. }) => format!("changed to {version}"),
        Some(Answer::Refused(Refusal::Conflict { current, .. })) => {
            format!("conflict, current {current}")
        }
        Some(Answer::Refused(Refusal::Unavailable { .. })) => "unavailable".to_owned(),
        Some(Answer::Refused(refusal)) => format!("refused: {refusal:?}"),
        Some(answer) => format!("{answer:?}"),
    }
}

pub fn not_run(answer: Option<&Answer>) -> bool {
    matches!(answer, Some(Answer::Job { outcome: Outcome::NotRun { .. }, .. }))
}
