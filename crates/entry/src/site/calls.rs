//! Answers clients' calls.

use std::time::Duration;

use quincewheel_dispatch::{View, rows};
use quincewheel_http::Body;
use quincewheel_job::Job;
use quincewheel_platform::{self as platform, Answer, Call, Space, Target};
use quincewheel_store::{Change, Commit, Error, Expect, Put, Read};

use super::Work;
use super::own::put;
use super::state::{Shared, Site};

/// A write for a client without an answer is given up after this time: less
/// than clients wait.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// When nothing was done, a new try makes sense after this many milliseconds.
const RETRY: u64 = 1000;

/// Answers one call, and logs what did not go well.
pub(crate) async fn answer(shared: &Shared, work: &Work) -> Answer {
    let began = quincewheel_clock::boot();
    let answer = decide(shared, work).await;
    let ms = quincewheel_clock::boot() - began;
    shared.metrics.count(&work.method, &answer, ms);
    if !answer.served() {
        let id = work.path.rsplit('/').next().unwrap_or_default();
        let (method, age) = (work.method.as_str(), began.saturating_sub(shared.proved.get()));
        let version = shared.config.borrow().as_ref().map_or(0, |config| config.version);
        log::info!(event = "refused", job = id, method = method, ms = ms, config = version, age = age; "{answer:?}");
    }
    answer
}

async fn decide(shared: &Shared, work: &Work) -> Answer {
    let target = match find(shared, work) {
        Ok(target) => target,
        Err(answer) => return answer,
    };
    match &target.call {
        Call::Waiting => Answer::Waiting(shared.mirror.borrow().waiting(&target.queue.name)),
        Call::State { id } => tell_state(shared, &target, id).await,
        Call::Cancel { id } => cancel(shared, &target, id).await,
        Call::Submit { id } => match &work.body {
            Body::Cut => Answer::Invalid("the body ended early".to_owned()),
            Body::Oversized => Answer::Oversized,
            Body::Whole(body) => submit(shared, &target, id, body).await,
        },
    }
}

fn find(shared: &Site, work: &Work) -> Result<Target, Answer> {
    let config = shared.config.borrow();
    let Some(config) = config.as_ref() else { return Err(Answer::Unavailable(RETRY)) };
    let authorization = work.authorization.as_deref();
    let target = platform::target(config, &work.method, &work.host, &work.path, authorization);
    let target = target.map_err(Answer::Refused)?;
    if target.keyed && !shared.current(quincewheel_clock::boot()) {
        return Err(Answer::Unavailable(RETRY));
    }
    match &work.body {
        Body::Whole(body) if body.len() > config.body => Err(Answer::Oversized),
        _ => Ok(target),
    }
}

/// Stores a job. One row a job: the same one again finds it there.
async fn submit(shared: &Site, target: &Target, id: &str, body: &[u8]) -> Answer {
    let job = match platform::submission(target, body, quincewheel_clock::wall()) {
        Ok(job) => job,
        Err(text) => return Answer::Invalid(text),
    };
    if let Some(answer) = known(shared, target, id) {
        return answer;
    }
    let row = put(rows::job(id), &job);
    let commit = Commit {
        expect: vec![Expect { key: row.key.clone(), version: 0 }],
        put: vec![row],
        delete: Vec::new(),
    };
    match shared.table.commit(&commit, TIMEOUT).await {
        Ok(version) => {
            accepted(shared, id, job, version);
            Answer::Accepted
        }
        Err(Error::Conflict { .. }) => match look(shared, id).await {
            Ok(Some(view)) if owned(&view, target) => Answer::Accepted,
            Ok(_) => Answer::Invalid("another team's job has this name".to_owned()),
            Err(error) => unclear(shared, &error),
        },
        Err(error @ Error::Refused { .. }) => {
            shared.table_answered(Err(&error));
            Answer::Unavailable(RETRY)
        }
        Err(error) => unclear(shared, &error),
    }
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

fn accepted(shared: &Site, id: &str, job: Job, version: u64) {
    log::info!(event = "accepted", job = id; "version {version}");
    let mut mirror = shared.mirror.borrow_mut();
    mirror.jobs.entry(id.to_owned()).or_default().job = Some((job, version));
}

async fn tell_state(shared: &Site, target: &Target, id: &str) -> Answer {
    match find_job(shared, id).await {
        Ok(Some(view)) if owned(&view, target) => Answer::State(view.state()),
        Ok(_) => Answer::Unknown,
        Err(_) => Answer::Unavailable(RETRY),
    }
}

/// Writes the cancellation, also of a job that is unknown: its submission may
/// still be on its way, and must then find it.
async fn cancel(shared: &Site, target: &Target, id: &str) -> Answer {
    let view = match find_job(shared, id).await {
        Ok(view) => view,
        Err(_) => return Answer::Unavailable(RETRY),
    };
    let known = view.as_ref().is_some_and(|view| owned(view, target));
    if view.as_ref().is_some_and(|view| view.job.is_some()) && !known {
        return Answer::Unknown;
    }
    if view.as_ref().is_some_and(|view| view.state().ended()) {
        return if known { Answer::Cancelled } else { Answer::Unknown };
    }
    let row = Put { key: rows::stop(id), value: "{}".to_owned() };
    let commit = Commit { put: vec![row], ..Commit::default() };
    match shared.table.commit(&commit, TIMEOUT).await {
        Ok(version) => {
            log::info!(event = "cancelled", job = id; "version {version}");
            shared.mirror.borrow_mut().jobs.entry(id.to_owned()).or_default().cancelled = true;
            if known { Answer::Cancelled } else { Answer::Unknown }
        }
        Err(error @ Error::Refused { .. }) => {
            shared.table_answered(Err(&error));
            Answer::Unavailable(RETRY)
        }
        Err(error) => unclear(shared, &error),
    }
}

/// The job as this entry knows it, or else as the table has it: that a job
/// does not exist may be said only after the table was asked.
async fn find_job(shared: &Site, id: &str) -> Result<Option<View>, Error> {
    let known = shared.mirror.borrow().jobs.get(id).cloned();
    match known {
        Some(view) if view.job.is_some() => Ok(Some(view)),
        _ => look(shared, id).await,
    }
}

/// Reads a job's rows.
async fn look(shared: &Site, id: &str) -> Result<Option<View>, Error> {
    let mut found = quincewheel_dispatch::Mirror::default();
    for key in [rows::job(id), rows::run(id), rows::stop(id)] {
        let read = Read { prefix: key, after: String::new(), limit: 1 };
        let (page, _) = shared.table.read(Space::Own, &read, TIMEOUT).await?;
        for row in page.rows {
            let (key, version) = (row.key, row.version);
            found.apply(&Change { key, version, value: Some(row.value) });
        }
    }
    Ok(found.jobs.remove(id))
}

fn owned(view: &View, target: &Target) -> bool {
    let team = view.job.as_ref().map(|(job, _)| &job.team);
    team.is_some_and(|team| *team == target.team)
}

fn unclear(shared: &Site, error: &Error) -> Answer {
    shared.table_answered(Err(error));
    Answer::Unclear
}
