//! Up-to-date states of jobs, from the owner.
//!
//! Clients query a job within milliseconds of its end, before the record of the end reaches the
//! other entries, and again a quarter of a second later. A client that receives "running" for an
//! ended job learns of the end that much later. An entry therefore queries the owner, which
//! replies once its state is recorded: "succeeded" may be reported only once a power failure
//! cannot undo it.

use std::time::Duration;

use quincewheel_job::{Id, State};
use quincewheel_peer::Command;
use quincewheel_wire::{LinkId, Peer, Sent};
use tokio::time::{Instant, timeout, timeout_at};

use super::queries::query;
use super::state::{Shared, Site};

/// Maximum time that a query waits for the end of a job to be recorded: several writes of a
/// healthy table, which takes 4 ms for each.
const RECORDING_TIMEOUT: Duration = Duration::from_millis(50);
/// Time limit for the owner's reply: that wait, and a round trip between availability zones.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// How long an owner that did not reply in time is not queried again, in milliseconds. It may be
/// cut off, and every client would wait for it.
const OWNER_COOLDOWN_MS: u64 = 1000;

/// Updates this entry's view of a job, within the time that recording an end takes.
pub(crate) async fn refresh(shared: &Site, id: &str) {
    let unfinished =
        shared.mirror.borrow().jobs.get(id).is_some_and(|view| !view.state().is_final());
    if !unfinished {
        return;
    }
    if shared.owner.borrow().is_some() {
        return wait_recorded(shared, id).await;
    }
    if quincewheel_clock::boot() < shared.owner_cooldown_until.get() {
        return;
    }
    let Some((link, _)) = shared.owner_link.borrow().clone() else { return };
    let request = |number| Peer::Look { number, id: id.to_owned() };
    let Some(reply) = query(shared, link, request) else { return };
    if timeout(REPLY_TIMEOUT, reply).await.is_err() {
        shared.owner_cooldown_until.set(quincewheel_clock::boot() + OWNER_COOLDOWN_MS);
    }
}

/// Replies to another entry's query once the state of the job is recorded.
pub(crate) async fn reply(shared: Shared, link: LinkId, number: u64, id: Id) {
    wait_recorded(&shared, &id).await;
    let state = shared.mirror.borrow().jobs.get(&id).and_then(|view| view.recorded_state());
    let frame = Sent::from(Peer::Found { number, id, progress: None, state });
    shared.hub.ask(Command::Send { link, frame });
}

/// Applies the owner's reply to the mirror.
pub(crate) fn on_reply(shared: &Site, id: &str, state: Option<(State, u64)>) {
    let mut mirror = shared.mirror.borrow_mut();
    if let (Some(view), Some((state, version))) = (mirror.jobs.get_mut(id), state) {
        view.update_state(state, version);
    }
}

/// Waits until the end of a job is recorded, if this entry owns and the job has ended.
async fn wait_recorded(shared: &Site, id: &str) {
    let recording = || {
        let owner = shared.owner.borrow();
        let ended = owner.as_ref().is_some_and(|owner| owner.has_ended(id));
        ended && shared.mirror.borrow().jobs.get(id).is_some_and(|view| !view.state().is_final())
    };
    let deadline = Instant::now() + RECORDING_TIMEOUT;
    while recording() && Instant::now() < deadline {
        let _ = timeout_at(deadline, shared.record_done.notified()).await;
    }
}
