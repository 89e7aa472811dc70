//! Handing the ownership over: when the process ends, and where the table does not answer
//! this entry while it serves others.
//!
//! An owner that the table does not answer cannot record ends, nor does it hear of new
//! jobs; others take over once its row has stood still for 1.7 s, while urgent work has a
//! quarter of a second to spare. It knows sooner itself, and can ask the others.

use std::time::Duration;

use futures_util::future::select_ok;
use quincewheel_dispatch::rows::{OWNER_KEY, Ownership};
use quincewheel_peer::Command;
use quincewheel_store::{Change, Commit, Error, Expect};
use quincewheel_wire::{LinkId, Peer};
use tokio::time::timeout;

use super::asks::ask;
use super::own::{depose, put};
use super::record::read_owner;
use super::state::{Shared, Site};

/// A write without an answer is repeated after this time.
const TIMEOUT: Duration = Duration::from_millis(1200);
/// A table that has not answered a read for so long does not answer at all: a slow one
/// takes up to 450 ms for a write, and less for a read.
const PROBE: Duration = Duration::from_millis(400);
/// Longest time for which another entry is asked: its probe, and the way there and back.
const ANSWER: Duration = Duration::from_millis(450);
/// Entries that are asked at most: the table seldom turns more away than it serves.
const ASKED: usize = 4;

/// Gives the ownership up, so that another entry takes it without waiting.
pub(crate) async fn hand_over(shared: &Site) {
    let Some((mine, version)) = shared.held.borrow().clone() else { return };
    depose(shared, "shutting down");
    if let Err(error) = shared.table.commit(&vacant(mine, version), TIMEOUT).await {
        // The others take over once the row stands still.
        log::warn!(event = "hand over"; "{error}");
    }
}

/// Gives the ownership up if the table answers another entry and not this one. One
/// answer that is lost, or a table that answers nobody, is no reason: then no other owner
/// would do better, and changing it costs some 100 ms in which nothing starts.
pub(crate) async fn leave_if_cut_off(shared: &Site) -> bool {
    if answers(shared).await {
        return false;
    }
    let Some(link) = first_served(shared, successors(shared)).await else { return false };
    let Some((mine, version)) = shared.held.borrow().clone() else { return false };
    let commit = vacant(mine, version);
    let value = commit.put.into_iter().map(|row| row.value).collect();
    let frame = Peer::HandOver { value, version }.into();
    // Sent before the connections are closed, which sends what is queued first.
    shared.hub.ask(Command::Send { link, frame });
    depose(shared, "the table answers others only");
    true
}

/// The other entries, those on the largest machines first.
fn successors(shared: &Site) -> Vec<LinkId> {
    let mirror = shared.mirror.borrow();
    let entries = shared.entries.borrow();
    let mut links: Vec<(usize, LinkId)> =
        entries.iter().map(|(name, link)| (mirror.candidate_rank(name), *link)).collect();
    links.sort_unstable();
    links.into_iter().map(|(_, link)| link).collect()
}

/// Another entry asks whether the table answers this one.
pub(crate) async fn hear_reach(shared: Shared, link: LinkId, number: u64) {
    let well = !shared.is_table_lost() && answers(&shared).await;
    shared.hub.ask(Command::Send { link, frame: Peer::Reached { number, well }.into() });
}

/// The former owner asks to write that nobody owns.
///
/// Its last write may have been performed without an answer: then the row has a later
/// version than it knows, which this entry's feed tells.
pub(crate) async fn hear_hand_over(shared: Shared, value: String, version: u64) {
    let seen = shared.mirror.borrow().owner.clone();
    let Ok(mine) = serde_json::from_str::<Ownership>(&value) else { return };
    let same = seen.filter(|(owner, _)| owner.epoch == mine.epoch);
    let version = same.map_or(version, |(_, seen)| seen.max(version));
    let commit = vacant(mine.clone(), version);
    let written = match shared.table.commit(&commit, TIMEOUT).await {
        Err(Error::Conflict { .. }) => vacate_again(&shared, &mine).await,
        written => written.map(|version| (commit, version)),
    };
    match written {
        Ok((commit, version)) => step_in(&shared, &commit, version),
        // The others take over once the row stands still.
        Err(error) => log::warn!(event = "hand over"; "{error}"),
    }
}

/// Writes that nobody owns over a write of the former owner that had no answer, and that
/// the feed has not told yet. Left at that, nobody owned for 1.9 s.
async fn vacate_again(shared: &Site, mine: &Ownership) -> Result<(Commit, u64), Error> {
    let (found, version) = read_owner(shared).await?;
    if found.epoch != mine.epoch || found.holder != mine.holder {
        return Err(Error::Conflict { key: OWNER_KEY.to_owned() });
    }
    let commit = vacant(found, version);
    shared.table.commit(&commit, TIMEOUT).await.map(|version| (commit, version))
}

/// Claims what was just handed over: the former owner has chosen this entry, and the
/// feed would tell only after some 25 ms.
fn step_in(shared: &Site, commit: &Commit, version: u64) {
    let mut mirror = shared.mirror.borrow_mut();
    for row in &commit.put {
        let value = Some(row.value.clone());
        mirror.apply(&Change { key: row.key.clone(), version, value });
    }
    shared.election.borrow_mut().on_handover(version);
    shared.wake.notify_one();
}

/// The write that tells that nobody owns.
fn vacant(mut mine: Ownership, version: u64) -> Commit {
    mine.holder = String::new();
    mine.sequence += 1;
    Commit {
        expect: vec![Expect { key: OWNER_KEY.to_owned(), version }],
        put: vec![put(OWNER_KEY.to_owned(), &mine)],
        delete: Vec::new(),
    }
}

async fn answers(shared: &Site) -> bool {
    matches!(timeout(PROBE, read_owner(shared)).await, Ok(Ok(_)))
}

/// The first of these entries that tells that the table answers it. All are asked at
/// once: one after the other, a table that is silent to all would hold a client up for
/// as many times as long.
pub(crate) async fn first_served(shared: &Site, links: Vec<LinkId>) -> Option<LinkId> {
    let mut probes = Vec::new();
    for link in links.into_iter().take(ASKED) {
        let Some(answer) = ask(shared, link, |number| Peer::Reach { number }) else { continue };
        probes.push(Box::pin(async move {
            match answer.await {
                Ok(Peer::Reached { well: true, .. }) => Ok(link),
                _ => Err(()),
            }
        }));
    }
    if probes.is_empty() {
        return None;
    }
    match timeout(ANSWER, select_ok(probes)).await {
        Ok(Ok((link, _))) => Some(link),
        _ => None,
    }
}
