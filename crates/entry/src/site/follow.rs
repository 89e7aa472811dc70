//! Follows the table: the operators' configuration and the system's own rows.

use std::time::Duration;

use futures_util::stream::{self, StreamExt, TryStreamExt};
use quincewheel_dispatch::{Mirror, Owner, RowEvent, rows};
use quincewheel_platform::{self as platform, SkippedEntry, Space, Table};
use quincewheel_store::{Change, Changes, Error, Read, scan};

use super::evacuation;
use super::own;
use super::state::{Shared, Site};

/// How long the table is asked to wait for a new configuration. Bounds the age
/// of the one in force where nothing changes.
const CONFIG_WAIT: Duration = Duration::from_millis(1500);
/// How long the table is asked to wait for a change of the system's own rows.
/// The owner's row changes every 500 ms; where it does not, this bounds how late
/// that is noticed.
const ROWS_WAIT: Duration = Duration::from_millis(400);
/// A call without an answer is given up after this time, beyond its wait.
const TIMEOUT: Duration = Duration::from_millis(1000);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// Pause between two polls of the system's own rows, so that changes that come
/// close together cost one call.
const GATHER: Duration = Duration::from_millis(40);
/// And of an entry that does not own: it answers clients from the rows, and asks the owner of
/// what goes on. Told at once of what ends an ownership, by the connection.
const IDLE: Duration = Duration::from_millis(200);
/// A page of all rows is given up after this time: most of what an owner may be silent, which
/// is not judged while nothing is heard of the table.
const READ: Duration = Duration::from_millis(1500);
/// A feed that has not told of a claim by then has nothing to tell, in milliseconds: while the
/// table drops its history it tells nothing for a second.
const CATCH_UP: u64 = 300;
/// Parts that are read at the same time. All nine shared a thin link so that none was through
/// within its time.
const AT_ONCE: usize = 3;

/// Follows what operators write for ever: the configuration, waves and evacuations.
pub(crate) async fn configuration(shared: Shared) {
    let mut version = None;
    let mut calm = true;
    loop {
        let sent = quincewheel_clock::boot();
        let result = match version {
            None => read_all(&shared.feed, Space::Operator).await,
            Some(after) => {
                // A call that waits and is lost is missed only after its wait.
                let wait = if calm { wait(&shared, config_wait(&shared)) } else { Duration::ZERO };
                shared.feed.wait_for_changes(Space::Operator, after, wait, TIMEOUT).await
            }
        };
        calm = result.is_ok();
        match result {
            Ok(changes) => {
                let whole = version.is_none();
                version = Some(changes.version);
                evacuation::take(&shared, &changes.rows, whole);
                for change in &changes.rows {
                    configure(&shared, change);
                }
                shared.table_answered(Ok(()));
                shared.proved.set(sent);
                shared.show_ready(quincewheel_clock::boot());
            }
            Err(error) => {
                failed(&shared, &error, &mut version);
                shared.show_ready(quincewheel_clock::boot());
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// How long a calm poll for what operators write waits: no longer than a third of what an
/// evacuation may take to be in force.
fn config_wait(shared: &Site) -> Duration {
    let third = shared.bounds.get().evacuation.map(|bound| Duration::from_millis(bound / 3));
    third.map_or(CONFIG_WAIT, |third| third.min(CONFIG_WAIT))
}

/// How long to wait for a change: not at all while the table is lost, so that
/// its return is noticed at once.
fn wait(shared: &Site, calm: Duration) -> Duration {
    if shared.is_table_lost() { Duration::ZERO } else { calm }
}

fn configure(shared: &Site, change: &Change) {
    let Some(value) = &change.value else { return };
    match platform::decode_wave(&change.key, value, &*shared.skip) {
        None => {}
        Some(Err(detail)) => unreadable(shared, &change.key, &detail),
        Some(Ok(wave)) => {
            log::info!(event = "wave", number = wave.number; "{} machines", wave.machines.len());
            shared.waves.borrow_mut().insert(wave.number, wave);
            shared.wake.notify_one();
        }
    }
    match platform::decode_config(&change.key, value, &*shared.skip) {
        None => {}
        Some(Err(detail)) => unreadable(shared, &change.key, &detail),
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

/// A row holds what its key does not promise. What was known before stays.
fn unreadable(shared: &Site, key: &str, detail: &str) {
    (shared.skip)(SkippedEntry { list: "rows", detail: format!("{key}: {detail}") });
}

/// Follows the system's own rows for ever.
pub(crate) async fn own_rows(shared: Shared) {
    let mut version = None;
    loop {
        let result = match version {
            None => read_all(&shared.feed, Space::System).await,
            Some(after) => {
                shared
                    .feed
                    .wait_for_changes(Space::System, after, wait(&shared, ROWS_WAIT), TIMEOUT)
                    .await
            }
        };
        match result {
            Ok(changes) => {
                let whole = version.is_none();
                version = Some(changes.version);
                take(&shared, &changes, whole);
                let owns = shared.owner.borrow().is_some();
                let pause = if owns { GATHER } else { IDLE };
                let _ = tokio::time::timeout(pause, shared.unowned.notified()).await;
            }
            Err(error) => {
                failed(&shared, &error, &mut version);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Takes in what the table has done up to a version, if it tells within [`CATCH_UP`], and
/// tells up to where that is; none if all rows must be read instead.
///
/// A new owner knows nearly all from the feed. Reading all rows took a call for each page of
/// each part, which a slow table answers after 180 ms, or a thin link after seconds.
pub(crate) async fn catch_up(shared: &Site, version: u64) -> Option<u64> {
    let began = quincewheel_clock::boot();
    loop {
        let after = shared.mirror.borrow().version;
        if after >= version {
            return Some(after);
        }
        if after == 0 || quincewheel_clock::boot() > began + CATCH_UP {
            return None;
        }
        match shared.table.wait_for_changes(Space::System, after, Duration::ZERO, TIMEOUT).await {
            Ok(changes) => take(shared, &changes, false),
            Err(error) => {
                log::info!(event = "takeover"; "{error}");
                return None;
            }
        }
    }
}

/// Takes changes in, or all rows.
fn take(shared: &Site, changes: &Changes, whole: bool) {
    let now = quincewheel_clock::boot();
    let mut mirror = shared.mirror.borrow_mut();
    let mut news = match whole {
        true => mirror.reload(&changes.rows, changes.version),
        false => mirror.apply_changes(&changes.rows, changes.version),
    };
    shared.heard.set(now);
    let mut election = shared.election.borrow_mut();
    match &mirror.owner {
        Some((_, version)) => election.observe_row(*version, now),
        None => election.on_unowned(now),
    }
    drop(election);
    drop(mirror);
    for news in news.drain(..) {
        tell_owner(shared, news, now);
    }
    shared.show_ready(now);
    shared.wake.notify_one();
}

/// Tells the owner, if this entry is it.
fn tell_owner(shared: &Site, event: RowEvent, now: u64) {
    if event == RowEvent::OwnerChanged {
        return own::check_deposed(shared);
    }
    let mirror = shared.mirror.borrow();
    let mut owner = shared.owner.borrow_mut();
    match event {
        RowEvent::Malformed { key, detail } => unreadable(shared, &key, &detail),
        RowEvent::OwnerChanged => unreachable!("handled above, without the owner borrowed"),
        RowEvent::NodeAnnounced(name) => {
            let node = mirror.nodes.get(&name);
            if let Some(node) = node {
                shared.dials.borrow_mut().forget(&node.address);
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
                tell_job(owner, &mirror, &id, now);
            }
        }
    }
}

/// Tells the owner of a job as the rows have it.
pub(crate) fn tell_job(owner: &mut Owner, mirror: &Mirror, id: &str, now: u64) {
    let Some(view) = mirror.jobs.get(id) else { return };
    let Some((job, version)) = &view.job else { return };
    owner.add_job(id, job.clone(), *version, view.progress.clone());
    if view.cancelled {
        owner.cancel(id, now);
    }
}

/// Reads all rows, as changes from nothing.
///
/// Some parts are read at the same time, since a new owner decides nothing before it has
/// them all; each is as of a moment of its own. The earliest counts: what changed since then
/// comes again.
pub(crate) async fn read_all(table: &Table, space: Space) -> Result<Changes, Error> {
    let parts: Vec<&str> = match space {
        Space::System => rows::parts().collect(),
        Space::Operator => vec![""],
    };
    let read = parts
        .into_iter()
        .map(|part| scan(async move |read: &Read| table.read(space, part, read, READ).await));
    let mut all = Changes { rows: Vec::new(), version: u64::MAX };
    let mut parts = stream::iter(read).buffered(AT_ONCE);
    while let Some(part) = parts.try_next().await? {
        all.version = all.version.min(part.version);
        all.rows.extend(part.rows);
    }
    Ok(all)
}

fn failed(shared: &Site, error: &Error, version: &mut Option<u64>) {
    if *error == Error::Compacted {
        *version = None;
        log::info!(event = "history gone"; "all rows are read anew");
        return;
    }
    shared.table_answered(Err(error));
}
