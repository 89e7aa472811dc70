//! Records what the owner must not forget, and renews its ownership with it.

use std::pin::pin;
use std::time::Duration;

use quincewheel_dispatch::rows::{self, OWNER_KEY, Ownership, TIMES_KEY};
use quincewheel_dispatch::{Batch, Owner};
use quincewheel_job::Id;
use quincewheel_platform::Space;
use quincewheel_store::{Commit, Error, Expect, Read};
use tokio::time::timeout;

use super::handover::leave_if_cut_off;
use super::news;
use super::own::{depose, put, step};
use super::state::{Shared, Site};

/// The owner writes its row at least this often, in milliseconds.
pub(crate) const RENEW: u64 = 500;
/// Progress that no client waits for is recorded after this time, in
/// milliseconds, together with what else there is by then.
const GATHER: u64 = 20;
/// A write without an answer is repeated after this time: a slow table answers
/// within some 450 ms, and others take the ownership over after 1,700.
const TIMEOUT: Duration = Duration::from_millis(700);
/// An owner looks whether it is cut off from the table when a write has had no answer
/// for so long: most of what a slow table takes.
const SLOW: Duration = Duration::from_millis(350);
/// Most jobs whose rows are dropped with one record; four rows each, and a
/// transaction takes 100 rows.
const EXPIRED: usize = 5;
/// Pause after a write that failed.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest time between two looks at whether something is to be recorded. What clients
/// wait for is not looked for, but told.
const LOOK: Duration = Duration::from_millis(20);

/// And while this entry does not own: a claim is told. Half of the wake-ups of an entry that
/// does not own were such looks, 50 a second.
const IDLE: Duration = Duration::from_secs(1);

/// Records what the owner wants recorded, one transaction after the other,
/// and renews the ownership with each.
pub(crate) async fn record(shared: Shared) {
    let mut last = 0;
    loop {
        let now = quincewheel_clock::boot();
        let wanted = shared.owner.borrow().as_ref().is_some_and(|owner| {
            let told = !shared.unproven.borrow().is_empty();
            told || owner.has_urgent_changes()
                || (owner.has_unrecorded() && now >= last + GATHER)
                || now >= last + RENEW
        });
        if !wanted {
            let pause = if shared.owner.borrow().is_some() { LOOK } else { IDLE };
            let _ = tokio::time::timeout(pause, shared.unrecorded.notified()).await;
            continue;
        }
        last = now;
        let batch = shared.owner.borrow_mut().as_mut().and_then(Owner::next_batch);
        write(&shared, &batch.unwrap_or_default()).await;
        step(&shared);
    }
}

/// Writes a batch until it is known to be written or the ownership is lost.
///
/// Each write replaces the ownership row, so that a write which the table
/// performs seconds late finds another version and changes nothing.
async fn write(shared: &Site, batch: &Batch) {
    let Some((mut mine, mut version)) = shared.held.borrow().clone() else { return };
    mine.sequence += 1;
    mine.settled = shared.owner.borrow().as_ref().is_some_and(Owner::is_settled);
    let mut commit = Commit {
        expect: vec![Expect { key: OWNER_KEY.to_owned(), version }],
        put: vec![put(OWNER_KEY.to_owned(), &mine)],
        delete: Vec::new(),
    };
    let now = quincewheel_clock::boot();
    let expired = shared.mirror.borrow_mut().expired_jobs(now, keep(shared), EXPIRED);
    commit.delete.extend(expired.iter().flat_map(|id| rows::job_keys(id)));
    commit.put.extend(batch.times.as_ref().map(|times| put(TIMES_KEY.to_owned(), times)));
    commit
        .put
        .extend(batch.checkpoints.iter().map(|(id, saved)| put(rows::checkpoints_key(id), saved)));
    let seen = batch.waves.iter().map(|(number, seen)| put(rows::wave_key(*number), seen));
    commit.put.extend(seen);
    commit.delete.extend(batch.departed.iter().map(|name| rows::node_key(name)));
    commit
        .put
        .extend(batch.jobs.iter().map(|(id, progress)| put(rows::progress_key(id), progress)));
    loop {
        let sent = quincewheel_clock::boot();
        let mut writing = pin!(shared.table.commit(&commit, TIMEOUT));
        let result = match timeout(SLOW, &mut writing).await {
            Ok(result) => result,
            Err(_) if leave_if_cut_off(shared).await => return,
            Err(_) => writing.await,
        };
        match result {
            Ok(written) => {
                version = written;
                let mut owner = shared.owner.borrow_mut();
                if let Some(owner) = owner.as_mut().filter(|owner| owner.epoch() == mine.epoch) {
                    owner.renew_ownership(sent);
                }
                drop(owner);
                finish(shared, batch, &mine, version, sent);
                return drop_rows(shared, &expired);
            }
            Err(Error::Conflict { .. }) => match read_owner(shared).await {
                Ok((found, at)) if found == mine => {
                    // An earlier try of this very write had taken effect.
                    finish(shared, batch, &mine, at, sent);
                    return drop_rows(shared, &expired);
                }
                Ok((found, _)) => {
                    return depose(shared, &format!("epoch {} is in force", found.epoch));
                }
                Err(error) => shared.table_answered(Err(&error)),
            },
            Err(error) => shared.table_answered(Err(&error)),
        }
        if shared.owner.borrow().is_none() || leave_if_cut_off(shared).await {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// How long an ended job's rows stay. Beyond the time for which its state must
/// be told, half of it again: a client's submission may be sent once more, and
/// would find no row and run anew.
fn keep(shared: &Site) -> u64 {
    shared.bounds.get().keep * 3 / 2
}

fn drop_rows(shared: &Site, expired: &[Id]) {
    if let Some(owner) = shared.owner.borrow_mut().as_mut() {
        owner.remove_ended_jobs(expired);
    }
}

fn finish(shared: &Site, batch: &Batch, mine: &Ownership, version: u64, sent: u64) {
    let mut owner = shared.owner.borrow_mut();
    let Some(owner) = owner.as_mut() else { return };
    if owner.epoch() != mine.epoch {
        return;
    }
    *shared.held.borrow_mut() = Some((mine.clone(), version));
    owner.confirm_ownership(sent);
    owner.on_recorded(batch, true);
    news::prove(shared, owner, version);
    let mut mirror = shared.mirror.borrow_mut();
    shared.recorded.notify_waiters();
    for name in batch.departed.iter().filter(|name| owner.is_dismissed(name)) {
        // Nor is it dialled until the feed tells a new row.
        mirror.nodes.remove(name);
    }
    for (id, progress) in &batch.jobs {
        // The owner's own clients need not wait for the feed.
        if let Some(view) = mirror.jobs.get_mut(id) {
            view.update_progress(progress.clone(), version);
        }
    }
}

pub(crate) async fn read_owner(shared: &Site) -> Result<(Ownership, u64), Error> {
    let read = Read { prefix: OWNER_KEY.to_owned(), after: String::new(), limit: 1 };
    let (page, _) =
        shared.table.read(Space::System, rows::part_of(OWNER_KEY), &read, TIMEOUT).await?;
    let row = page.rows.into_iter().next();
    let found = row.and_then(|row| {
        serde_json::from_str(&row.value).ok().map(|owner: Ownership| (owner, row.version))
    });
    Ok(found.unwrap_or_default())
}
