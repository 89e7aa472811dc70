//! Sends jobs and cancellations to the owner as soon as an entry has stored them.
//!
//! The table's feed also delivers them, and guarantees that none is missed. But the feed may be
//! slow or broken, or the table may refuse the owner while it serves the entry that stored the
//! job, and urgent work has a slack of a quarter of a second.

use quincewheel_dispatch::Owner;
use quincewheel_job::Job;
use quincewheel_peer::Command;
use quincewheel_wire::{Peer, Sent};

use super::follow::add_job;
use super::state::Site;

/// Notifies the owner that this entry has stored a job.
pub(crate) fn notify_accepted(shared: &Site, id: &str, job: Job, version: u64) {
    if shared.owner.borrow().is_some() {
        return on_accepted(shared, id, job, version);
    }
    cache_job(shared, id, &job, version);
    send_to_owner(shared, Peer::Accepted { id: id.to_owned(), version, job });
}

/// Notifies the owner that this entry has stored a cancellation.
pub(crate) fn notify_cancelled(shared: &Site, id: &str) {
    on_cancelled(shared, id);
    send_to_owner(shared, Peer::Cancelled { id: id.to_owned() });
}

/// Records that an entry has stored a job, and schedules the job if this entry owns.
pub(crate) fn on_accepted(shared: &Site, id: &str, job: Job, version: u64) {
    // The feed has delivered the row already, and may have delivered its deletion.
    if version <= shared.mirror.borrow().version {
        return;
    }
    cache_job(shared, id, &job, version);
    let now = quincewheel_clock::boot();
    let mut owner = shared.owner.borrow_mut();
    let Some(owner) = owner.as_mut() else { return };
    if owner.holds_ownership(now) {
        let mirror = shared.mirror.borrow();
        add_job(owner, &mirror, id, now);
        shared.wake.notify_one();
    } else {
        shared.unconfirmed_jobs.borrow_mut().add(id, version);
        shared.record_due.notify_one();
    }
}

/// Records that an entry has stored a cancellation. It is applied without a confirmed ownership,
/// since a needless stop does no harm.
pub(crate) fn on_cancelled(shared: &Site, id: &str) {
    shared.mirror.borrow_mut().jobs.entry(id.to_owned()).or_default().cancelled = true;
    if let Some(owner) = shared.owner.borrow_mut().as_mut() {
        owner.cancel(id, quincewheel_clock::boot());
    }
    shared.wake.notify_one();
}

/// Schedules the jobs that were waiting for this confirmed write of the owner.
pub(crate) fn confirm(shared: &Site, owner: &mut Owner, version: u64) {
    let confirmed = shared.unconfirmed_jobs.borrow_mut().confirm(version);
    let mirror = shared.mirror.borrow();
    for id in confirmed {
        add_job(owner, &mirror, &id, quincewheel_clock::boot());
    }
}

/// Adds a stored job to the mirror.
pub(crate) fn cache_job(shared: &Site, id: &str, job: &Job, version: u64) {
    let mut mirror = shared.mirror.borrow_mut();
    mirror.jobs.entry(id.to_owned()).or_default().job = Some((job.clone(), version));
}

fn send_to_owner(shared: &Site, peer: Peer) {
    if let Some((link, _)) = *shared.owner_link.borrow() {
        shared.hub.ask(Command::Send { link, frame: Sent::from(peer) });
    }
}
