//! Conversion between the generated RPC types and the types of the scheduler.

use std::time::Duration;

use prost::Message;
use quincewheel_pool::{Shape, Share};
use quincewheel_schema::v1;
use quincewheel_shard::{shape_from_row, shape_to_row};
use quincewheel_wire::{Answer, Ask, Job, Outcome, Refusal, sha256};

use crate::connect::{Code, Fault};

/// Largest payload of a job, in bytes.
pub(crate) const MAX_PAYLOAD: usize = 65_536;
/// Longest deadline, in milliseconds: seven days.
const MAX_DEADLINE: u64 = 604_800_000;
/// Maximum number of guaranteed shapes in one call.
const MAX_SHARES: usize = 64;
/// Longest team name and request id, in characters.
const MAX_ID: usize = 128;

pub(crate) fn submit(request: v1::SubmitRequest) -> Result<Ask, Fault> {
    check_id("team", &request.team)?;
    check_id("request_id", &request.request_id)?;
    let shape = shape("shape", request.shape.as_ref())?;
    let deadline = deadline(request.deadline_ms)?;
    if request.payload.len() > MAX_PAYLOAD {
        let text = format!("{} bytes; at most {MAX_PAYLOAD} are taken", request.payload.len());
        return Err(Fault::invalid("payload", &text));
    }
    // The digest leaves out fields that may differ between retries of the same job.
    let body =
        v1::SubmitRequest { deadline_ms: 0, wait: false, first_try: false, ..request.clone() };
    Ok(Ask::Submit(Job {
        digest: sha256(&body.encode_to_vec()),
        team: request.team,
        request: request.request_id,
        idempotent: request.idempotent,
        shape,
        urgent: request.urgent,
        deadline,
        run: Duration::from_millis(request.run_ms),
        payload: request.payload,
        wait: request.wait,
        again: false,
        first: request.first_try,
    }))
}

pub(crate) fn wait(request: v1::WaitRequest) -> Result<Ask, Fault> {
    let deadline = deadline(request.deadline_ms)?;
    let (team, request) = job_name(request.team, request.request_id)?;
    Ok(Ask::Wait { team, request, deadline })
}

pub(crate) fn cancel(request: v1::CancelRequest) -> Result<Ask, Fault> {
    let (team, request) = job_name(request.team, request.request_id)?;
    Ok(Ask::Cancel { team, request })
}

pub(crate) fn get_job(request: v1::GetJobRequest) -> Result<Ask, Fault> {
    let (team, request) = job_name(request.team, request.request_id)?;
    Ok(Ask::Get { team, request })
}

pub(crate) fn put_team(request: v1::PutTeamRequest) -> Result<Ask, Fault> {
    check_id("team", &request.team)?;
    let digest = request.key_digest.to_lowercase();
    if digest.len() != 64 || !digest.chars().all(|c| c.is_ascii_hexdigit()) {
        let text = "not a SHA-256 digest in hexadecimal (64 digits)";
        return Err(Fault::invalid("key_digest", text));
    }
    Ok(Ask::PutTeam {
        team: request.team,
        expected: request.expected_version,
        key_digest: digest,
        quota: request.quota,
    })
}

pub(crate) fn put_guarantee(request: v1::PutGuaranteeRequest) -> Result<Ask, Fault> {
    check_id("team", &request.team)?;
    if request.shares.len() > MAX_SHARES {
        let text = format!("{} shares; at most {MAX_SHARES} are taken", request.shares.len());
        return Err(Fault::invalid("shares", &text));
    }
    let mut shares = Vec::new();
    for share in &request.shares {
        if share.count == 0 || share.count > 10_000 {
            return Err(Fault::invalid("shares.count", "must be 1 to 10000"));
        }
        let shape = shape("shares.shape", share.shape.as_ref())?;
        shares.push(Share { shape, count: share.count });
    }
    Ok(Ask::PutGuarantee { team: request.team, expected: request.expected_version, shares })
}

pub(crate) fn put_drain(request: v1::PutDrainRequest) -> Result<Ask, Fault> {
    check_id("worker", &request.worker)?;
    Ok(Ask::PutDrain {
        worker: request.worker,
        expected: request.expected_version,
        drained: request.drained,
    })
}

fn job_name(team: String, request: String) -> Result<(String, String), Fault> {
    check_id("team", &team)?;
    check_id("request_id", &request)?;
    Ok((team, request))
}

fn check_id(field: &str, id: &str) -> Result<(), Fault> {
    let good = |c: char| c.is_ascii_alphanumeric() || "._-:".contains(c);
    if id.is_empty() || id.len() > MAX_ID || !id.chars().all(good) {
        let text = format!(
            "{field} must have 1 to {MAX_ID} letters, digits, dots, colons, dashes and underscores"
        );
        return Err(Fault::invalid(field, &text));
    }
    Ok(())
}

fn deadline(ms: u64) -> Result<Duration, Fault> {
    if ms == 0 {
        let text = "deadline_ms has expired or was not given; give the milliseconds that are left";
        return Err(Fault::invalid("deadline_ms", text));
    }
    if ms > MAX_DEADLINE {
        let text = format!("deadline_ms must be at most {MAX_DEADLINE} (seven days)");
        return Err(Fault::invalid("deadline_ms", &text));
    }
    Ok(Duration::from_millis(ms))
}

fn shape(field: &str, shape: Option<&v1::Shape>) -> Result<Shape, Fault> {
    let Some(shape) = shape else {
        return Err(Fault::invalid(field, &format!("{field} is missing")));
    };
    let bound = |name: &str, value: u32, most: u32| {
        if value == 0 || value > most {
            let field = format!("{field}.{name}");
            return Err(Fault::invalid(&field, &format!("{field} must be 1 to {most}")));
        }
        Ok(())
    };
    bound("tasks", shape.tasks, Shape::MAX_TASKS)?;
    bound("accelerators", shape.accelerators, Shape::MAX_ACCELERATORS)?;
    if v1::Adjacency::try_from(shape.adjacency).is_err() {
        let field = format!("{field}.adjacency");
        return Err(Fault::invalid(&field, &format!("{field} has no such value")));
    }
    Ok(shape_from_row(shape))
}

/// Converts the outcome of a job.
pub(crate) fn job_reply(
    team: &str,
    request: &str,
    outcome: Outcome,
    attempts: u32,
) -> v1::JobReply {
    let mut reply = v1::JobReply {
        team: team.to_owned(),
        request_id: request.to_owned(),
        attempts,
        ..v1::JobReply::default()
    };
    let state = match outcome {
        Outcome::Queued => v1::State::Queued,
        Outcome::Started => v1::State::Started,
        Outcome::Done { result, object, digest } => {
            reply.result = result;
            reply.result_object = object;
            reply.result_digest = digest;
            v1::State::Done
        }
        Outcome::Failed { reason } => {
            reply.reason = reason;
            v1::State::Failed
        }
        Outcome::NotRun { reason, retry_after } => {
            reply.reason = reason;
            reply.retry_after_ms = retry_after.as_millis() as u64;
            v1::State::NotRun
        }
        Outcome::CancelledNotRun => v1::State::CancelledNotRun,
        Outcome::CancelledStopped => v1::State::CancelledStopped,
        Outcome::Unknown { reason } => {
            reply.reason = reason;
            v1::State::Unknown
        }
    };
    reply.state = state.into();
    reply
}

/// Converts the state of the pool.
pub(crate) fn pool_reply(answer: Answer) -> v1::PoolReply {
    let Answer::Pool { epoch, owner, store, workers, teams } = answer else {
        return v1::PoolReply::default();
    };
    let worker = |w: quincewheel_wire::Worker| v1::WorkerView {
        worker: w.worker,
        zone: w.zone,
        rack: w.rack,
        accelerators: w.accelerators,
        free: w.free,
        state: w.condition,
        attempts: w.tasks,
    };
    let team = |t: quincewheel_wire::Team| v1::TeamView {
        team: t.team,
        version: t.version,
        quota: t.quota,
        guarantee_version: t.guarantee_version,
        guarantee: t
            .shares
            .iter()
            .map(|s| v1::Share { shape: Some(shape_to_row(&s.shape)), count: s.count })
            .collect(),
        held: t.held,
        queued: t.queued,
        guarantee_fits: t.fits,
    };
    v1::PoolReply {
        epoch,
        owner,
        workers: workers.into_iter().map(worker).collect(),
        teams: teams.into_iter().map(team).collect(),
        store_available: store,
    }
}

/// Converts the configuration in effect.
pub(crate) fn configuration_reply(answer: Answer) -> v1::ConfigurationReply {
    let Answer::Configuration { recorded, processes } = answer else {
        return v1::ConfigurationReply::default();
    };
    let view = |process: quincewheel_wire::Process| v1::ProcessView {
        process: process.name,
        configuration: process.configuration,
        entry: process.entry,
    };
    let processes = processes.into_iter().map(view).collect();
    v1::ConfigurationReply { configuration: recorded, processes }
}

/// Converts a refusal into an error.
pub(crate) fn fault(refusal: Refusal) -> Fault {
    match refusal {
        Refusal::Invalid { field, message } => Fault::invalid(&field, &message),
        Refusal::Denied { message } => Fault::new(Code::PermissionDenied, &message),
        Refusal::NotFound { field, message } => {
            let mut fault = Fault::new(Code::NotFound, &message);
            fault.detail.field = field;
            fault
        }
        Refusal::Conflict { field, message, current } => {
            let mut fault = Fault::new(Code::Aborted, &message);
            fault.detail.field = field;
            fault.detail.current_version = current;
            fault
        }
        Refusal::Unfit { message } => {
            let mut fault = Fault::new(Code::FailedPrecondition, &message);
            fault.detail.field = "shares".to_owned();
            fault
        }
        Refusal::Unavailable { message, retry_after } => {
            Fault::new(Code::Unavailable, &message).retry_after(retry_after)
        }
    }
}
