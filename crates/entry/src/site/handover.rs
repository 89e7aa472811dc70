//! Handover of the ownership, when the process shuts down and when the table answers other entries
//! but not this one.
//!
//! An owner that gets no answers from the table can neither record ends nor learn of new jobs.
//! Other entries take over only after its row has not changed for 1.7 s, while urgent work has a
//! slack of a quarter of a second. The owner detects the failure sooner, and can probe the others.

use std::time::Duration;

use futures_util::future::select_ok;
use quincewheel_dispatch::rows::{OWNER_KEY, Ownership};
use quincewheel_peer::Command;
use quincewheel_store::{Change, Commit, Error, Expect};
use quincewheel_wire::{LinkId, Peer};
use tokio::time::timeout;

use super::ownership::{depose, put};
use super::queries::query;
use super::record::read_owner;
use super::state::{Shared, Site};

/// A write without a reply is repeated after this time.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1200);
/// A table that has not answered a read within this time is unreachable. A slow one takes up to
/// 450 ms for a write, and less for a read.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for another entry's reply: its own probe and the round trip.
const REPLY_TIMEOUT: Duration = Duration::from_millis(450);
/// Number of entries that are probed. The table rarely refuses more entries than it serves.
const MAX_PROBED_ENTRIES: usize = 4;

/// Gives up the ownership, so that another entry claims it without waiting.
pub(crate) async fn hand_over(shared: &Site) {
    let Some((mine, version)) = shared.ownership.borrow().clone() else { return };
    depose(shared, "shutting down");
    if let Err(error) = shared.table.commit(&vacating_commit(mine, version), COMMIT_TIMEOUT).await {
        // The others take over after the row has not changed for a while.
        log::warn!(event = "hand over"; "{error}");
    }
}

/// Gives up the ownership if the table answers another entry but not this one. A single lost
/// reply, or a table that answers no entry, is not sufficient: no other owner would do better
/// then, and a change of owner costs some 100 ms in which nothing starts.
pub(crate) async fn hand_over_if_cut_off(shared: &Site) -> bool {
    if is_table_reachable(shared).await {
        return false;
    }
    let Some(link) = first_reachable(shared, successors(shared)).await else { return false };
    let Some((mine, version)) = shared.ownership.borrow().clone() else { return false };
    let commit = vacating_commit(mine, version);
    let value = commit.put.into_iter().map(|row| row.value).collect();
    let frame = Peer::HandOver { value, version }.into();
    // Sent before the connections are closed, since closing them flushes queued frames first.
    shared.hub.ask(Command::Send { link, frame });
    depose(shared, "the table answers other entries only");
    true
}

/// The connections to the other entries, those on the largest machines first.
fn successors(shared: &Site) -> Vec<LinkId> {
    let mirror = shared.mirror.borrow();
    let entries = shared.entry_links.borrow();
    let mut links: Vec<(usize, LinkId)> =
        entries.iter().map(|(name, link)| (mirror.candidate_rank(name), *link)).collect();
    links.sort_unstable();
    links.into_iter().map(|(_, link)| link).collect()
}

/// Replies to another entry's probe whether the table answers this entry.
pub(crate) async fn on_reach(shared: Shared, link: LinkId, number: u64) {
    let reachable = !shared.is_table_lost() && is_table_reachable(&shared).await;
    shared.hub.ask(Command::Send { link, frame: Peer::Reached { number, well: reachable }.into() });
}

/// Writes, on behalf of the previous owner, that there is no owner.
///
/// The previous owner's last write may have taken effect without a reply. The row then has a later
/// version than the previous owner sent, which this entry's feed may have delivered.
pub(crate) async fn on_hand_over(shared: Shared, value: String, version: u64) {
    let row = shared.mirror.borrow().owner.clone();
    let Ok(mine) = serde_json::from_str::<Ownership>(&value) else { return };
    let current = row.filter(|(owner, _)| owner.epoch == mine.epoch);
    let version = current.map_or(version, |(_, latest)| latest.max(version));
    let commit = vacating_commit(mine.clone(), version);
    let result = match shared.table.commit(&commit, COMMIT_TIMEOUT).await {
        Err(Error::Conflict { .. }) => retry_vacating(&shared, &mine).await,
        result => result.map(|version| (commit, version)),
    };
    match result {
        Ok((commit, version)) => claim_next(&shared, &commit, version),
        // The others take over after the row has not changed for a while.
        Err(error) => log::warn!(event = "hand over"; "{error}"),
    }
}

/// Writes that there is no owner over a write of the previous owner which got no reply and which
/// the feed has not delivered yet. Without this retry there was no owner for 1.9 s.
async fn retry_vacating(shared: &Site, mine: &Ownership) -> Result<(Commit, u64), Error> {
    let (found, version) = read_owner(shared).await?;
    if found.epoch != mine.epoch || found.holder != mine.holder {
        return Err(Error::Conflict { key: OWNER_KEY.to_owned() });
    }
    let commit = vacating_commit(found, version);
    shared.table.commit(&commit, COMMIT_TIMEOUT).await.map(|version| (commit, version))
}

/// Lets this entry claim the ownership next: the previous owner has chosen it, and the feed would
/// deliver the row only after some 25 ms.
fn claim_next(shared: &Site, commit: &Commit, version: u64) {
    let mut mirror = shared.mirror.borrow_mut();
    for row in &commit.put {
        let value = Some(row.value.clone());
        mirror.apply(&Change { key: row.key.clone(), version, value });
    }
    shared.election.borrow_mut().on_handover(version);
    shared.wake.notify_one();
}

/// The write that clears the owner.
fn vacating_commit(mut mine: Ownership, version: u64) -> Commit {
    mine.holder = String::new();
    mine.sequence += 1;
    Commit {
        expect: vec![Expect { key: OWNER_KEY.to_owned(), version }],
        put: vec![put(OWNER_KEY.to_owned(), &mine)],
        delete: Vec::new(),
    }
}

async fn is_table_reachable(shared: &Site) -> bool {
    matches!(timeout(PROBE_TIMEOUT, read_owner(shared)).await, Ok(Ok(_)))
}

/// Returns the first of these entries that the table answers. All are probed concurrently: probing
/// one after the other would multiply a client's waiting time if the table answers none of them.
pub(crate) async fn first_reachable(shared: &Site, links: Vec<LinkId>) -> Option<LinkId> {
    let mut probes = Vec::new();
    for link in links.into_iter().take(MAX_PROBED_ENTRIES) {
        let Some(reply) = query(shared, link, |number| Peer::Reach { number }) else { continue };
        probes.push(Box::pin(async move {
            match reply.await {
                Ok(Peer::Reached { well: true, .. }) => Ok(link),
                _ => Err(()),
            }
        }));
    }
    if probes.is_empty() {
        return None;
    }
    match timeout(REPLY_TIMEOUT, select_ok(probes)).await {
        Ok(Ok((link, _))) => Some(link),
        _ => None,
    }
}
