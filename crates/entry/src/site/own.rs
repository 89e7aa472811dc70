//! Ownership: claiming it, deciding while it lasts, handing it over.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use quincewheel_dispatch::rows::{OWNER_KEY, Ownership};
use quincewheel_dispatch::{Output, Owner, Settings};
use quincewheel_peer::Command;
use quincewheel_platform::{self as platform, Space};
use quincewheel_store::{Commit, Expect, Put};
use quincewheel_wire::{Peer, Sent};

use super::follow::{catch_up, read_all};
use super::links::dial;
use super::record::{RENEW, record};
use super::state::{Shared, Site};
use super::upkeep::Wish;

/// Longest pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);
/// And while nobody owns: what candidates wait one after the other.
const UNOWNED: Duration = Duration::from_millis(20);
/// Time between two looks at who is not connected, in milliseconds: each goes through all
/// members, and the loop wakes up with each event. A dial takes some 3 ms.
const DIAL: u64 = 50;
/// The owner tells the other entries so often that it lives, in milliseconds. They miss it after
/// 700 without a word.
const ALIVE: u64 = 200;
/// A write without an answer is repeated after this time.
const TIMEOUT: Duration = Duration::from_millis(1200);
/// Time between two looks at the settings file.
const WATCH: Duration = Duration::from_secs(5);
/// Pause after a write that failed.
const PAUSE: Duration = Duration::from_millis(200);

/// Claims the ownership when it is due and decides while it lasts.
pub(crate) async fn run(shared: Shared) {
    actix_rt::spawn(record(Rc::clone(&shared)));
    let mut dialled = 0;
    let mut spoken = 0;
    loop {
        let now = quincewheel_clock::boot();
        if due(&shared, now) {
            claim(&shared).await;
            // A new owner decides over older jobs only once it has heard all agents.
            dialled = 0;
        }
        step(&shared);
        if now >= dialled + DIAL {
            dialled = now;
            dial(&shared, now);
        }
        if now >= spoken + ALIVE {
            spoken = now;
            tell_alive(&shared);
        }
        let _ = tokio::time::timeout(pause(&shared), shared.wake.notified()).await;
    }
}

/// Tells the other entries that the owner lives, where this entry is it.
fn tell_alive(shared: &Site) {
    for &link in shared.entries.borrow().values() {
        shared.hub.ask(Command::Send { link, frame: Peer::Alive.into() });
    }
}

/// How long to wait for the next look at what is due.
fn pause(shared: &Site) -> Duration {
    let mirror = shared.mirror.borrow();
    let owned = |(owner, _): &(Ownership, u64)| !owner.holder.is_empty();
    if mirror.owner.as_ref().is_some_and(owned) { TICK } else { UNOWNED }
}

fn due(shared: &Site, now: u64) -> bool {
    let heard = shared.heard.get();
    let free = shared.owner.borrow().is_none() && !shared.gate.closing();
    // One that has not read what operators evacuate would start work there.
    let read = shared.evacuation.borrow().is_some();
    if !free || heard == 0 || !read {
        return false;
    }
    let draining = shared.gate.draining();
    let mirror = shared.mirror.borrow();
    let mut election = shared.election.borrow_mut();
    election.set_rank(mirror.candidate_rank(&shared.settings.name));
    election.should_claim(mirror.owner.as_ref(), heard, now, draining)
}

/// Writes the ownership row, if it is still as it was seen.
async fn claim(shared: &Site) {
    let seen = shared.mirror.borrow().owner.clone();
    let ended = seen.as_ref().is_none_or(|(owner, _)| owner.grants_ended(&shared.settings.name));
    let (epoch, version) = seen.map_or((0, 0), |(owner, version)| (owner.epoch, version));
    let mine = Ownership {
        holder: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        epoch: epoch + 1,
        sequence: 0,
        settled: false,
    };
    let commit = Commit {
        expect: vec![Expect { key: OWNER_KEY.to_owned(), version }],
        put: vec![put(OWNER_KEY.to_owned(), &mine)],
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
    let known = match catch_up(shared, claimed).await {
        Some(version) => Some(version),
        None => read_rows(shared, sent + RENEW * 2).await,
    };
    // Else others may have taken over by now.
    let Some(known) = known else { return };
    let now = quincewheel_clock::boot();
    let mut owner = Owner::new(settings(shared), mine.epoch, claimed, now);
    if ended {
        owner.predecessor_ended();
    }
    if let Some(config) = shared.config.borrow().as_ref() {
        owner.configure(config);
    }
    if let Some(zones) = shared.evacuation.borrow().as_ref() {
        owner.set_evacuation(zones, shared.proved.get());
    }
    let mirror = shared.mirror.borrow();
    for (name, _) in mirror.nodes.iter().filter(|(_, node)| !node.entry) {
        owner.add_agent(name, now);
    }
    owner.restore_times(&mirror.times);
    for (id, view) in &mirror.jobs {
        if let Some((job, version)) = &view.job {
            owner.add_job(id, job.clone(), *version, view.progress.clone());
            owner.restore_checkpoints(id, &view.saved);
            if view.cancelled {
                owner.cancel(id, now);
            }
        }
    }
    owner.jobs_loaded(known);
    let ms = now - sent;
    log::info!(event = "owner", epoch = mine.epoch, jobs = owner.active_jobs(), ms = ms; "took over");
    *shared.held.borrow_mut() = Some((mine, claimed));
    *shared.owner.borrow_mut() = Some(owner);
    drop(mirror);
    // The rows may have told of a later claim before this one was carried out.
    check_deposed(shared);
    shared.unrecorded.notify_one();
}

/// Reads all rows, and tells as of which version; none if they have not come by `until`.
/// What the feed has told before stays: a read may be seconds behind it.
async fn read_rows(shared: &Site, until: u64) -> Option<u64> {
    loop {
        match read_all(&shared.table, Space::System).await {
            Ok(all) => {
                let mut mirror = shared.mirror.borrow_mut();
                for change in &all.rows {
                    mirror.apply(change);
                }
                return Some(all.version);
            }
            Err(error) => log::warn!(event = "takeover"; "{error}"),
        }
        if quincewheel_clock::boot() > until {
            return None;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn settings(shared: &Site) -> Settings {
    let bounds = shared.bounds.get();
    Settings {
        lease: bounds.lease,
        stop_timeout: bounds.stop,
        evacuation_deadline: bounds.evacuation,
        reclaim_deadline: bounds.reclaim,
        fencing_interval: bounds.turn,
        maintenance_duration: bounds.maintenance,
        lists_machines: shared.settings.machines_address.is_some(),
        ..Settings::default()
    }
}

/// Takes in the settings file as it is now, after a signal or without one.
/// Addresses stay as they were until the next start.
pub(crate) fn reload(shared: &Site, path: &Path) {
    let read = match platform::read_settings(path) {
        Ok(read) => read,
        Err(error) => return log::warn!(event = "reload"; "{error}; the former settings stay"),
    };
    let former = shared.bounds.replace(read.bounds);
    let changed = former != read.bounds;
    log::info!(event = "reload", changed = changed; "{:?}", read.bounds);
    if let Some(owner) = shared.owner.borrow_mut().as_mut().filter(|_| changed) {
        owner.update_settings(settings(shared));
    }
}

/// Looks at the settings file now and then: it may change without a signal.
pub(crate) async fn watch(shared: Shared, path: PathBuf) {
    let modified = || std::fs::metadata(&path).and_then(|file| file.modified()).ok();
    let mut known = modified();
    loop {
        tokio::time::sleep(WATCH).await;
        let now = modified();
        if now != known {
            known = now;
            reload(&shared, &path);
        }
    }
}

/// Lets time pass for the owner and carries out what it wants.
pub(crate) fn step(shared: &Site) {
    let mut owner = shared.owner.borrow_mut();
    let Some(current) = owner.as_mut() else { return };
    if let Some(config) = shared.config.borrow().as_ref() {
        current.configure(config);
    }
    if let Some(zones) = shared.evacuation.borrow().as_ref() {
        current.set_evacuation(zones, shared.proved.get());
    }
    add_waves(shared, current);
    current.tick(quincewheel_clock::boot(), quincewheel_clock::wall());
    if current.has_urgent_changes() {
        shared.unrecorded.notify_one();
    }
    let mut deposed = None;
    for output in current.take_outputs() {
        match output {
            Output::Send { link, order } => {
                if !shared.hub.ask(Command::Send { link, frame: Sent::Order(order) }) {
                    log::warn!(event = "hub full", link = link; "connection closed");
                    current.on_disconnected(link);
                    shared.hub.ask(Command::Close { link, reason: "too many orders wait" });
                }
            }
            Output::RequestClearance { request } => {
                *shared.question.borrow_mut() = Some(request);
                shared.asked.notify_one();
            }
            Output::ListMachines => wish(shared, Wish::List),
            Output::TakeDown { wave, machine } => wish(shared, Wish::Take { wave, machine }),
            Output::WaveStatus { number, done } => wish(shared, Wish::Tell { number, done }),
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

/// Tells the owner of waves that it does not know, and when they were first
/// seen: a later owner must not give them their whole time again.
fn add_waves(shared: &Site, owner: &mut Owner) {
    for (number, wave) in shared.waves.borrow().iter() {
        if !owner.knows_wave(*number) {
            let known = shared.mirror.borrow().waves.get(number).copied();
            owner.add_wave(wave, known, quincewheel_clock::wall());
        }
    }
}

fn wish(shared: &Site, wish: Wish) {
    shared.wishes.borrow_mut().push(wish);
    shared.wished.notify_one();
}

/// Ends the ownership once the table's feed shows a later one.
///
/// The feed tells rows in the order in which they were written. A new owner
/// starts jobs accepted after its claim at once, without waiting for agents that
/// still follow the former owner; the former owner must therefore read the claim
/// before any such job, and stop deciding. Without this both started the same
/// task, milliseconds apart.
pub(crate) fn check_deposed(shared: &Site) {
    let mine = shared.held.borrow().as_ref().map(|(mine, _)| mine.epoch);
    let seen = shared.mirror.borrow().owner.as_ref().map(|(owner, _)| owner.epoch);
    if let (Some(mine), Some(seen)) = (mine, seen)
        && seen > mine
    {
        depose(shared, &format!("epoch {seen} is in force"));
    }
}

/// Ends the ownership on this side.
pub(crate) fn depose(shared: &Site, reason: &str) {
    let Some(owner) = shared.owner.borrow_mut().take() else { return };
    log::info!(event = "deposed", epoch = owner.epoch(); "{reason}");
    *shared.held.borrow_mut() = None;
    shared.unproven.borrow_mut().clear();
    let entries = std::mem::take(&mut *shared.entries.borrow_mut());
    for link in owner.links().into_iter().chain(entries.into_values()) {
        shared.hub.ask(Command::Close { link, reason: "no longer the owner" });
    }
}

pub(crate) fn put(key: String, value: &impl serde::Serialize) -> Put {
    let value = serde_json::to_string(value).expect("rows are plain data");
    Put { key, value }
}
