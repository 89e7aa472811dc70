//! Records the owner's changes in the table, and renews its ownership with each write.

use std::pin::pin;
use std::time::Duration;

use quincewheel_dispatch::rows::{self, OWNER_KEY, Ownership};
use quincewheel_dispatch::{Batch, ExpiredRows, Owner};
use quincewheel_platform::Space;
use quincewheel_store::{Commit, Error, Expect, Read, Size};
use tokio::time::timeout;

use super::handover::hand_over_if_cut_off;
use super::job_events;
use super::ownership::{depose, put, tick};
use super::state::{Shared, Site};

/// Longest interval between two writes of the owner's row, in milliseconds.
pub(crate) const RENEWAL_INTERVAL_MS: u64 = 500;
/// Progress that no client waits for is recorded after this delay, in milliseconds, in one batch
/// with other changes.
const BATCH_DELAY_MS: u64 = 20;
/// A write without a reply is repeated after this time. A slow table takes some 450 ms, and
/// another entry takes over after 1,700 ms.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(700);
/// An owner checks whether it is cut off from the table after a write without a reply for this
/// long, which is most of what a slow table takes.
const CUT_OFF_CHECK_DELAY: Duration = Duration::from_millis(350);
/// Maximum number of rows of expired jobs that are deleted with one batch, which leaves room for
/// them.
const MAX_EXPIRED_ROWS: usize = 20;
/// Number of failures of one write between two log lines about it.
const LOGGED_FAILURE_INTERVAL: u32 = 10;
/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which the owner is checked for changes to record. Changes that clients wait for
/// notify the loop instead.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The same for an entry that does not own; a claim notifies the loop. Checking 50 times a second
/// caused half of the wake-ups of such an entry.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Records the owner's changes, one transaction at a time, and renews the ownership with each.
pub(crate) async fn record_changes(shared: Shared) {
    let mut last_write_at = 0;
    loop {
        let now = quincewheel_clock::boot();
        let due = shared.owner.borrow().as_ref().is_some_and(|owner| {
            let unconfirmed = !shared.unconfirmed_jobs.borrow().is_empty();
            unconfirmed
                || owner.needs_confirmation()
                || owner.has_urgent_changes()
                || (owner.has_unrecorded() && now >= last_write_at + BATCH_DELAY_MS)
                || now >= last_write_at + RENEWAL_INTERVAL_MS
        });
        if !due {
            let pause = if shared.owner.borrow().is_some() {
                OWNER_CHECK_INTERVAL
            } else {
                IDLE_CHECK_INTERVAL
            };
            let _ = tokio::time::timeout(pause, shared.record_due.notified()).await;
            continue;
        }
        last_write_at = now;
        let batch = shared.owner.borrow_mut().as_mut().and_then(Owner::next_batch);
        write(&shared, &batch.unwrap_or_default()).await;
        tick(&shared);
    }
}

/// Writes a batch until it is confirmed or the ownership is lost.
///
/// Each write also replaces the ownership row, so that a write which the table performs seconds
/// late conflicts and has no effect.
async fn write(shared: &Site, batch: &Batch) {
    let Some((mut mine, mut version)) = shared.ownership.borrow().clone() else { return };
    mine.sequence += 1;
    mine.settled = shared.owner.borrow().as_ref().is_some_and(Owner::is_settled);
    let mut commit = Commit {
        expect: vec![Expect { key: OWNER_KEY.to_owned(), version }],
        put: vec![put(OWNER_KEY.to_owned(), &mine)],
        delete: Vec::new(),
    };
    let now = quincewheel_clock::boot();
    let expired =
        shared.mirror.borrow_mut().expired_rows(now, retention_ms(shared), MAX_EXPIRED_ROWS);
    commit.delete.extend(expired.keys.iter().cloned());
    commit.delete.extend(batch.departed.iter().map(|name| rows::node_key(name)));
    commit.put.extend(batch.rows.iter().cloned());
    let first_sent_at = quincewheel_clock::boot();
    let mut failures = 0u32;
    loop {
        let sent_at = quincewheel_clock::boot();
        let mut commit_in_flight = pin!(shared.table.commit(&commit, COMMIT_TIMEOUT));
        let result = match timeout(CUT_OFF_CHECK_DELAY, &mut commit_in_flight).await {
            Ok(result) => result,
            Err(_) if hand_over_if_cut_off(shared).await => return,
            Err(_) => commit_in_flight.await,
        };
        match result {
            Ok(committed) => {
                version = committed;
                let mut owner = shared.owner.borrow_mut();
                if let Some(owner) = owner.as_mut().filter(|owner| owner.epoch() == mine.epoch) {
                    owner.renew_ownership(sent_at);
                }
                drop(owner);
                on_written(shared, batch, &mine, version, sent_at);
                return remove_expired(shared, &expired);
            }
            Err(Error::Conflict { .. }) => match read_owner(shared).await {
                Ok((found, found_version)) if found == mine => {
                    // An earlier attempt of this same write took effect.
                    on_written(shared, batch, &mine, found_version, first_sent_at);
                    return remove_expired(shared, &expired);
                }
                Ok((found, _)) => {
                    return depose(shared, &format!("epoch {} is in force", found.epoch));
                }
                Err(error) => shared.record_table_reply(Err(&error)),
            },
            Err(error) => {
                log_failed_write(&error, &commit, failures);
                failures += 1;
                shared.record_table_reply(Err(&error));
            }
        }
        if shared.owner.borrow().is_none() || hand_over_if_cut_off(shared).await {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Logs what a failed write holds, at its first failure and then at every
/// [`LOGGED_FAILURE_INTERVAL`]th. The table's reply alone does not show which row it refuses.
fn log_failed_write(error: &Error, commit: &Commit, earlier_failures: u32) {
    if earlier_failures.is_multiple_of(LOGGED_FAILURE_INTERVAL) {
        let attempt = earlier_failures + 1;
        log::warn!(event = "write failed", attempt = attempt; "{error}: {}", Size::of(commit));
    }
}

/// How long the rows of an ended job are kept, in milliseconds: one and a half times the period
/// for which its state must be available. A client may repeat its submission that late, and
/// without the row the job would run again.
fn retention_ms(shared: &Site) -> u64 {
    shared.bounds.get().keep * 3 / 2
}

fn remove_expired(shared: &Site, expired: &ExpiredRows) {
    if let Some(owner) = shared.owner.borrow_mut().as_mut() {
        owner.remove_ended_jobs(&expired.jobs);
    }
}

fn on_written(shared: &Site, batch: &Batch, mine: &Ownership, version: u64, sent_at: u64) {
    let mut owner = shared.owner.borrow_mut();
    let Some(owner) = owner.as_mut() else { return };
    if owner.epoch() != mine.epoch {
        return;
    }
    *shared.ownership.borrow_mut() = Some((mine.clone(), version));
    owner.confirm_ownership(sent_at);
    owner.on_recorded(batch, true);
    job_events::confirm(shared, owner, version);
    let mut mirror = shared.mirror.borrow_mut();
    shared.record_done.notify_waiters();
    for name in batch.departed.iter().filter(|name| owner.is_dismissed(name)) {
        // Prevents the member from being dialled before the feed delivers a new row of it.
        mirror.remove_node(name, version);
    }
    for (id, progress) in &batch.jobs {
        // The owner's own clients see the progress without waiting for the feed.
        if let Some(view) = mirror.jobs.get_mut(id) {
            view.update_progress(progress.clone(), version);
        }
    }
}

pub(crate) async fn read_owner(shared: &Site) -> Result<(Ownership, u64), Error> {
    let read = Read { prefix: OWNER_KEY.to_owned(), after: String::new(), limit: 1 };
    let (page, _) =
        shared.table.read(Space::System, rows::part_of(OWNER_KEY), &read, COMMIT_TIMEOUT).await?;
    let row = page.rows.into_iter().next();
    let found = row.and_then(|row| {
        serde_json::from_str(&row.value).ok().map(|owner: Ownership| (owner, row.version))
    });
    Ok(found.unwrap_or_default())
}
