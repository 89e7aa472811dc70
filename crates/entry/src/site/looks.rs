//! How far a job is, as its owner knows it.
//!
//! Clients ask within a few milliseconds of a job's end, sooner than its record reaches
//! the other entries, and again a quarter of a second later. Told "running" of a job that
//! has ended, a client knows so much later. So an entry asks the owner, and the owner
//! answers when what it knows is recorded: "succeeded" may be told only once no loss of
//! power can take it back.

use std::time::Duration;

use quincewheel_job::{Id, Progress};
use quincewheel_peer::Command;
use quincewheel_wire::{LinkId, Peer, Sent};
use tokio::time::{Instant, timeout, timeout_at};

use super::asks::ask;
use super::state::{Shared, Site};

/// Longest time for which the state of a job waits for the record of its end: several
/// writes of a table that is well, which takes 4 ms for each.
const RECORD: Duration = Duration::from_millis(50);
/// Longest time for which an entry waits for the owner's answer: that, and the way there
/// and back between availability zones.
const ANSWER: Duration = Duration::from_millis(60);
/// An owner that did not answer in time is not asked for so many milliseconds: it may be
/// cut off, and each client would wait for it.
const SILENCE: u64 = 1000;

/// Brings what this entry knows of a job up to date, as far as that takes no longer than
/// a record does.
pub(crate) async fn refresh(shared: &Site, id: &str) {
    let open = shared.mirror.borrow().jobs.get(id).is_some_and(|view| !view.state().is_final());
    if !open {
        return;
    }
    if shared.owner.borrow().is_some() {
        return recorded(shared, id).await;
    }
    if quincewheel_clock::boot() < shared.owner_silent.get() {
        return;
    }
    let Some((link, _)) = shared.from_owner.borrow().clone() else { return };
    let question = |number| Peer::Look { number, id: id.to_owned() };
    let Some(answer) = ask(shared, link, question) else { return };
    if timeout(ANSWER, answer).await.is_err() {
        shared.owner_silent.set(quincewheel_clock::boot() + SILENCE);
    }
}

/// Answers another entry once what this one knows is recorded.
pub(crate) async fn answer(shared: Shared, link: LinkId, number: u64, id: Id) {
    recorded(&shared, &id).await;
    let progress = shared.mirror.borrow().jobs.get(&id).and_then(|view| view.recorded_progress());
    let frame = Sent::from(Peer::Found { number, id, progress });
    shared.hub.ask(Command::Send { link, frame });
}

/// The owner's answer came.
pub(crate) fn found(shared: &Site, id: &str, progress: Option<(Progress, u64)>) {
    let mut mirror = shared.mirror.borrow_mut();
    if let (Some(view), Some((progress, version))) = (mirror.jobs.get_mut(id), progress) {
        view.update_progress(progress, version);
    }
}

/// Waits while the end of a job is being recorded, if this entry owns and knows that it
/// has ended.
async fn recorded(shared: &Site, id: &str) {
    let ending = || {
        let owner = shared.owner.borrow();
        let ended = owner.as_ref().is_some_and(|owner| owner.has_ended(id));
        ended && shared.mirror.borrow().jobs.get(id).is_some_and(|view| !view.state().is_final())
    };
    let end = Instant::now() + RECORD;
    while ending() && Instant::now() < end {
        let _ = timeout_at(end, shared.recorded.notified()).await;
    }
}
