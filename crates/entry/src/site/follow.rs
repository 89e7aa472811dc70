//! Follows the table: the operators' rows and the system's own rows.

use std::time::Duration;

use futures_util::stream::{self, StreamExt, TryStreamExt};
use quincewheel_dispatch::{Mirror, Owner, RowEvent, rows};
use quincewheel_platform::{self as platform, SkippedEntry, Space, Table};
use quincewheel_store::{Change, Changes, Error, Read, scan};

use super::evacuation;
use super::ownership;
use super::state::{Shared, Site};

/// How long the table may hold a poll for the operators' rows. Bounds the age of the configuration
/// when nothing changes.
const OPERATOR_ROWS_WAIT: Duration = Duration::from_millis(1500);
/// How long the table may hold a poll for the system's own rows. The owner's row changes every 500
/// ms; if it does not, this bounds how late that is detected.
const OWN_ROWS_WAIT: Duration = Duration::from_millis(400);
/// Time limit for a call, beyond the time that the table may hold it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval between the owner's polls of the system's own rows, so that one call fetches changes
/// that come in quick succession.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// The same for an entry that does not own. It answers clients from the rows and queries the owner
/// about running jobs; it detects the end of an ownership by the connection to the owner.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit for one page while all rows are read. That is most of the time for which an owner
/// may be silent, which is not evaluated before the rows have arrived.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit for catching up with a claim, in milliseconds. A feed that has not delivered the
/// claim by then delivers nothing: while the table compacts its history, the feed stalls for a
/// second.
const CATCH_UP_LIMIT_MS: u64 = 300;
/// Parts that are read concurrently. All nine at once over a slow connection exceed the time limit
/// of every one of them.
const CONCURRENT_PARTS: usize = 3;

/// Follows the operators' rows: the configuration, waves and evacuations.
pub(crate) async fn follow_operator_rows(shared: Shared) {
    let mut version = None;
    let mut previous_succeeded = true;
    loop {
        let sent_at = quincewheel_clock::boot();
        let result = match version {
            None => read_all(&shared.feed, Space::Operator).await,
            Some(after) => {
                // After a failure the next call does not wait, since the loss of a waiting call is
                // detected only after its wait.
                let wait = if previous_succeeded {
                    poll_wait(&shared, operator_rows_wait(&shared))
                } else {
                    Duration::ZERO
                };
                shared.feed.wait_for_changes(Space::Operator, after, wait, CALL_TIMEOUT).await
            }
        };
        previous_succeeded = result.is_ok();
        match result {
            Ok(changes) => {
                let complete = version.is_none();
                version = Some(changes.version);
                evacuation::apply(&shared, &changes.rows, complete);
                for change in &changes.rows {
                    apply_operator_row(&shared, change);
                }
                shared.record_table_reply(Ok(()));
                shared.config_confirmed_at.set(sent_at);
                shared.update_status(quincewheel_clock::boot());
            }
            Err(error) => {
                on_failure(&shared, &error, &mut version);
                shared.update_status(quincewheel_clock::boot());
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// How long a poll for the operators' rows may wait: at most a third of the time within which an
/// evacuation must take effect.
fn operator_rows_wait(shared: &Site) -> Duration {
    let limit = shared.bounds.get().evacuation.map(|bound| Duration::from_millis(bound / 3));
    limit.map_or(OPERATOR_ROWS_WAIT, |wait| wait.min(OPERATOR_ROWS_WAIT))
}

/// How long a poll may wait. A lost table is polled without a wait, to detect at once that it
/// answers again.
fn poll_wait(shared: &Site, longest: Duration) -> Duration {
    if shared.is_table_lost() { Duration::ZERO } else { longest }
}

fn apply_operator_row(shared: &Site, change: &Change) {
    let Some(value) = &change.value else { return };
    match platform::decode_wave(&change.key, value, &*shared.on_skipped) {
        None => {}
        Some(Err(detail)) => report_unreadable(shared, &change.key, &detail),
        Some(Ok(wave)) => {
            log::info!(event = "wave", number = wave.number; "{} machines", wave.machines.len());
            shared.waves.borrow_mut().insert(wave.number, wave);
            shared.wake.notify_one();
        }
    }
    match platform::decode_config(&change.key, value, &*shared.on_skipped) {
        None => {}
        Some(Err(detail)) => report_unreadable(shared, &change.key, &detail),
        Some(Ok(config)) => {
            let mut known = shared.config.borrow_mut();
            if known.as_ref().is_none_or(|known| known.version < config.version) {
                log::info!(event = "configuration", version = config.version; "in force");
                *known = Some(config);
                shared.wake.notify_one();
            }
        }
    }
}

/// Reports a row whose value does not fit its key. The last valid value stays in effect.
fn report_unreadable(shared: &Site, key: &str, detail: &str) {
    (shared.on_skipped)(SkippedEntry { list: "rows", detail: format!("{key}: {detail}") });
}

/// Follows the system's own rows.
pub(crate) async fn follow_own_rows(shared: Shared) {
    let mut version = None;
    loop {
        let result = match version {
            None => read_all(&shared.feed, Space::System).await,
            Some(after) => {
                shared
                    .feed
                    .wait_for_changes(
                        Space::System,
                        after,
                        poll_wait(&shared, OWN_ROWS_WAIT),
                        CALL_TIMEOUT,
                    )
                    .await
            }
        };
        match result {
            Ok(changes) => {
                let complete = version.is_none();
                version = Some(changes.version);
                apply(&shared, &changes, complete);
                let owns = shared.owner.borrow().is_some();
                let pause = if owns { OWNER_POLL_INTERVAL } else { IDLE_POLL_INTERVAL };
                let _ = tokio::time::timeout(pause, shared.owner_disconnected.notified()).await;
            }
            Err(error) => {
                on_failure(&shared, &error, &mut version);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Applies changes from the table up to `version` and returns the version reached, or `None` if
/// all rows must be read instead, because a call failed or [`CATCH_UP_LIMIT_MS`] have passed.
///
/// A new owner has nearly all rows from the feed. Reading all of them costs a call for each page
/// of each part, which a slow table answers after 180 ms, and a slow connection after seconds.
pub(crate) async fn catch_up(shared: &Site, version: u64) -> Option<u64> {
    let started_at = quincewheel_clock::boot();
    loop {
        let after = shared.mirror.borrow().version;
        if after >= version {
            return Some(after);
        }
        if after == 0 || quincewheel_clock::boot() > started_at + CATCH_UP_LIMIT_MS {
            return None;
        }
        match shared
            .table
            .wait_for_changes(Space::System, after, Duration::ZERO, CALL_TIMEOUT)
            .await
        {
            Ok(changes) => apply(shared, &changes, false),
            Err(error) => {
                log::info!(event = "takeover"; "{error}");
                return None;
            }
        }
    }
}

/// Applies changes, or a complete set of rows, to the mirror.
fn apply(shared: &Site, changes: &Changes, complete: bool) {
    let now = quincewheel_clock::boot();
    let mut mirror = shared.mirror.borrow_mut();
    let mut events = match complete {
        true => mirror.reload(&changes.rows, changes.version),
        false => mirror.apply_changes(&changes.rows, changes.version),
    };
    shared.rows_updated_at.set(now);
    let mut election = shared.election.borrow_mut();
    match &mirror.owner {
        Some((_, version)) => election.observe_row(*version, now),
        None => election.on_unowned(now),
    }
    drop(election);
    drop(mirror);
    for event in events.drain(..) {
        notify_owner(shared, event, now);
    }
    shared.update_status(now);
    shared.wake.notify_one();
}

/// Passes a change on to the owner, if there is one at this entry.
fn notify_owner(shared: &Site, event: RowEvent, now: u64) {
    if event == RowEvent::OwnerChanged {
        return ownership::check_deposed(shared);
    }
    let mirror = shared.mirror.borrow();
    let mut owner = shared.owner.borrow_mut();
    match event {
        RowEvent::Malformed { key, detail } => report_unreadable(shared, &key, &detail),
        RowEvent::OwnerChanged => unreachable!("handled above, without the owner borrowed"),
        RowEvent::NodeAnnounced(name) => {
            let node = mirror.nodes.get(&name);
            if let Some(node) = node {
                shared.backoff.borrow_mut().reset(&node.address);
            }
            let agent = node.is_some_and(|node| !node.entry);
            if let Some(owner) = owner.as_mut().filter(|_| agent) {
                owner.add_agent(&name, now);
            }
        }
        RowEvent::NodeRemoved(name) => {
            if let Some(owner) = owner.as_mut() {
                owner.on_row_removed(&name);
            }
        }
        RowEvent::JobCancelled(id) => {
            if let Some(owner) = owner.as_mut() {
                owner.cancel(&id, now);
            }
        }
        RowEvent::JobAccepted(id) => {
            if let Some(owner) = owner.as_mut() {
                add_job(owner, &mirror, &id, now);
            }
        }
    }
}

/// Adds a job to the owner as the rows have it.
pub(crate) fn add_job(owner: &mut Owner, mirror: &Mirror, id: &str, now: u64) {
    let Some(view) = mirror.jobs.get(id) else { return };
    let Some((job, version)) = &view.job else { return };
    owner.add_job(id, job.clone(), *version, view.progress());
    if view.cancelled {
        owner.cancel(id, now);
    }
}

/// Reads all rows, as if they were changes from an empty table.
///
/// Several parts are read concurrently, since a new owner decides nothing before it has them all.
/// Each part has a version of its own; the result has the lowest, so that later changes are
/// delivered again.
pub(crate) async fn read_all(table: &Table, space: Space) -> Result<Changes, Error> {
    let parts: Vec<&str> = match space {
        Space::System => rows::parts().collect(),
        Space::Operator => vec![""],
    };
    let read = parts.into_iter().map(|part| {
        scan(async move |read: &Read| table.read(space, part, read, PAGE_TIMEOUT).await)
    });
    let mut all = Changes { rows: Vec::new(), version: u64::MAX };
    let mut parts = stream::iter(read).buffered(CONCURRENT_PARTS);
    while let Some(part) = parts.try_next().await? {
        all.version = all.version.min(part.version);
        all.rows.extend(part.rows);
    }
    Ok(all)
}

fn on_failure(shared: &Site, error: &Error, version: &mut Option<u64>) {
    if *error == Error::Compacted {
        *version = None;
        log::info!(event = "history gone"; "reading all rows again");
        return;
    }
    shared.record_table_reply(Err(error));
}
