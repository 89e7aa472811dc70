//! Executes clients' calls.

use std::pin::pin;
use std::time::Duration;

use quincewheel_dispatch::{JobView, rows};
use quincewheel_http::Body;
use quincewheel_job::{Answer, Call, Job, Target};
use quincewheel_platform::Space;
use quincewheel_store::{Change, Commit, Error, Read};
use quincewheel_wire::{Peer, Verdict};

use super::client_call::{ClientCall, Protocol};
use super::forward;
use super::job_events;
use super::job_state;
use super::state::{Shared, Site};

/// Time limit for a call to the table. A slow table takes about 450 ms for a write. Clients wait
/// for 3 s, and are served sooner by retrying at another entry than by waiting here.
const TABLE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long an entry retries a submission whose first write got no reply, in milliseconds. The row
/// may have been written, and only another write can confirm it. Clients wait for 3,000 ms and
/// repeat the call at once after an "unclear" reply.
const CONFIRMATION_TIMEOUT_MS: u64 = 2000;
/// Delay between two of these retries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Executes one call and logs it if it was not successful.
pub(crate) async fn execute(shared: &Shared, call: &ClientCall) -> Answer {
    let started_at = quincewheel_clock::boot();
    let target = resolve_target(shared, call);
    let executed = target.as_ref().ok().map(|target| target.call.clone());
    let answer = match target {
        Ok(target) => resolve_answer(shared, &target.call, dispatch(shared, call, &target).await),
        Err(answer) => resolve_rejected(shared, call, answer),
    };
    let id = executed.as_ref().and_then(Call::id).unwrap_or_default();
    record(shared, &call.protocol, id, &answer, started_at);
    answer
}

/// Checks what can be known of a call before its body is received. Returns the largest body, in
/// bytes, or the answer.
pub(crate) fn check(shared: &Site, protocol: &Protocol) -> Result<usize, Answer> {
    let started_at = quincewheel_clock::boot();
    let checked = match shared.config.borrow().as_ref() {
        None => Err(unavailable(shared)),
        Some(config) => protocol.check(config).map(|()| config.body),
    };
    if let Err(answer) = &checked {
        record(shared, protocol, "", answer, started_at);
    }
    checked
}

/// Counts a call, and logs it if it was not successful.
fn record(shared: &Site, protocol: &Protocol, id: &str, answer: &Answer, started_at: u64) {
    let ms = quincewheel_clock::boot() - started_at;
    let method = protocol.method();
    shared.metrics.count_call(method, answer, ms);
    if !answer.is_success() {
        let age = started_at.saturating_sub(shared.config_confirmed_at.get());
        let version = shared.config.borrow().as_ref().map_or(0, |config| config.version);
        log::info!(event = "refused", job = id, method = method, ms = ms, config = version, age = age; "{answer:?}");
    }
}

/// Checks a call that was refused before it was executed: an earlier attempt may have written the
/// job that it submits.
fn resolve_rejected(shared: &Site, call: &ClientCall, answer: Answer) -> Answer {
    let config = shared.config.borrow();
    let target = config.as_ref().map(|config| call.protocol.target(config, &call.body));
    match target {
        Some(Ok(target)) => resolve_answer(shared, &target.call, answer),
        _ => answer,
    }
}

/// Replaces "unavailable" by "unclear" for a submission if an earlier write of it at this entry
/// may have taken effect.
fn resolve_answer(shared: &Site, call: &Call, answer: Answer) -> Answer {
    let Call::Submit { id } = call else { return answer };
    let now = quincewheel_clock::boot();
    match answer {
        Answer::Accepted => {
            shared.unanswered_writes.borrow_mut().resolve(id);
            Answer::Accepted
        }
        Answer::Unavailable(_) if shared.unanswered_writes.borrow().contains(id, now) => {
            Answer::Unclear
        }
        answer => answer,
    }
}

async fn dispatch(shared: &Shared, call: &ClientCall, target: &Target) -> Answer {
    match &target.call {
        Call::Waiting => Answer::Waiting(shared.mirror.borrow().queued_jobs(&target.queue.name)),
        Call::State { id } => query_state(shared, target, id).await,
        Call::Cancel { id } => cancel(shared, target, id).await,
        Call::Submit { id } => match &call.body {
            Body::Cut => Answer::Invalid("the body ended early".to_owned()),
            Body::Oversized => Answer::Oversized,
            Body::Refused => unavailable(shared),
            Body::Whole(body) => match call.protocol.job(target, body, quincewheel_clock::wall()) {
                Ok(job) => submit(shared, target, id, job).await,
                Err(text) => Answer::Invalid(text),
            },
        },
    }
}

fn resolve_target(shared: &Site, call: &ClientCall) -> Result<Target, Answer> {
    let config = shared.config.borrow();
    let Some(config) = config.as_ref() else { return Err(unavailable(shared)) };
    let target = call.protocol.target(config, &call.body)?;
    if target.requires_key && !shared.is_config_current(quincewheel_clock::boot()) {
        return Err(unavailable(shared));
    }
    match &call.body {
        Body::Whole(body) if body.len() > config.body => Err(Answer::Oversized),
        _ => Ok(target),
    }
}

/// Stores a job under its own row, so that a repeated submission finds it.
async fn submit(shared: &Site, target: &Target, id: &str, job: Job) -> Answer {
    if let Some(answer) = find_accepted(shared, target, id) {
        return answer;
    }
    if let Err(excess) = shared.settings.table_limits.check(&forward::job_commit(id, &job)) {
        return Answer::Invalid(format!("{} must be smaller: {excess}", largest_field(&job)));
    }
    let started_at = quincewheel_clock::boot();
    match store(shared, id, &job).await {
        Ok(stored) => {
            on_stored(shared, id, job, stored, quincewheel_clock::boot() - started_at);
            Answer::Accepted
        }
        Err(Error::Conflict { .. }) => match read_job(shared, id).await {
            Ok(Some(view)) if belongs_to(&view, target) => Answer::Accepted,
            Ok(_) => Answer::Invalid("another team's job has this name".to_owned()),
            // The row exists, whichever entry wrote it, so the submission is not refused.
            Err(_) => Answer::Unclear,
        },
        Err(error) => failure_answer(shared, &error),
    }
}

/// Returns the field of a job that takes the most space in its row.
fn largest_field(job: &Job) -> &'static str {
    let bytes = |text: serde_json::Result<String>| text.map_or(0, |text| text.len());
    let steps = bytes(serde_json::to_string(&job.steps));
    if bytes(serde_json::to_string(&job.spec)) > steps { "spec" } else { "steps" }
}

/// Which entry stored a job.
#[derive(Clone, Copy)]
enum Stored {
    /// This entry, at this version.
    Local(u64),
    /// Another entry, which notifies the owner. The version is present if the row was written now,
    /// and absent if it existed before.
    Forwarded(Option<u64>),
}

/// Writes a job's row, or forwards the write to another entry if the table does not answer this
/// one.
async fn store(shared: &Site, id: &str, job: &Job) -> Result<Stored, Error> {
    let commit = forward::job_commit(id, job);
    let mut local = pin!(store_locally(shared, id, &commit));
    let request = |number| Peer::Store { number, id: id.to_owned(), job: job.clone() };
    let mut forwarded = pin!(forward::forward_write(shared, id, request));
    let result = match tokio::time::timeout(forward::FORWARDING_DELAY, &mut local).await {
        Ok(result) => result,
        Err(_) => tokio::select! {
            result = &mut local => result,
            verdict = &mut forwarded => match final_result(verdict) {
                Some(result) => return result,
                None => return local.await.map(Stored::Local),
            },
        },
    };
    match result {
        Err(error @ (Error::Refused { .. } | Error::Unclear { .. })) => {
            final_result(forwarded.await).unwrap_or(Err(error))
        }
        result => result.map(Stored::Local),
    }
}

/// Converts another entry's verdict; `None` if this entry's own write decides.
fn final_result(verdict: Verdict) -> Option<Result<Stored, Error>> {
    match verdict {
        Verdict::Stored(version) => Some(Ok(Stored::Forwarded(Some(version)))),
        Verdict::Known => Some(Ok(Stored::Forwarded(None))),
        Verdict::Foreign => Some(Err(Error::Conflict { key: String::new() })),
        Verdict::Refused | Verdict::Unclear => None,
    }
}

/// Writes a job's row. After a write without a reply, it retries for a while even if the table is
/// lost, since only another write shows whether the first one took effect.
async fn store_locally(shared: &Site, id: &str, commit: &Commit) -> Result<u64, Error> {
    let started_at = quincewheel_clock::boot();
    loop {
        let now = quincewheel_clock::boot();
        let unanswered = shared.unanswered_writes.borrow().contains(id, now);
        let result = match unanswered {
            true => commit_once(shared, commit).await,
            false => commit_if_reachable(shared, commit).await,
        };
        if matches!(result, Err(Error::Unclear { .. })) {
            shared.unanswered_writes.borrow_mut().record(id, now);
        }
        let retry = matches!(result, Err(Error::Unclear { .. } | Error::Refused { .. }))
            && shared.unanswered_writes.borrow().contains(id, now);
        if !retry
            || quincewheel_clock::boot() + TABLE_TIMEOUT.as_millis() as u64
                > started_at + CONFIRMATION_TIMEOUT_MS
        {
            return result;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Writes on behalf of a client. While the table is lost it sends nothing, so that the client gets
/// its reply at once.
async fn commit_if_reachable(shared: &Site, commit: &Commit) -> Result<u64, Error> {
    if shared.is_table_lost() {
        let (step, peer) = ("commit", shared.settings.table_address.clone());
        let detail = "not sent: the table does not answer".to_owned();
        return Err(Error::Refused { step, peer, detail });
    }
    commit_once(shared, commit).await
}

/// Writes once, and records whether the table answers.
pub(crate) async fn commit_once(shared: &Site, commit: &Commit) -> Result<u64, Error> {
    let result = shared.table.commit(commit, TABLE_TIMEOUT).await;
    match &result {
        Ok(_) | Err(Error::Conflict { .. }) => shared.record_table_reply(Ok(())),
        Err(error) => shared.record_table_reply(Err(error)),
    }
    result
}

/// Accepts a repeated submission of a job that is in the mirror.
fn find_accepted(shared: &Site, target: &Target, id: &str) -> Option<Answer> {
    let mirror = shared.mirror.borrow();
    let view = mirror.jobs.get(id).filter(|view| view.job.is_some())?;
    Some(match belongs_to(view, target) {
        true => Answer::Accepted,
        false => Answer::Invalid("another team's job has this name".to_owned()),
    })
}

/// Logs that a job was stored within `ms` milliseconds, and passes it on.
fn on_stored(shared: &Site, id: &str, job: Job, stored: Stored, ms: u64) {
    let (queue, team, chain) = (job.queue.name.as_str(), job.team.as_str(), job.critical_path());
    let version = match stored {
        Stored::Local(version) | Stored::Forwarded(Some(version)) => version,
        Stored::Forwarded(None) => 0,
    };
    log::info!(event = "accepted", job = id, queue = queue, team = team, chain = chain, ms = ms; "version {version} {}", job.shape());
    match stored {
        Stored::Local(version) => job_events::notify_accepted(shared, id, job, version),
        Stored::Forwarded(Some(version)) => job_events::cache_job(shared, id, &job, version),
        Stored::Forwarded(None) => {}
    }
}

async fn query_state(shared: &Site, target: &Target, id: &str) -> Answer {
    job_state::refresh(shared, id).await;
    match find_job(shared, id).await {
        Ok(Some(view)) if belongs_to(&view, target) => Answer::State(view.state()),
        Ok(_) => Answer::Unknown,
        Err(_) => unavailable(shared),
    }
}

/// Writes the cancellation, for an unknown job as well: a submission that arrives later must find
/// it.
async fn cancel(shared: &Site, target: &Target, id: &str) -> Answer {
    let view = match find_job(shared, id).await {
        Ok(view) => view,
        Err(_) => return unavailable(shared),
    };
    let known = view.as_ref().is_some_and(|view| belongs_to(view, target));
    if view.as_ref().is_some_and(|view| view.job.is_some()) && !known {
        return Answer::Unknown;
    }
    if view.as_ref().is_some_and(|view| view.state().is_final()) {
        return if known { Answer::Cancelled } else { Answer::Unknown };
    }
    let mut result = commit_if_reachable(shared, &forward::cancellation_commit(id)).await;
    if matches!(result, Err(Error::Refused { .. } | Error::Unclear { .. })) {
        let request = |number| Peer::Cancel { number, id: id.to_owned() };
        if let Verdict::Stored(version) = forward::forward_write(shared, id, request).await {
            result = Ok(version);
        }
    }
    match result {
        Ok(version) => {
            log::info!(event = "cancelled", job = id; "version {version}");
            job_events::notify_cancelled(shared, id);
            if known { Answer::Cancelled } else { Answer::Unknown }
        }
        Err(error) => failure_answer(shared, &error),
    }
}

/// Finds a job in the mirror or else in the table, which must be read before the job is reported
/// as unknown.
async fn find_job(shared: &Site, id: &str) -> Result<Option<JobView>, Error> {
    let known = shared.mirror.borrow().jobs.get(id).cloned();
    match known {
        Some(view) if view.job.is_some() => Ok(Some(view)),
        _ => read_job(shared, id).await,
    }
}

/// Reads a job's rows from the table.
pub(crate) async fn read_job(shared: &Site, id: &str) -> Result<Option<JobView>, Error> {
    if shared.is_table_lost() {
        let (step, peer) = ("read", shared.settings.table_address.clone());
        let detail = "not sent: the table does not answer".to_owned();
        return Err(Error::Refused { step, peer, detail });
    }
    let mut found = quincewheel_dispatch::Mirror::default();
    for key in [rows::job_key(id), rows::progress_key(id), rows::cancellation_key(id)] {
        let part = rows::part_of(&key);
        let read = Read { prefix: key, after: String::new(), limit: 1 };
        let (page, _) = shared.table.read(Space::System, part, &read, TABLE_TIMEOUT).await?;
        for row in page.rows {
            let (key, version) = (row.key, row.version);
            found.apply(&Change { key, version, value: Some(row.value) });
        }
    }
    Ok(found.jobs.remove(id))
}

fn belongs_to(view: &JobView, target: &Target) -> bool {
    let team = view.job.as_ref().map(|(job, _)| &job.team);
    team.is_some_and(|team| *team == target.team)
}

/// Reports that nothing was done and when the client should retry.
fn unavailable(shared: &Site) -> Answer {
    Answer::Unavailable(shared.retry_after_ms(quincewheel_clock::boot()))
}

fn failure_answer(shared: &Site, error: &Error) -> Answer {
    match error {
        Error::Refused { .. } => unavailable(shared),
        _ => Answer::Unclear,
    }
}
