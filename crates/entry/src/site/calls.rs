//! Answers clients' calls.

use std::pin::pin;
use std::time::Duration;

use quincewheel_dispatch::{JobView, rows};
use quincewheel_http::Body;
use quincewheel_job::{Answer, Call, Job, Target};
use quincewheel_platform::Space;
use quincewheel_store::{Change, Commit, Error, Read};
use quincewheel_wire::{Peer, Verdict};

use super::looks;
use super::news;
use super::state::{Shared, Site};
use super::stores;
use super::work::Work;

/// A call to the table without an answer is given up after this time. A slow
/// table writes within some 450 ms; clients wait for 3 s and do better to ask
/// elsewhere than to be held here.
const TIMEOUT: Duration = Duration::from_millis(900);
/// For so many milliseconds an entry goes on trying to write a submission whose
/// first write got no answer: the row may be there, and only another write
/// tells. Clients wait for 3,000, and ask again at once if told "unclear".
const SETTLE: u64 = 2000;
/// Pause between two such tries.
const PAUSE: Duration = Duration::from_millis(100);

/// Answers one call, and logs what did not go well.
pub(crate) async fn answer(shared: &Shared, work: &Work) -> Answer {
    let began = quincewheel_clock::boot();
    let target = find(shared, work);
    let call = target.as_ref().ok().map(|target| target.call.clone());
    let answer = match target {
        Ok(target) => truthful(shared, &target.call, decide(shared, work, &target).await),
        Err(answer) => unfound(shared, work, answer),
    };
    let ms = quincewheel_clock::boot() - began;
    let method = work.form.method();
    shared.metrics.count(method, &answer, ms);
    if !answer.is_success() {
        let id = call.as_ref().and_then(Call::id).unwrap_or_default();
        let age = began.saturating_sub(shared.proved.get());
        let version = shared.config.borrow().as_ref().map_or(0, |config| config.version);
        log::info!(event = "refused", job = id, method = method, ms = ms, config = version, age = age; "{answer:?}");
    }
    answer
}

/// A call that was refused before it was looked at: the job that it submits may
/// all the same have been written by an earlier try.
fn unfound(shared: &Site, work: &Work, answer: Answer) -> Answer {
    let config = shared.config.borrow();
    let target = config.as_ref().map(|config| work.form.target(config, &work.body));
    match target {
        Some(Ok(target)) => truthful(shared, &target.call, answer),
        _ => answer,
    }
}

/// A submission may be called not accepted only if no earlier write for it at
/// this entry may have taken effect.
fn truthful(shared: &Site, call: &Call, answer: Answer) -> Answer {
    let Call::Submit { id } = call else { return answer };
    let now = quincewheel_clock::boot();
    match answer {
        Answer::Accepted => {
            shared.unsettled.borrow_mut().resolve(id);
            Answer::Accepted
        }
        Answer::Unavailable(_) if shared.unsettled.borrow().contains(id, now) => Answer::Unclear,
        answer => answer,
    }
}

async fn decide(shared: &Shared, work: &Work, target: &Target) -> Answer {
    match &target.call {
        Call::Waiting => Answer::Waiting(shared.mirror.borrow().queued_jobs(&target.queue.name)),
        Call::State { id } => tell_state(shared, target, id).await,
        Call::Cancel { id } => cancel(shared, target, id).await,
        Call::Submit { id } => match &work.body {
            Body::Cut => Answer::Invalid("the body ended early".to_owned()),
            Body::Oversized => Answer::Oversized,
            Body::Whole(body) => match work.form.job(target, body, quincewheel_clock::wall()) {
                Ok(job) => submit(shared, target, id, job).await,
                Err(text) => Answer::Invalid(text),
            },
        },
    }
}

fn find(shared: &Site, work: &Work) -> Result<Target, Answer> {
    let config = shared.config.borrow();
    let Some(config) = config.as_ref() else { return Err(busy(shared)) };
    let target = work.form.target(config, &work.body)?;
    if target.requires_key && !shared.current(quincewheel_clock::boot()) {
        return Err(busy(shared));
    }
    match &work.body {
        Body::Whole(body) if body.len() > config.body => Err(Answer::Oversized),
        _ => Ok(target),
    }
}

/// Stores a job. One row a job: the same one again finds it there.
async fn submit(shared: &Site, target: &Target, id: &str, job: Job) -> Answer {
    if let Some(answer) = known(shared, target, id) {
        return answer;
    }
    let began = quincewheel_clock::boot();
    match store(shared, id, &job).await {
        Ok(stored) => {
            accepted(shared, id, job, stored, quincewheel_clock::boot() - began);
            Answer::Accepted
        }
        Err(Error::Conflict { .. }) => match look(shared, id).await {
            Ok(Some(view)) if owned(&view, target) => Answer::Accepted,
            Ok(_) => Answer::Invalid("another team's job has this name".to_owned()),
            // The row is there, whoever wrote it: this is no refusal.
            Err(_) => Answer::Unclear,
        },
        Err(error) => failed(shared, &error),
    }
}

/// How a job was stored.
#[derive(Clone, Copy)]
enum Stored {
    /// By this entry, at this version.
    Here(u64),
    /// By another entry, which tells the owner; the version is known if it was stored now.
    Elsewhere(Option<u64>),
}

/// Writes a job's row, or has another entry write it where the table does not answer
/// this one.
async fn store(shared: &Site, id: &str, job: &Job) -> Result<Stored, Error> {
    let commit = stores::job_row(id, job);
    let mut here = pin!(store_here(shared, id, &commit));
    let ask = |number| Peer::Store { number, id: id.to_owned(), job: job.clone() };
    let mut elsewhere = pin!(stores::elsewhere(shared, id, ask));
    let result = match tokio::time::timeout(stores::HEDGE, &mut here).await {
        Ok(result) => result,
        Err(_) => tokio::select! {
            result = &mut here => result,
            verdict = &mut elsewhere => match settled(verdict) {
                Some(result) => return result,
                None => return here.await.map(Stored::Here),
            },
        },
    };
    match result {
        Err(error @ (Error::Refused { .. } | Error::Unclear { .. })) => {
            settled(elsewhere.await).unwrap_or(Err(error))
        }
        result => result.map(Stored::Here),
    }
}

/// What another entry's verdict means; none if this entry's own write decides.
fn settled(verdict: Verdict) -> Option<Result<Stored, Error>> {
    match verdict {
        Verdict::Stored(version) => Some(Ok(Stored::Elsewhere(Some(version)))),
        Verdict::Known => Some(Ok(Stored::Elsewhere(None))),
        Verdict::Foreign => Some(Err(Error::Conflict { key: String::new() })),
        Verdict::Refused | Verdict::Unclear => None,
    }
}

/// Writes a job's row. Once a write got no answer, tries go on for a while even
/// where the table is lost: only another one tells what became of it.
async fn store_here(shared: &Site, id: &str, commit: &Commit) -> Result<u64, Error> {
    let begun = quincewheel_clock::boot();
    loop {
        let now = quincewheel_clock::boot();
        let unsettled = shared.unsettled.borrow().contains(id, now);
        let result = match unsettled {
            true => attempt(shared, commit).await,
            false => write(shared, commit).await,
        };
        if matches!(result, Err(Error::Unclear { .. })) {
            shared.unsettled.borrow_mut().record(id, now);
        }
        let open = matches!(result, Err(Error::Unclear { .. } | Error::Refused { .. }))
            && shared.unsettled.borrow().contains(id, now);
        if !open || quincewheel_clock::boot() + TIMEOUT.as_millis() as u64 > begun + SETTLE {
            return result;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Writes for a client. Where the table is known to be lost, nothing is sent,
/// and the client is told so at once instead of being held.
async fn write(shared: &Site, commit: &Commit) -> Result<u64, Error> {
    if shared.is_table_lost() {
        let (step, peer) = ("commit", shared.settings.table_address.clone());
        let detail = "not sent: the table does not answer".to_owned();
        return Err(Error::Refused { step, peer, detail });
    }
    attempt(shared, commit).await
}

/// Writes once, and takes note of whether the table answers.
pub(crate) async fn attempt(shared: &Site, commit: &Commit) -> Result<u64, Error> {
    let result = shared.table.commit(commit, TIMEOUT).await;
    match &result {
        Ok(_) | Err(Error::Conflict { .. }) => shared.table_answered(Ok(())),
        Err(error) => shared.table_answered(Err(error)),
    }
    result
}

/// A job that is known already is accepted again.
fn known(shared: &Site, target: &Target, id: &str) -> Option<Answer> {
    let mirror = shared.mirror.borrow();
    let view = mirror.jobs.get(id).filter(|view| view.job.is_some())?;
    Some(match owned(view, target) {
        true => Answer::Accepted,
        false => Answer::Invalid("another team's job has this name".to_owned()),
    })
}

/// The job is stored, which took so many milliseconds: tells it, and takes it in.
fn accepted(shared: &Site, id: &str, job: Job, stored: Stored, ms: u64) {
    let (queue, team, chain) = (job.queue.name.as_str(), job.team.as_str(), job.critical_path());
    let version = match stored {
        Stored::Here(version) | Stored::Elsewhere(Some(version)) => version,
        Stored::Elsewhere(None) => 0,
    };
    log::info!(event = "accepted", job = id, queue = queue, team = team, chain = chain, ms = ms; "version {version} {}", job.shape());
    match stored {
        Stored::Here(version) => news::accepted(shared, id, job, version),
        Stored::Elsewhere(Some(version)) => news::keep(shared, id, &job, version),
        Stored::Elsewhere(None) => {}
    }
}

async fn tell_state(shared: &Site, target: &Target, id: &str) -> Answer {
    looks::refresh(shared, id).await;
    match find_job(shared, id).await {
        Ok(Some(view)) if owned(&view, target) => Answer::State(view.state()),
        Ok(_) => Answer::Unknown,
        Err(_) => busy(shared),
    }
}

/// Writes the cancellation, also of a job that is unknown: its submission may
/// still be on its way, and must then find it.
async fn cancel(shared: &Site, target: &Target, id: &str) -> Answer {
    let view = match find_job(shared, id).await {
        Ok(view) => view,
        Err(_) => return busy(shared),
    };
    let known = view.as_ref().is_some_and(|view| owned(view, target));
    if view.as_ref().is_some_and(|view| view.job.is_some()) && !known {
        return Answer::Unknown;
    }
    if view.as_ref().is_some_and(|view| view.state().is_final()) {
        return if known { Answer::Cancelled } else { Answer::Unknown };
    }
    let mut result = write(shared, &stores::cancel_row(id)).await;
    if matches!(result, Err(Error::Refused { .. } | Error::Unclear { .. })) {
        let ask = |number| Peer::Cancel { number, id: id.to_owned() };
        if let Verdict::Stored(version) = stores::elsewhere(shared, id, ask).await {
            result = Ok(version);
        }
    }
    match result {
        Ok(version) => {
            log::info!(event = "cancelled", job = id; "version {version}");
            news::cancelled(shared, id);
            if known { Answer::Cancelled } else { Answer::Unknown }
        }
        Err(error) => failed(shared, &error),
    }
}

/// The job as this entry knows it, or else as the table has it: that a job
/// does not exist may be said only after the table was asked.
async fn find_job(shared: &Site, id: &str) -> Result<Option<JobView>, Error> {
    let known = shared.mirror.borrow().jobs.get(id).cloned();
    match known {
        Some(view) if view.job.is_some() => Ok(Some(view)),
        _ => look(shared, id).await,
    }
}

/// Reads a job's rows.
pub(crate) async fn look(shared: &Site, id: &str) -> Result<Option<JobView>, Error> {
    if shared.is_table_lost() {
        let (step, peer) = ("read", shared.settings.table_address.clone());
        let detail = "not sent: the table does not answer".to_owned();
        return Err(Error::Refused { step, peer, detail });
    }
    let mut found = quincewheel_dispatch::Mirror::default();
    for key in [rows::job_key(id), rows::progress_key(id), rows::cancellation_key(id)] {
        let part = rows::part_of(&key);
        let read = Read { prefix: key, after: String::new(), limit: 1 };
        let (page, _) = shared.table.read(Space::System, part, &read, TIMEOUT).await?;
        for row in page.rows {
            let (key, version) = (row.key, row.version);
            found.apply(&Change { key, version, value: Some(row.value) });
        }
    }
    Ok(found.jobs.remove(id))
}

fn owned(view: &JobView, target: &Target) -> bool {
    let team = view.job.as_ref().map(|(job, _)| &job.team);
    team.is_some_and(|team| *team == target.team)
}

/// Nothing was done; the client is told when to come back.
fn busy(shared: &Site) -> Answer {
    Answer::Unavailable(shared.retry(quincewheel_clock::boot()))
}

fn failed(shared: &Site, error: &Error) -> Answer {
    match error {
        Error::Refused { .. } => busy(shared),
        _ => Answer::Unclear,
    }
}
