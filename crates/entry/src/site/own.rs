//! Ownership: claiming it, deciding while it lasts, handing it over.

use std::rc::Rc;
use std::time::Duration;

use quincewheel_dispatch::rows::{self, Node, OWNER, Ownership};
use quincewheel_dispatch::{Batch, Output, Owner, Settings};
use quincewheel_peer::{Command, Event};
use quincewheel_platform::Space;
use quincewheel_ring as ring;
use quincewheel_store::{Commit, Error, Expect, Put, Read};
use quincewheel_wire::{Hello, LinkId, Notice, Role};

use super::follow::read_all;
use super::state::{Shared, Site};

/// Longest pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);
/// The owner writes its row at least this often, in milliseconds.
const RENEW: u64 = 1000;
/// Progress that no client waits for is recorded after this time, in
/// milliseconds, together with what else there is by then.
const GATHER: u64 = 100;
/// A write without an answer is repeated after this time.
const TIMEOUT: Duration = Duration::from_millis(1200);
/// Most jobs whose rows are dropped with one record; three rows each, and a
/// transaction takes 100 rows.
const EXPIRED: usize = 5;
/// Pause after a write that failed, and between two dials of one agent.
const PAUSE: Duration = Duration::from_millis(200);

/// Claims the ownership when it is due and decides while it lasts.
pub(crate) async fn run(shared: Shared) {
    let mut dialled = Vec::new();
    actix_rt::spawn(record(Rc::clone(&shared)));
    loop {
        let now = quincewheel_clock::boot();
        if due(&shared, now) {
            claim(&shared).await;
        }
        step(&shared);
        dial(&shared, &mut dialled, now);
        let _ = tokio::time::timeout(TICK, shared.wake.notified()).await;
    }
}

fn due(shared: &Site, now: u64) -> bool {
    let heard = shared.heard.get();
    let free = shared.owner.borrow().is_none() && !shared.gate.closing();
    let draining = shared.gate.draining();
    let mirror = shared.mirror.borrow();
    let election = shared.election.borrow();
    free && heard > 0 && election.due(mirror.owner.as_ref(), heard, now, draining)
}

/// Writes the ownership row, if it is still as it was seen.
async fn claim(shared: &Site) {
    let seen = shared.mirror.borrow().owner.clone();
    let (epoch, version) = seen.map_or((0, 0), |(owner, version)| (owner.epoch, version));
    let mine = Ownership {
        holder: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        epoch: epoch + 1,
        sequence: 0,
    };
    let commit = Commit {
        expect: vec![Expect { key: OWNER.to_owned(), version }],
        put: vec![put(OWNER.to_owned(), &mine)],
        delete: Vec::new(),
    };
    let sent = quincewheel_clock::boot();
    let claimed = match shared.table.commit(&commit, TIMEOUT).await {
        Ok(version) => version,
        Err(error) => {
            log::info!(event = "claim failed"; "{error}");
            // An unclear claim may have taken effect: the feed will tell, and
            // then this entry takes over from itself.
            return tokio::time::sleep(PAUSE).await;
        }
    };
    let all = loop {
        match read_all(&shared.table, Space::Own).await {
            Ok(all) => break all,
            Err(error) => log::warn!(event = "takeover"; "{error}"),
        }
        if quincewheel_clock::boot() > sent + RENEW * 2 {
            // Others may have taken over by now.
            return;
        }
        tokio::time::sleep(PAUSE).await;
    };
    let now = quincewheel_clock::boot();
    let mut owner = Owner::open(settings(shared), mine.epoch, claimed, now);
    if let Some(config) = shared.config.borrow().as_ref() {
        owner.configure(config);
    }
    let mut mirror = shared.mirror.borrow_mut();
    for change in &all.rows {
        mirror.apply(change);
    }
    for (name, _) in mirror.nodes.iter().filter(|(_, node)| !node.entry) {
        owner.agent(name, now);
    }
    for (id, view) in &mirror.jobs {
        if let Some((job, version)) = &view.job {
            owner.job(id, job.clone(), *version, view.progress.clone());
            if view.cancelled {
                owner.cancel(id, now);
            }
        }
    }
    log::info!(event = "owner", epoch = mine.epoch, jobs = owner.active(); "took over");
    *shared.held.borrow_mut() = Some((mine, claimed));
    *shared.owner.borrow_mut() = Some(owner);
}

fn settings(shared: &Site) -> Settings {
    let site = &shared.settings;
    Settings { lease: site.lease, stop: site.stop, reclaim: site.reclaim, ..Settings::default() }
}

/// Lets time pass for the owner and carries out what it wants.
fn step(shared: &Site) {
    let mut owner = shared.owner.borrow_mut();
    let Some(current) = owner.as_mut() else { return };
    if let Some(config) = shared.config.borrow().as_ref() {
        current.configure(config);
    }
    current.tick(quincewheel_clock::boot(), quincewheel_clock::wall());
    let mut deposed = None;
    for output in current.outputs() {
        match output {
            Output::Send { link, order } => {
                if !shared.hub.ask(Command::Send { link, frame: order }) {
                    log::warn!(event = "hub full", link = link; "connection closed");
                    current.unlinked(link);
                    shared.hub.ask(Command::Close { link, reason: "too many orders wait" });
                }
            }
            Output::Close { link } => {
                shared.hub.ask(Command::Close { link, reason: "silent or replaced" });
            }
            Output::Deposed { epoch } => deposed = Some(epoch),
            Output::Log { event, subject, detail } => {
                shared.metrics.decided(event);
                log::info!(event = event, job = subject.as_str(); "{detail}");
            }
        }
    }
    if let Some(epoch) = deposed {
        drop(owner);
        depose(shared, &format!("an agent follows epoch {epoch}"));
    }
}

/// Ends the ownership on this side.
fn depose(shared: &Site, reason: &str) {
    let Some(owner) = shared.owner.borrow_mut().take() else { return };
    log::info!(event = "deposed", epoch = owner.epoch(); "{reason}");
    *shared.held.borrow_mut() = None;
    let entries = std::mem::take(&mut *shared.entries.borrow_mut());
    for link in owner.links().into_iter().chain(entries.into_values()) {
        shared.hub.ask(Command::Close { link, reason: "no longer the owner" });
    }
}

/// Connects to agents that are not connected, and to the other entries, which
/// notice by that connection that this process is gone.
fn dial(shared: &Site, dialled: &mut Vec<(String, u64)>, now: u64) {
    let owner = shared.owner.borrow();
    let Some(owner) = owner.as_ref() else { return };
    let pause = PAUSE.as_millis() as u64 * 2;
    dialled.retain(|(_, at)| now < at + pause);
    let mirror = shared.mirror.borrow();
    for (name, node) in &mirror.nodes {
        let busy = dialled.iter().any(|(address, _)| *address == node.address);
        let linked = match node.entry {
            true => *name == shared.settings.name || shared.entries.borrow().contains_key(name),
            false => owner.is_linked(name),
        };
        if !linked && !busy {
            dialled.push((node.address.clone(), now));
            shared.hub.ask(Command::Dial { address: node.address.clone() });
        }
    }
}

/// Takes in what agents tell.
pub(crate) async fn listen(shared: Shared, events: ring::Receiver<Event<Notice>>) {
    while let Some(event) = events.recv().await {
        let now = quincewheel_clock::boot();
        match event {
            Event::Linked { link, hello, dialled } => {
                linked(&shared, link, &hello, dialled.is_empty(), now);
            }
            Event::Unlinked { link } => unlinked(&shared, link, now),
            Event::Frame { link, frame } => {
                if let Some(owner) = shared.owner.borrow_mut().as_mut() {
                    owner.notice(link, frame, now);
                }
            }
            Event::Undialled { .. } => {}
        }
        step(&shared);
        shared.wake.notify_one();
    }
}

fn linked(shared: &Site, link: LinkId, hello: &Hello, inbound: bool, now: u64) {
    let mut owner = shared.owner.borrow_mut();
    match (hello.role, owner.as_mut()) {
        (Role::Entry, _) if inbound => {
            shared.election.borrow_mut().found();
            *shared.from_owner.borrow_mut() = Some((link, hello.name.clone()));
        }
        (Role::Entry, Some(_)) => {
            let former = shared.entries.borrow_mut().insert(hello.name.clone(), link);
            if let Some(link) = former {
                shared.hub.ask(Command::Close { link, reason: "replaced" });
            }
        }
        (Role::Agent, Some(owner)) => owner.linked(&hello.name, link, now),
        (_, None) => {
            shared.hub.ask(Command::Close { link, reason: "not the owner" });
        }
    }
}

fn unlinked(shared: &Site, link: LinkId, now: u64) {
    shared.entries.borrow_mut().retain(|_, known| *known != link);
    if let Some(owner) = shared.owner.borrow_mut().as_mut() {
        owner.unlinked(link);
    }
    let from = shared.from_owner.borrow_mut().take_if(|(known, _)| *known == link);
    let mirror = shared.mirror.borrow();
    let holder = mirror.owner.as_ref().map(|(owner, _)| &owner.holder);
    if from.is_some_and(|(_, name)| Some(&name) == holder) {
        shared.election.borrow_mut().lost(now);
    }
}

/// Writes where this entry is, so that the owner connects to it.
pub(crate) async fn announce(shared: Shared) {
    let node = Node { address: shared.settings.peers.clone(), entry: true };
    let commit = rows::announce(&shared.settings.name, &node);
    let failed = |error: &Error| shared.table_answered(Err(error));
    shared.table.insist(&commit, TIMEOUT, failed).await;
}

/// Records what the owner wants recorded, one transaction after the other,
/// and renews the ownership with each.
async fn record(shared: Shared) {
    let mut last = 0;
    loop {
        let now = quincewheel_clock::boot();
        let wanted = shared.owner.borrow().as_ref().is_some_and(|owner| {
            owner.urgent() || (owner.unrecorded() && now >= last + GATHER) || now >= last + RENEW
        });
        if !wanted {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        }
        last = now;
        let batch = shared.owner.borrow_mut().as_mut().and_then(Owner::record);
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
    let mut commit = Commit {
        expect: vec![Expect { key: OWNER.to_owned(), version }],
        put: vec![put(OWNER.to_owned(), &mine)],
        delete: Vec::new(),
    };
    let now = quincewheel_clock::boot();
    let expired = shared.mirror.borrow_mut().expired(now, keep(shared), EXPIRED);
    commit.delete.extend(expired.iter().flat_map(|id| rows::of_job(id)));
    commit.put.extend(batch.jobs.iter().map(|(id, progress)| put(rows::run(id), progress)));
    loop {
        let sent = quincewheel_clock::boot();
        match shared.table.commit(&commit, TIMEOUT).await {
            Ok(written) => {
                version = written;
                return finish(shared, batch, &mine, version, sent);
            }
            Err(Error::Conflict { .. }) => match read_owner(shared).await {
                Ok((found, at)) if found == mine => {
                    // An earlier try of this very write had taken effect.
                    return finish(shared, batch, &mine, at, sent);
                }
                Ok((found, _)) => {
                    return depose(shared, &format!("epoch {} is in force", found.epoch));
                }
                Err(error) => shared.table_answered(Err(&error)),
            },
            Err(error) => shared.table_answered(Err(&error)),
        }
        if shared.owner.borrow().is_none() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// How long an ended job's rows stay. Beyond the time for which its state must
/// be told, half of it again: a client's submission may be sent once more, and
/// would find no row and run anew.
fn keep(shared: &Site) -> u64 {
    shared.settings.keep * 3 / 2
}

fn finish(shared: &Site, batch: &Batch, mine: &Ownership, version: u64, sent: u64) {
    let mut owner = shared.owner.borrow_mut();
    let Some(owner) = owner.as_mut() else { return };
    if owner.epoch() != mine.epoch {
        return;
    }
    *shared.held.borrow_mut() = Some((mine.clone(), version));
    owner.confirm(sent);
    owner.recorded(batch, true);
    let mut mirror = shared.mirror.borrow_mut();
    for (id, progress) in &batch.jobs {
        // The owner's own clients need not wait for the feed.
        if let Some(view) = mirror.jobs.get_mut(id) {
            view.progress = Some(progress.clone());
        }
    }
}

async fn read_owner(shared: &Site) -> Result<(Ownership, u64), Error> {
    let read = Read { prefix: OWNER.to_owned(), after: String::new(), limit: 1 };
    let (page, _) = shared.table.read(Space::Own, &read, TIMEOUT).await?;
    let row = page.rows.into_iter().next();
    let found = row.and_then(|row| {
        serde_json::from_str(&row.value).ok().map(|owner: Ownership| (owner, row.version))
    });
    Ok(found.unwrap_or_default())
}

/// Gives the ownership up, so that another entry takes it without waiting.
pub(crate) async fn hand_over(shared: &Site) {
    let Some((mut mine, version)) = shared.held.borrow().clone() else { return };
    depose(shared, "shutting down");
    mine.holder = String::new();
    mine.sequence += 1;
    let commit = Commit {
        expect: vec![Expect { key: OWNER.to_owned(), version }],
        put: vec![put(OWNER.to_owned(), &mine)],
        delete: Vec::new(),
    };
    if let Err(error) = shared.table.commit(&commit, TIMEOUT).await {
        // The others take over once the row stands still.
        log::warn!(event = "hand over"; "{error}");
    }
}

pub(crate) fn put(key: String, value: &impl serde::Serialize) -> Put {
    let value = serde_json::to_string(value).expect("rows are plain data");
    Put { key, value }
}
