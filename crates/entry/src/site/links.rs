//! Connections: the owner's to agents and other entries, and the owner's connection to this entry,
//! which shows whether the owner is alive.

use std::rc::Rc;
use std::time::Duration;

use quincewheel_dispatch::rows::{self, Node, Size};
use quincewheel_peer::{Command, Event};
use quincewheel_ring as ring;
use quincewheel_store::Error;
use quincewheel_wire::{Hello, LinkId, Notice, Peer, Role};

use super::forward;
use super::handover;
use super::job_events;
use super::job_state;
use super::ownership::tick;
use super::state::{Shared, Site};

/// A write of the entry's own row is repeated after this time.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Dials agents and entries that are not connected. The other entries detect by their connection
/// when this process ends.
pub(crate) fn dial_disconnected(shared: &Site, now: u64) {
    let owner = shared.owner.borrow();
    let Some(owner) = owner.as_ref() else { return shared.backoff.borrow_mut().clear() };
    let mut backoff = shared.backoff.borrow_mut();
    let mirror = shared.mirror.borrow();
    backoff.retain_members(|address| mirror.nodes.values().any(|node| node.address == address));
    for (name, node) in &mirror.nodes {
        let connected = match node.entry {
            true => *name == shared.settings.name || shared.entry_links.borrow().contains_key(name),
            false => owner.is_connected(name),
        };
        if connected {
            backoff.reset(&node.address);
        } else if backoff.begin_attempt(&node.address, now) {
            shared.hub.ask(Command::Dial { address: node.address.clone() });
        }
    }
}

/// Maximum number of further events that are processed before the owner decides.
const MAX_EVENT_BATCH: usize = 64;

/// Processes events of other processes.
///
/// All queued events are processed before the owner decides. Deciding after each event took an
/// owner with 160 agents on a small machine longer than the time between two events, so that it
/// fell behind and decided on outdated state.
pub(crate) async fn process_events(shared: Shared, events: ring::Receiver<Event<Notice>>) {
    while let Some(event) = events.recv().await {
        on_event(&shared, event);
        for event in std::iter::from_fn(|| events.try_recv()).take(MAX_EVENT_BATCH) {
            on_event(&shared, event);
        }
        tick(&shared);
        shared.wake.notify_one();
    }
}

fn on_event(shared: &Shared, event: Event<Notice>) {
    let now = quincewheel_clock::boot();
    match event {
        Event::Connected { link, hello, dialled } => {
            on_connected(shared, link, &hello, dialled.is_empty(), now);
        }
        Event::Disconnected { link } => on_disconnected(shared, link, now),
        Event::Frame { link, frame: Notice::Entry(peer) } => on_peer(shared, link, peer),
        Event::Frame { link, frame } => {
            if let Some(owner) = shared.owner.borrow_mut().as_mut() {
                owner.on_notice(link, frame, now);
            }
        }
        Event::DialFailed { address, error } => {
            // Only the first failed attempt is logged; the retries that follow add nothing.
            if shared.backoff.borrow().is_first_attempt(&address) {
                log::info!(event = "not dialled", peer = address.as_str(); "{error}");
            }
        }
    }
}

/// Processes a frame of another entry.
fn on_peer(shared: &Shared, link: LinkId, peer: Peer) {
    match peer {
        Peer::Alive => {
            let owner = shared.owner_link.borrow().as_ref().map(|(known, _)| *known);
            if owner == Some(link) {
                shared.election.borrow_mut().on_owner_heartbeat(quincewheel_clock::boot());
            }
        }
        Peer::Accepted { id, version, job } => job_events::on_accepted(shared, &id, job, version),
        Peer::Cancelled { id } => job_events::on_cancelled(shared, &id),
        Peer::Look { number, id } => {
            actix_rt::spawn(job_state::reply(Rc::clone(shared), link, number, id));
        }
        Peer::Found { number, ref id, ref progress, state } => {
            let recorded = progress.as_ref().map(|(progress, version)| (progress.state, *version));
            job_state::on_reply(shared, id, state.or(recorded));
            shared.queries.borrow_mut().complete(number, peer);
        }
        Peer::Store { number, id, job } => {
            actix_rt::spawn(forward::on_store(Rc::clone(shared), link, number, id, job));
        }
        Peer::Cancel { number, id } => {
            actix_rt::spawn(forward::on_cancel(Rc::clone(shared), link, number, id));
        }
        Peer::Reach { number } => {
            actix_rt::spawn(handover::on_reach(Rc::clone(shared), link, number));
        }
        Peer::HandOver { value, version } => {
            actix_rt::spawn(handover::on_hand_over(Rc::clone(shared), value, version));
        }
        Peer::Stored { number, .. } | Peer::Reached { number, .. } => {
            shared.queries.borrow_mut().complete(number, peer);
        }
    }
}

fn on_connected(shared: &Site, link: LinkId, hello: &Hello, inbound: bool, now: u64) {
    let mut owner = shared.owner.borrow_mut();
    match (hello.role, owner.as_mut()) {
        (Role::Entry, _) if inbound => {
            shared.election.borrow_mut().on_owner_connected();
            *shared.owner_link.borrow_mut() = Some((link, hello.name.clone()));
        }
        (Role::Entry, Some(_)) => {
            let previous = shared.entry_links.borrow_mut().insert(hello.name.clone(), link);
            if let Some(link) = previous {
                shared.hub.ask(Command::Close { link, reason: "replaced" });
            }
        }
        (Role::Agent, Some(owner)) if shared.mirror.borrow().nodes.contains_key(&hello.name) => {
            owner.on_connected(&hello.name, link, now);
        }
        (Role::Agent, Some(_)) => {
            // Its row was deleted while it connected. It has to announce itself again, since a
            // later owner would not wait for an agent without a row.
            shared.hub.ask(Command::Close { link, reason: "not a member" });
        }
        (_, None) => {
            shared.hub.ask(Command::Close { link, reason: "not the owner" });
        }
    }
}

fn on_disconnected(shared: &Site, link: LinkId, now: u64) {
    shared.entry_links.borrow_mut().retain(|_, known| *known != link);
    if let Some(owner) = shared.owner.borrow_mut().as_mut() {
        owner.on_disconnected(link);
    }
    let owner_link = shared.owner_link.borrow_mut().take_if(|(known, _)| *known == link);
    let mirror = shared.mirror.borrow();
    let holder = mirror.owner.as_ref().map(|(owner, _)| &owner.holder);
    if owner_link.is_some_and(|(_, name)| Some(&name) == holder) {
        shared.election.borrow_mut().on_owner_disconnected(now);
        shared.owner_disconnected.notify_one();
    }
}

/// Writes this entry's row, with the address to which the owner connects.
pub(crate) async fn announce(shared: Shared) {
    let size = shared.settings.limits;
    write_node(&shared, Size { processor: size.cpu_millis, link: size.link_mbps }).await;
}

/// Writes this entry's row with the lowest rank, because the process is shutting down. Otherwise,
/// in a rolling restart, claims would wait for candidates that are about to end.
pub(crate) async fn announce_leaving(shared: Shared) {
    write_node(&shared, Size::default()).await;
}

async fn write_node(shared: &Site, size: Size) {
    let node = Node { address: shared.settings.peer_address.clone(), entry: true, size };
    let commit = rows::announcement(&shared.settings.name, &node);
    let failed = |error: &Error| shared.record_table_reply(Err(error));
    shared.table.commit_with_retry(&commit, COMMIT_TIMEOUT, failed).await;
}
