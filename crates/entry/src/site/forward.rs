//! Forwards a client's write to another entry.
//!
//! The table may refuse some entries, or not answer them, and serve the others. A client of such
//! an entry would be refused, or held until its time limit, and retry a second later, while urgent
//! work has a slack of a quarter of that. The entry therefore forwards the write. The same row
//! written by two entries is one job, since both writes require that the row does not exist.

use std::time::Duration;

use quincewheel_dispatch::{JobView, rows};
use quincewheel_job::{Id, Job};
use quincewheel_peer::Command;
use quincewheel_store::{Commit, Error, Expect, Put};
use quincewheel_wire::{LinkId, Peer, Sent, Verdict};
use tokio::time::timeout;

use super::calls::{commit_once, read_job};
use super::handover::first_reachable;
use super::job_events;
use super::ownership::put;
use super::queries::query;
use super::state::{Shared, Site};

/// A write without a reply is forwarded to another entry as well after this time. A healthy table
/// answers within 4 ms.
pub(crate) const FORWARDING_DELAY: Duration = Duration::from_millis(100);
/// Time limit for another entry's reply: its write, and a round trip between availability zones. A
/// table that is slow for all entries takes up to 450 ms.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// The write that creates a job's row.
pub(crate) fn job_commit(id: &str, job: &Job) -> Commit {
    let row = put(rows::job_key(id), job);
    let expect = vec![Expect { key: row.key.clone(), version: 0 }];
    Commit { expect, put: vec![row], delete: Vec::new() }
}

/// The write that cancels a job.
pub(crate) fn cancellation_commit(id: &str) -> Commit {
    let row = Put { key: rows::cancellation_key(id), value: "{}".to_owned() };
    Commit { put: vec![row], ..Commit::default() }
}

/// Forwards a write to another entry that the table answers; [`Verdict::Refused`] if there is
/// none.
///
/// The entry is probed first. One that has not detected an outage of the table yet would attempt
/// the write, and the failed write could no longer count as refused: the client would receive
/// "unclear" instead of a request to retry, and may not repeat the call.
pub(crate) async fn forward_write(
    shared: &Site,
    id: &str,
    request: impl FnOnce(u64) -> Peer,
) -> Verdict {
    let Some(link) = first_reachable(shared, peers(shared)).await else { return Verdict::Refused };
    let Some(reply) = query(shared, link, request) else { return Verdict::Refused };
    match timeout(REPLY_TIMEOUT, reply).await {
        Ok(Ok(Peer::Stored { verdict, .. })) if verdict != Verdict::Unclear => verdict,
        _ => {
            // The other entry may still write the row, so the call must not be reported as
            // refused.
            shared.unanswered_writes.borrow_mut().record(id, quincewheel_clock::boot());
            Verdict::Unclear
        }
    }
}

/// Connections to other entries: to the owner, or at the owner to all others.
fn peers(shared: &Site) -> Vec<LinkId> {
    let owner = shared.owner_link.borrow().as_ref().map(|(link, _)| *link);
    shared.entry_links.borrow().values().copied().chain(owner).collect()
}

/// Stores a job on behalf of another entry.
pub(crate) async fn on_store(shared: Shared, link: LinkId, number: u64, id: Id, job: Job) {
    let verdict = store_job(&shared, &id, job).await;
    log::info!(event = "stored for another", job = id.as_str(); "{verdict:?}");
    shared.hub.ask(Command::Send { link, frame: Peer::Stored { number, verdict }.into() });
}

async fn store_job(shared: &Site, id: &str, job: Job) -> Verdict {
    let known = shared.mirror.borrow().jobs.get(id).and_then(|view| view.job.clone());
    if let Some((known, _)) = known {
        return if known.team == job.team { Verdict::Known } else { Verdict::Foreign };
    }
    if shared.is_table_lost() {
        return Verdict::Refused;
    }
    match commit_once(shared, &job_commit(id, &job)).await {
        Ok(version) => {
            job_events::notify_accepted(shared, id, job, version);
            Verdict::Stored(version)
        }
        Err(Error::Refused { .. } | Error::Oversized(_)) => Verdict::Refused,
        Err(Error::Conflict { .. }) => existing_verdict(shared, id, &job).await,
        Err(_) => Verdict::Unclear,
    }
}

/// The verdict on a row that existed before, which depends on its team.
async fn existing_verdict(shared: &Site, id: &str, job: &Job) -> Verdict {
    match read_job(shared, id).await {
        Ok(Some(JobView { job: Some((known, _)), .. })) if known.team == job.team => Verdict::Known,
        Ok(Some(JobView { job: Some(_), .. })) => Verdict::Foreign,
        _ => Verdict::Unclear,
    }
}

/// Stores a cancellation on behalf of another entry.
pub(crate) async fn on_cancel(shared: Shared, link: LinkId, number: u64, id: Id) {
    let verdict = match commit_once(&shared, &cancellation_commit(&id)).await {
        Ok(version) => {
            job_events::notify_cancelled(&shared, &id);
            Verdict::Stored(version)
        }
        Err(Error::Refused { .. }) => Verdict::Refused,
        Err(_) => Verdict::Unclear,
    };
    let frame = Sent::from(Peer::Stored { number, verdict });
    shared.hub.ask(Command::Send { link, frame });
}
