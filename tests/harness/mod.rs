//! A test harness that runs entries and agents in one process, on fake
//! connections, a fake table and fake endpoints, under the runtime's paused
//! clock. It injects failures one at a time; it models neither load nor
//! hardware.

mod chaos;
mod cluster;
mod delivery;
mod endpoint;
mod links;
mod queries;
mod table_state;

use std::time::Duration;

use quincewheel_pool::{Adjacency, Shape, Share};
use quincewheel_wire::{Answer, Job, Outcome, Refusal};

pub use chaos::Chaos;
pub use cluster::{Cluster, Process, put_guarantee, put_team};
pub use table_state::TableState;

pub const TEAM: &str = "banco";
pub const OTHER: &str = "cooperativa";

/// How long a gang may run with only some of its members at its start and end,
/// as stated in docs/PROOFS.md: the gang timeout, one heartbeat interval and
/// the hard stop.
pub const GANG_BOUND: Duration = Duration::from_secs(6);

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a job of one task that runs for `work` at its endpoint.
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

/// Returns the job of [`job`] as a gang that takes `workers` whole workers.
pub fn gang(request: &str, idempotent: bool, work: Duration, workers: u32) -> Job {
    let shape = Shape::new(workers, 8, Adjacency::Any);
    Job { shape, ..job(request, idempotent, work) }
}

pub fn share(shape: Shape, count: u32) -> Share {
    Share { shape, count }
}

/// Returns a short name for an answer, for use in snapshots.
pub fn answer_name(answer: Option<&Answer>) -> String {
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

pub fn is_not_run(answer: Option<&Answer>) -> bool {
    matches!(answer, Some(Answer::Job { outcome: Outcome::NotRun { .. }, .. }))
}
