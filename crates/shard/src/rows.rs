//! Conversion between stored rows (generated types) and the crates' own types.

use std::time::Duration;

use quincewheel_pool::{Adjacency, Shape, Share};
use quincewheel_schema::v1;
use quincewheel_wire::{Job, Outcome};

/// Key of the ownership row.
pub(crate) const OWNER_KEY: &str = "owner";

/// Key prefix of all job rows.
pub(crate) const JOB_KEY_PREFIX: &str = "job/";

/// Returns the key of a job's row.
pub(crate) fn job_key(team: &str, request: &str) -> String {
    format!("{JOB_KEY_PREFIX}{team}/{request}")
}

/// Converts a shape to the schema's type.
pub fn shape_to_row(shape: &Shape) -> v1::Shape {
    let adjacency = match shape.adjacency {
        Adjacency::Any => v1::Adjacency::Any,
        Adjacency::Zone => v1::Adjacency::Zone,
        Adjacency::Rack => v1::Adjacency::Rack,
        Adjacency::Worker => v1::Adjacency::Worker,
    };
    v1::Shape { tasks: shape.tasks, accelerators: shape.accelerators, adjacency: adjacency.into() }
}

/// Converts a shape from the schema's type. An unknown adjacency becomes
/// [`Adjacency::Any`].
pub fn shape_from_row(row: &v1::Shape) -> Shape {
    let adjacency = match row.adjacency() {
        v1::Adjacency::Any => Adjacency::Any,
        v1::Adjacency::Zone => Adjacency::Zone,
        v1::Adjacency::Rack => Adjacency::Rack,
        v1::Adjacency::Worker => Adjacency::Worker,
    };
    Shape::new(row.tasks, row.accelerators, adjacency)
}

pub(crate) fn shares_to_row(shares: &[Share]) -> Vec<v1::Share> {
    let share = |s: &Share| v1::Share { shape: Some(shape_to_row(&s.shape)), count: s.count };
    shares.iter().map(share).collect()
}

pub(crate) fn shares_from_row(rows: &[v1::Share]) -> Vec<Share> {
    let share = |row: &v1::Share| {
        let shape = shape_from_row(row.shape.as_ref()?);
        Some(Share { shape, count: row.count })
    };
    rows.iter().filter_map(share).collect()
}

/// Converts a job with its state or outcome to a row.
pub(crate) fn job_to_row(job: &Job, outcome: &Outcome, attempts: u32) -> v1::JobRow {
    let mut row = v1::JobRow {
        team: job.team.clone(),
        request_id: job.request.clone(),
        idempotent: job.idempotent,
        shape: Some(shape_to_row(&job.shape)),
        urgent: job.urgent,
        run_ms: job.run.as_millis() as u64,
        body_digest: job.digest.clone(),
        attempts,
        ..v1::JobRow::default()
    };
    // A final row does not need the payload; one of a queued or started job does.
    if !outcome.terminal() {
        row.payload = job.payload.clone();
    }
    let state = match outcome {
        Outcome::Queued => v1::State::Queued,
        Outcome::Started => v1::State::Started,
        Outcome::Done { result, object, digest } => {
            row.result = result.clone();
            row.result_object = object.clone();
            row.result_digest = digest.clone();
            v1::State::Done
        }
        Outcome::Failed { reason } => {
            row.reason = reason.clone();
            v1::State::Failed
        }
        Outcome::NotRun { reason, .. } => {
            row.reason = reason.clone();
            v1::State::NotRun
        }
        Outcome::CancelledNotRun => v1::State::CancelledNotRun,
        Outcome::CancelledStopped => v1::State::CancelledStopped,
        Outcome::Unknown { reason } => {
            row.reason = reason.clone();
            v1::State::Unknown
        }
    };
    row.state = state.into();
    row
}

/// Converts a row to the job and its state or outcome.
pub(crate) fn job_from_row(row: &v1::JobRow) -> (Job, Outcome) {
    let job = Job {
        team: row.team.clone(),
        request: row.request_id.clone(),
        idempotent: row.idempotent,
        shape: row.shape.as_ref().map_or(Shape::new(1, 1, Adjacency::Any), shape_from_row),
        urgent: row.urgent,
        deadline: Duration::from_secs(86_400),
        run: Duration::from_millis(row.run_ms),
        payload: row.payload.to_vec(),
        digest: row.body_digest.clone(),
        wait: false,
        again: false,
        first: false,
    };
    let reason = row.reason.clone();
    let outcome = match row.state() {
        v1::State::Unspecified | v1::State::Queued => Outcome::Queued,
        v1::State::Started => Outcome::Started,
        v1::State::Done => Outcome::Done {
            result: row.result.to_vec(),
            object: row.result_object.clone(),
            digest: row.result_digest.clone(),
        },
        v1::State::Failed => Outcome::Failed { reason },
        v1::State::NotRun => Outcome::NotRun { reason, retry_after: Duration::from_secs(1) },
        v1::State::CancelledNotRun => Outcome::CancelledNotRun,
        v1::State::CancelledStopped => Outcome::CancelledStopped,
        v1::State::Unknown => Outcome::Unknown { reason },
    };
    (job, outcome)
}
