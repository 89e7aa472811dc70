//! Remote procedures for jobs of steps and tasks.

use std::time::Duration;

use quincewheel_http::{Body, Reply};
use quincewheel_job::{
    Answer, Call, Config, Job, MAX_STEPS, Refusal, Resources, Schedule, State, Step, Target,
    is_job_id,
};
use quincewheel_schema::jobs as schema;

use crate::connect::{Code, Codec, Fault};

use super::outline;

/// Path under which the procedures are served.
pub(crate) const PREFIX: &str = "/quincewheel.jobs.v1.Jobs/";

/// Name of the procedure that submits a job.
pub(crate) const SUBMIT: &str = "Submit";
const PROCEDURES: [&str; 4] = [SUBMIT, "GetState", "Cancel", "CountWaiting"];

/// Checks what can be known of a call before its body.
pub(crate) fn check(config: &Config, name: &str, key: &str) -> Result<(), Answer> {
    if !PROCEDURES.contains(&name) {
        return Err(Answer::Refused(Refusal::Path));
    }
    config.team_of_key(key).map(drop).ok_or(Answer::Refused(Refusal::Key))
}

/// Resolves a call against the configuration.
pub(crate) fn target(
    config: &Config,
    name: &str,
    codec: Codec,
    key: &str,
    body: &Body,
) -> Result<Target, Answer> {
    let Body::Whole(body) = body else {
        return Err(match body {
            Body::Oversized => Answer::Oversized,
            // The job's id is not known, so an earlier attempt may have been stored.
            Body::Refused => Answer::Unclear,
            _ => Answer::Invalid("the body ended early".to_owned()),
        });
    };
    let invalid = |fault: Fault| Answer::Invalid(fault.message);
    let (queue, call) = match name {
        SUBMIT => {
            if outline::count_steps(codec, body).is_some_and(|count| count > MAX_STEPS) {
                return Err(Answer::Invalid(format!("steps must have 1 to {MAX_STEPS} entries")));
            }
            let request: schema::SubmitRequest = codec.decode(body).map_err(invalid)?;
            (request.queue, Call::Submit { id: request.id })
        }
        "GetState" => {
            let request: schema::GetStateRequest = codec.decode(body).map_err(invalid)?;
            (request.queue, Call::State { id: request.id })
        }
        "Cancel" => {
            let request: schema::CancelRequest = codec.decode(body).map_err(invalid)?;
            (request.queue, Call::Cancel { id: request.id })
        }
        "CountWaiting" => {
            let request: schema::CountWaitingRequest = codec.decode(body).map_err(invalid)?;
            (request.queue, Call::Waiting)
        }
        _ => return Err(Answer::Refused(Refusal::Path)),
    };
    let queue = config.queues.get(&queue).ok_or(Answer::Refused(Refusal::Queue))?.clone();
    let team = config.team_of_key(key).ok_or(Answer::Refused(Refusal::Key))?.to_owned();
    if call.id().is_some_and(|id| !is_job_id(id)) {
        return Err(Answer::Invalid("id must be 16 hexadecimal digits".to_owned()));
    }
    Ok(Target { call, queue, team, requires_key: true })
}

/// Decodes the job of a submission.
pub(crate) fn job(
    target: &Target,
    codec: Codec,
    body: &[u8],
    accepted: u64,
) -> Result<Job, String> {
    let request: schema::SubmitRequest = codec.decode(body).map_err(|fault| fault.message)?;
    let schedule = request.schedule.filter(|schedule| schedule.times > 0);
    let job = Job {
        team: target.team.clone(),
        queue: target.queue.clone(),
        spec: request.spec,
        steps: request.steps.into_iter().map(step).collect(),
        schedule: schedule.map(|schedule| Schedule {
            times: schedule.times,
            first: schedule.first_ms,
            every: schedule.every_ms,
        }),
        accepted,
    };
    job.check().map_err(|error| error.to_string())?;
    Ok(job)
}

fn step(step: schema::Step) -> Step {
    let need = step.need.unwrap_or_default();
    Step {
        count: step.count,
        need: Resources { cpu: need.cpu, memory: need.memory, accelerators: need.accelerators },
        estimate: step.estimate_ms,
        after: step.after,
        checkpoints: step.checkpoints,
        gang: step.gang,
        same_rack: step.same_rack,
        label: step.label,
        near: step.near,
        per_worker: step.per_worker,
        speculative: step.speculative,
        perpetual: step.perpetual,
        image: step.image,
        target: step.target_ms,
        fills: step.fills,
        may_miss: step.max_missing,
    }
}

/// Encodes a reply.
pub(crate) fn encode(name: &str, codec: Codec, answer: &Answer) -> Reply {
    match answer {
        Answer::Accepted => codec.reply(&schema::SubmitReply {}),
        Answer::Cancelled => state_reply(codec, schema::State::Cancelled),
        Answer::State(state) => state_reply(codec, schema_state(*state)),
        Answer::Waiting(waiting) => {
            codec.reply(&schema::CountWaitingReply { waiting: *waiting as u64 })
        }
        Answer::Unknown => Fault::new(Code::NotFound, "no such job").reply(),
        Answer::Refused(Refusal::Queue) => field_fault("queue", Code::NotFound, "no such queue"),
        Answer::Refused(Refusal::Key) => {
            field_fault("authorization", Code::Unauthenticated, "give a team's key as bearer token")
        }
        Answer::Refused(Refusal::Path) => {
            Fault::new(Code::Unimplemented, &format!("no procedure {name}")).reply()
        }
        Answer::Invalid(text) => {
            // The message begins with the field's name.
            let field = text.split(' ').next().unwrap_or_default();
            Fault::invalid(field, text).reply()
        }
        Answer::Oversized => field_fault("body", Code::ResourceExhausted, "the body is too large"),
        Answer::Unavailable(after) => {
            let fault = Fault::new(Code::Unavailable, "nothing was done; try again");
            fault.retry_after(Duration::from_millis(*after)).reply()
        }
        Answer::Unclear => {
            Fault::new(Code::Aborted, "outcome unknown; send the same again").reply()
        }
    }
}

fn field_fault(field: &str, code: Code, message: &str) -> Reply {
    let mut fault = Fault::new(code, message);
    fault.detail.field = field.to_owned();
    fault.reply()
}

fn state_reply(codec: Codec, state: schema::State) -> Reply {
    codec.reply(&schema::StateReply { state: state.into() })
}

fn schema_state(state: State) -> schema::State {
    match state {
        State::Queued => schema::State::Queued,
        State::Running => schema::State::Running,
        State::Succeeded => schema::State::Succeeded,
        State::Failed => schema::State::Failed,
        State::Cancelled => schema::State::Cancelled,
    }
}
