//! Rows that another entry stores for this one.
//!
//! The table may turn some entries away, or be silent towards them, and serve the others.
//! A client whose entry it does not answer would be refused, or held until its time is
//! up, and comes back a second later; urgent work has a quarter of that to spare. So such
//! an entry asks another one to store the job. The same row at two entries is one job:
//! both expect that it is not there.

use std::time::Duration;

use quincewheel_dispatch::{JobView, rows};
use quincewheel_job::{Id, Job};
use quincewheel_peer::Command;
use quincewheel_store::{Commit, Error, Expect, Put};
use quincewheel_wire::{LinkId, Peer, Sent, Verdict};
use tokio::time::timeout;

use super::asks::ask;
use super::calls::{attempt, look};
use super::handover::first_served;
use super::news;
use super::own::put;
use super::state::{Shared, Site};

/// A write that has had no answer for so long is given to another entry, too. A table
/// that is well answers in 4 ms.
pub(crate) const HEDGE: Duration = Duration::from_millis(100);
/// Longest time for which another entry is waited for: its write, and two ways between
/// availability zones. A table that is slow for all takes up to 450 ms.
const ANSWER: Duration = Duration::from_millis(600);

/// The write that stores a job, once.
pub(crate) fn job_row(id: &str, job: &Job) -> Commit {
    let row = put(rows::job_key(id), job);
    let expect = vec![Expect { key: row.key.clone(), version: 0 }];
    Commit { expect, put: vec![row], delete: Vec::new() }
}

/// The write that cancels a job.
pub(crate) fn cancel_row(id: &str) -> Commit {
    let row = Put { key: rows::cancellation_key(id), value: "{}".to_owned() };
    Commit { put: vec![row], ..Commit::default() }
}

/// Has another entry store a row, if the table answers one. [`Verdict::Refused`] if none
/// has.
///
/// One that does not know yet that the table is gone for all would try, and its failed
/// write could not be called refused any more: a client that could have come back would
/// be told "unclear", and may not try again. So it reads first.
pub(crate) async fn elsewhere(
    shared: &Site,
    id: &str,
    question: impl FnOnce(u64) -> Peer,
) -> Verdict {
    let Some(link) = first_served(shared, links(shared)).await else { return Verdict::Refused };
    let Some(answer) = ask(shared, link, question) else { return Verdict::Refused };
    match timeout(ANSWER, answer).await {
        Ok(Ok(Peer::Stored { verdict, .. })) if verdict != Verdict::Unclear => verdict,
        _ => {
            // It may store the row yet: nothing may be called not accepted.
            shared.unsettled.borrow_mut().record(id, quincewheel_clock::boot());
            Verdict::Unclear
        }
    }
}

/// The entries to which there are connections: the owner, or for the owner all others.
fn links(shared: &Site) -> Vec<LinkId> {
    let owner = shared.from_owner.borrow().as_ref().map(|(link, _)| *link);
    shared.entries.borrow().values().copied().chain(owner).collect()
}

/// Another entry asks to store a job.
pub(crate) async fn hear_job(shared: Shared, link: LinkId, number: u64, id: Id, job: Job) {
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
    match attempt(shared, &job_row(id, &job)).await {
        Ok(version) => {
            news::accepted(shared, id, job, version);
            Verdict::Stored(version)
        }
        Err(Error::Refused { .. }) => Verdict::Refused,
        Err(Error::Conflict { .. }) => stored_before(shared, id, &job).await,
        Err(_) => Verdict::Unclear,
    }
}

/// Whose the row is that was there before.
async fn stored_before(shared: &Site, id: &str, job: &Job) -> Verdict {
    match look(shared, id).await {
        Ok(Some(JobView { job: Some((known, _)), .. })) if known.team == job.team => Verdict::Known,
        Ok(Some(JobView { job: Some(_), .. })) => Verdict::Foreign,
        _ => Verdict::Unclear,
    }
}

/// Another entry asks to store a cancellation.
pub(crate) async fn hear_cancel(shared: Shared, link: LinkId, number: u64, id: Id) {
    let verdict = match attempt(&shared, &cancel_row(&id)).await {
        Ok(version) => {
            news::cancelled(&shared, &id);
            Verdict::Stored(version)
        }
        Err(Error::Refused { .. }) => Verdict::Refused,
        Err(_) => Verdict::Unclear,
    };
    let frame = Sent::from(Peer::Stored { number, verdict });
    shared.hub.ask(Command::Send { link, frame });
}
