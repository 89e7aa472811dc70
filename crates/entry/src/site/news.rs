//! Jobs and cancellations that an entry has just stored, told to the owner at once.
//!
//! The table's feed tells the owner, too, and proves that none is missed. But it may be
//! slow, broken or turned away at the owner while the entry that stored the job is served,
//! and urgent work has a quarter of a second to spare.

use quincewheel_dispatch::Owner;
use quincewheel_job::Job;
use quincewheel_peer::Command;
use quincewheel_wire::{Peer, Sent};

use super::follow::tell_job;
use super::state::Site;

/// This entry stored a job: tells the owner.
pub(crate) fn accepted(shared: &Site, id: &str, job: Job, version: u64) {
    if shared.owner.borrow().is_some() {
        return hear_accepted(shared, id, job, version);
    }
    keep(shared, id, &job, version);
    tell(shared, Peer::Accepted { id: id.to_owned(), version, job });
}

/// This entry stored a cancellation: tells the owner.
pub(crate) fn cancelled(shared: &Site, id: &str) {
    hear_cancelled(shared, id);
    tell(shared, Peer::Cancelled { id: id.to_owned() });
}

/// An entry has stored a job.
pub(crate) fn hear_accepted(shared: &Site, id: &str, job: Job, version: u64) {
    // The feed has told it, and perhaps that its rows were dropped since.
    if version <= shared.mirror.borrow().version {
        return;
    }
    keep(shared, id, &job, version);
    let now = quincewheel_clock::boot();
    let mut owner = shared.owner.borrow_mut();
    let Some(owner) = owner.as_mut() else { return };
    if owner.holds_ownership(now) {
        let mirror = shared.mirror.borrow();
        tell_job(owner, &mirror, id, now);
        shared.wake.notify_one();
    } else {
        shared.unproven.borrow_mut().add(id, version);
        shared.unrecorded.notify_one();
    }
}

/// An entry has stored a cancellation. It needs no proof: a stop harms nothing.
pub(crate) fn hear_cancelled(shared: &Site, id: &str) {
    shared.mirror.borrow_mut().jobs.entry(id.to_owned()).or_default().cancelled = true;
    if let Some(owner) = shared.owner.borrow_mut().as_mut() {
        owner.cancel(id, quincewheel_clock::boot());
    }
    shared.wake.notify_one();
}

/// The table has performed a write of this owner that has this version.
pub(crate) fn prove(shared: &Site, owner: &mut Owner, version: u64) {
    let proven = shared.unproven.borrow_mut().confirm(version);
    let mirror = shared.mirror.borrow();
    for id in proven {
        tell_job(owner, &mirror, &id, quincewheel_clock::boot());
    }
}

/// Takes in a job whose row has this version.
pub(crate) fn keep(shared: &Site, id: &str, job: &Job, version: u64) {
    let mut mirror = shared.mirror.borrow_mut();
    mirror.jobs.entry(id.to_owned()).or_default().job = Some((job.clone(), version));
}

fn tell(shared: &Site, peer: Peer) {
    if let Some((link, _)) = *shared.from_owner.borrow() {
        shared.hub.ask(Command::Send { link, frame: Sent::from(peer) });
    }
}
