//! Connections: the owner's to agents and to the other entries, and the one
//! that tells another entry whether the owner lives.

use std::rc::Rc;
use std::time::Duration;

use quincewheel_dispatch::rows::{self, Node, Size};
use quincewheel_peer::{Command, Event};
use quincewheel_ring as ring;
use quincewheel_store::Error;
use quincewheel_wire::{Hello, LinkId, Notice, Peer, Role};

use super::handover;
use super::looks;
use super::news;
use super::own::step;
use super::state::{Shared, Site};
use super::stores;

/// A write of the entry's own row is repeated after this time.
const TIMEOUT: Duration = Duration::from_millis(1200);

/// Connects to agents that are not connected, and to the other entries, which
/// notice by that connection that this process is gone.
pub(crate) fn dial(shared: &Site, now: u64) {
    let owner = shared.owner.borrow();
    let Some(owner) = owner.as_ref() else { return shared.dials.borrow_mut().clear() };
    let mut dials = shared.dials.borrow_mut();
    let mirror = shared.mirror.borrow();
    dials.keep(|address| mirror.nodes.values().any(|node| node.address == address));
    for (name, node) in &mirror.nodes {
        let linked = match node.entry {
            true => *name == shared.settings.name || shared.entries.borrow().contains_key(name),
            false => owner.is_connected(name),
        };
        if linked {
            dials.forget(&node.address);
        } else if dials.due(&node.address, now) {
            shared.hub.ask(Command::Dial { address: node.address.clone() });
        }
    }
}

/// Events that are taken in before time passes for the owner, at most.
const LOT: usize = 64;

/// Takes in what other processes tell.
///
/// All that waits is taken in before anything is decided. A decision after each event
/// cost an owner with 160 agents on a small machine more time than there was between two
/// events: it fell behind, and decided over what had long changed.
pub(crate) async fn listen(shared: Shared, events: ring::Receiver<Event<Notice>>) {
    while let Some(event) = events.recv().await {
        hear(&shared, event);
        for event in std::iter::from_fn(|| events.try_recv()).take(LOT) {
            hear(&shared, event);
        }
        step(&shared);
        shared.wake.notify_one();
    }
}

fn hear(shared: &Shared, event: Event<Notice>) {
    let now = quincewheel_clock::boot();
    match event {
        Event::Linked { link, hello, dialled } => {
            linked(shared, link, &hello, dialled.is_empty(), now);
        }
        Event::Unlinked { link } => unlinked(shared, link, now),
        Event::Frame { link, frame: Notice::Entry(peer) } => hear_entry(shared, link, peer),
        Event::Frame { link, frame } => {
            if let Some(owner) = shared.owner.borrow_mut().as_mut() {
                owner.on_notice(link, frame, now);
            }
        }
        Event::Undialled { address, error } => {
            // Once for each loss; the tries that follow tell nothing new.
            if shared.dials.borrow().is_first(&address) {
                log::info!(event = "not dialled", peer = address.as_str(); "{error}");
            }
        }
    }
}

/// Takes in what another entry tells.
fn hear_entry(shared: &Shared, link: LinkId, peer: Peer) {
    match peer {
        Peer::Alive => {
            let owner = shared.from_owner.borrow().as_ref().map(|(known, _)| *known);
            if owner == Some(link) {
                shared.election.borrow_mut().on_owner_heartbeat(quincewheel_clock::boot());
            }
        }
        Peer::Accepted { id, version, job } => news::hear_accepted(shared, &id, job, version),
        Peer::Cancelled { id } => news::hear_cancelled(shared, &id),
        Peer::Look { number, id } => {
            actix_rt::spawn(looks::answer(Rc::clone(shared), link, number, id));
        }
        Peer::Found { number, ref id, ref progress } => {
            looks::found(shared, id, progress.clone());
            shared.asks.borrow_mut().answer(number, peer);
        }
        Peer::Store { number, id, job } => {
            actix_rt::spawn(stores::hear_job(Rc::clone(shared), link, number, id, job));
        }
        Peer::Cancel { number, id } => {
            actix_rt::spawn(stores::hear_cancel(Rc::clone(shared), link, number, id));
        }
        Peer::Reach { number } => {
            actix_rt::spawn(handover::hear_reach(Rc::clone(shared), link, number));
        }
        Peer::HandOver { value, version } => {
            actix_rt::spawn(handover::hear_hand_over(Rc::clone(shared), value, version));
        }
        Peer::Stored { number, .. } | Peer::Reached { number, .. } => {
            shared.asks.borrow_mut().answer(number, peer);
        }
    }
}

fn linked(shared: &Site, link: LinkId, hello: &Hello, inbound: bool, now: u64) {
    let mut owner = shared.owner.borrow_mut();
    match (hello.role, owner.as_mut()) {
        (Role::Entry, _) if inbound => {
            shared.election.borrow_mut().on_owner_connected();
            *shared.from_owner.borrow_mut() = Some((link, hello.name.clone()));
        }
        (Role::Entry, Some(_)) => {
            let former = shared.entries.borrow_mut().insert(hello.name.clone(), link);
            if let Some(link) = former {
                shared.hub.ask(Command::Close { link, reason: "replaced" });
            }
        }
        (Role::Agent, Some(owner)) if shared.mirror.borrow().nodes.contains_key(&hello.name) => {
            owner.on_connected(&hello.name, link, now);
        }
        (Role::Agent, Some(_)) => {
            // Its row was dropped while the connection was made. It announces
            // itself again; without a row, a later owner would not wait for it.
            shared.hub.ask(Command::Close { link, reason: "no member" });
        }
        (_, None) => {
            shared.hub.ask(Command::Close { link, reason: "not the owner" });
        }
    }
}

fn unlinked(shared: &Site, link: LinkId, now: u64) {
    shared.entries.borrow_mut().retain(|_, known| *known != link);
    if let Some(owner) = shared.owner.borrow_mut().as_mut() {
        owner.on_disconnected(link);
    }
    let from = shared.from_owner.borrow_mut().take_if(|(known, _)| *known == link);
    let mirror = shared.mirror.borrow();
    let holder = mirror.owner.as_ref().map(|(owner, _)| &owner.holder);
    if from.is_some_and(|(_, name)| Some(&name) == holder) {
        shared.election.borrow_mut().on_owner_disconnected(now);
        shared.unowned.notify_one();
    }
}

/// Writes where this entry is, so that the owner connects to it.
pub(crate) async fn announce(shared: Shared) {
    let size = shared.settings.limits;
    write_node(&shared, Size { processor: size.cpu_millis, link: size.link_mbps }).await;
}

/// Writes that this entry is the last that should own: it ends. Where entries restart one
/// after the other, the next owner would wait in vain for those that are about to end.
pub(crate) async fn retire(shared: Shared) {
    write_node(&shared, Size::default()).await;
}

async fn write_node(shared: &Site, size: Size) {
    let node = Node { address: shared.settings.peer_address.clone(), entry: true, size };
    let commit = rows::announcement(&shared.settings.name, &node);
    let failed = |error: &Error| shared.table_answered(Err(error));
    shared.table.commit_with_retry(&commit, TIMEOUT, failed).await;
}
