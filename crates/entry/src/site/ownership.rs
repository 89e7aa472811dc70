//! Ownership: claiming it, running the owner while it is held, and giving it up.

use std::collections::VecDeque;
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
use super::links::dial_disconnected;
use super::machines::MachineCall;
use super::record::{RENEWAL_INTERVAL_MS, record_changes};
use super::state::{Shared, Site};

/// Maximum interval between two iterations of the owner's loop.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The same while there is no owner: the interval at which candidates claim one after the other.
const ELECTION_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two scans for members that are not connected, in milliseconds. Each scan
/// visits all members, and the loop also runs after every event, so it must not scan each time.
/// Dialling takes some 3 ms.
const DIAL_INTERVAL_MS: u64 = 50;
/// Interval at which the owner sends a heartbeat to the other entries, in milliseconds. They
/// consider it lost after 700 ms without one.
const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// A write without a reply is repeated after this time.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time in which the hub takes thousands of commands.
const DEFERRAL: Duration = Duration::from_millis(2);

/// Claims the ownership when due, and runs the owner while this entry holds it.
pub(crate) async fn run(shared: Shared) {
    actix_rt::spawn(record_changes(Rc::clone(&shared)));
    actix_rt::spawn(resume_outputs(Rc::clone(&shared)));
    let mut last_dial_at = 0;
    let mut last_heartbeat_at = 0;
    loop {
        let now = quincewheel_clock::boot();
        if should_claim(&shared, now) {
            claim(&shared).await;
            // Dials at once: a new owner schedules older jobs only after all agents have reported.
            last_dial_at = 0;
        }
        tick(&shared);
        if now >= last_dial_at + DIAL_INTERVAL_MS {
            last_dial_at = now;
            dial_disconnected(&shared, now);
        }
        if now >= last_heartbeat_at + HEARTBEAT_INTERVAL_MS {
            last_heartbeat_at = now;
            send_heartbeats(&shared);
        }
        let _ = tokio::time::timeout(tick_interval(&shared), shared.wake.notified()).await;
    }
}

/// Sends a heartbeat to the other entries. The map of connections is empty unless this entry owns.
fn send_heartbeats(shared: &Site) {
    for &link in shared.entry_links.borrow().values() {
        shared.hub.ask(Command::Send { link, frame: Peer::Alive.into() });
    }
}

/// Time until the next iteration of the owner's loop.
fn tick_interval(shared: &Site) -> Duration {
    let mirror = shared.mirror.borrow();
    let owned = |(owner, _): &(Ownership, u64)| !owner.holder.is_empty();
    if mirror.owner.as_ref().is_some_and(owned) {
        MAX_TICK_INTERVAL
    } else {
        ELECTION_TICK_INTERVAL
    }
}

fn should_claim(shared: &Site, now: u64) -> bool {
    let updated_at = shared.rows_updated_at.get();
    let eligible = shared.owner.borrow().is_none() && !shared.gate.closing();
    // Without the operators' evacuations, an owner could start work in an evacuated availability
    // zone.
    let evacuation_known = shared.evacuation.borrow().is_some();
    if !eligible || updated_at == 0 || !evacuation_known {
        return false;
    }
    let draining = shared.gate.draining();
    let mirror = shared.mirror.borrow();
    let mut election = shared.election.borrow_mut();
    election.set_rank(mirror.candidate_rank(&shared.settings.name));
    election.should_claim(mirror.owner.as_ref(), updated_at, now, draining)
}

/// Writes the ownership row, conditional on the version that this entry last read.
async fn claim(shared: &Site) {
    let row = shared.mirror.borrow().owner.clone();
    let grants_ended =
        row.as_ref().is_none_or(|(owner, _)| owner.grants_ended(&shared.settings.name));
    let (epoch, version) = row.map_or((0, 0), |(owner, version)| (owner.epoch, version));
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
    let sent_at = quincewheel_clock::boot();
    let claimed_version = match shared.table.commit(&commit, COMMIT_TIMEOUT).await {
        Ok(version) => version,
        Err(error) => {
            log::info!(event = "claim failed"; "{error}");
            // The claim may have taken effect although its outcome is unclear. The feed then shows
            // the row, and this entry takes over from itself.
            return tokio::time::sleep(RETRY_DELAY).await;
        }
    };
    let version = match catch_up(shared, claimed_version).await {
        Some(version) => Some(version),
        None => read_all_rows(shared, claimed_version, sent_at + RENEWAL_INTERVAL_MS * 2).await,
    };
    // No complete set of rows in time: another entry may have taken over by now.
    let Some(version) = version else { return };
    let now = quincewheel_clock::boot();
    let mut owner = Owner::new(owner_settings(shared), mine.epoch, claimed_version, now);
    if grants_ended {
        owner.predecessor_ended();
    }
    if let Some(config) = shared.config.borrow().as_ref() {
        owner.configure(config);
    }
    if let Some(zones) = shared.evacuation.borrow().as_ref() {
        owner.set_evacuation(zones, shared.config_confirmed_at.get());
    }
    let mirror = shared.mirror.borrow();
    for (name, _) in mirror.nodes.iter().filter(|(_, node)| !node.entry) {
        owner.add_agent(name, now);
    }
    owner.set_earlier_claims(&mirror.epoch_claims);
    owner.restore_learned(&mirror.learned);
    for (id, view) in &mirror.jobs {
        if let Some((job, version)) = &view.job {
            owner.add_job(id, job.clone(), *version, view.progress());
            view.checkpoints.values().for_each(|part| owner.restore_checkpoints(id, part));
            if view.cancelled {
                owner.cancel(id, now);
            }
        }
    }
    owner.jobs_loaded(version);
    let ms = now - sent_at;
    log::info!(event = "owner", epoch = mine.epoch, jobs = owner.active_jobs(), ms = ms; "took over");
    *shared.ownership.borrow_mut() = Some((mine, claimed_version));
    *shared.owner.borrow_mut() = Some(owner);
    drop(mirror);
    // The rows may show a later claim that was written before the owner was set up.
    check_deposed(shared);
    shared.record_due.notify_one();
}

/// Reads all rows as of `min_version` or later and returns their version, or `None` if that has not
/// succeeded by `until`. Rows that the feed has delivered stay in the mirror, since a read may lag
/// seconds behind it; older ones than the claim could lack ends that a previous owner has recorded.
async fn read_all_rows(shared: &Site, min_version: u64, until: u64) -> Option<u64> {
    loop {
        match read_all(&shared.table, Space::System).await {
            Ok(all) if all.version < min_version => {
                let version = all.version;
                log::warn!(event = "takeover"; "rows of version {version}, before {min_version}");
            }
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
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn owner_settings(shared: &Site) -> Settings {
    let bounds = shared.bounds.get();
    Settings {
        lease: bounds.lease,
        stop_timeout: bounds.stop,
        evacuation_deadline: bounds.evacuation,
        reclaim_deadline: bounds.reclaim,
        fencing_interval: bounds.turn,
        maintenance_duration: bounds.maintenance,
        claim_after: shared.scheduling.claim_after,
        doubt: shared.scheduling.doubt,
        uneven_percent: shared.scheduling.uneven_percent,
        share_half_life: shared.scheduling.share_half_life,
        limits: shared.settings.table_limits,
        lists_machines: shared.settings.machines_address.is_some(),
        ..Settings::default()
    }
}

/// Reloads the settings file, after a signal or a change of the file. Changed addresses take
/// effect at the next start.
pub(crate) fn reload_settings(shared: &Site, path: &Path) {
    let read = match platform::read_settings(path) {
        Ok(read) => read,
        Err(error) => return log::warn!(event = "reload"; "{error}; keeping the previous settings"),
    };
    let previous = shared.bounds.replace(read.bounds);
    let changed = previous != read.bounds;
    log::info!(event = "reload", changed = changed; "{:?}", read.bounds);
    if let Some(owner) = shared.owner.borrow_mut().as_mut().filter(|_| changed) {
        owner.update_settings(owner_settings(shared));
    }
}

/// Polls the settings file for changes, which may come without a signal.
pub(crate) async fn watch_settings(shared: Shared, path: PathBuf) {
    let modified_at = || std::fs::metadata(&path).and_then(|file| file.modified()).ok();
    let mut last_modified_at = modified_at();
    loop {
        tokio::time::sleep(SETTINGS_CHECK_INTERVAL).await;
        let current = modified_at();
        if current != last_modified_at {
            last_modified_at = current;
            reload_settings(&shared, &path);
        }
    }
}

/// Advances the owner to the present time and executes its outputs.
pub(crate) fn tick(shared: &Site) {
    let mut owner = shared.owner.borrow_mut();
    let Some(current_owner) = owner.as_mut() else { return };
    if let Some(config) = shared.config.borrow().as_ref() {
        current_owner.configure(config);
    }
    if let Some(zones) = shared.evacuation.borrow().as_ref() {
        current_owner.set_evacuation(zones, shared.config_confirmed_at.get());
    }
    add_waves(shared, current_owner);
    current_owner.tick(quincewheel_clock::boot(), quincewheel_clock::wall());
    if current_owner.has_urgent_changes() {
        shared.record_due.notify_one();
    }
    let mut deposed = None;
    let mut outputs: VecDeque<Output> = shared.unsent.take();
    outputs.extend(current_owner.take_outputs());
    while let Some(output) = outputs.pop_front() {
        match output {
            Output::Send { link, order } => {
                let command = Command::Send { link, frame: Sent::Order(order) };
                if let Err(Command::Send { link, frame: Sent::Order(order) }) =
                    shared.hub.try_ask(command)
                {
                    outputs.push_front(Output::Send { link, order });
                    defer_outputs(shared, outputs);
                    break;
                }
            }
            Output::RequestClearance { request } => {
                *shared.clearance_request.borrow_mut() = Some(request);
                shared.clearance_requested.notify_one();
            }
            Output::ListMachines => request_machine_call(shared, MachineCall::List),
            Output::TakeDown { wave, machine } => {
                request_machine_call(shared, MachineCall::TakeDown { wave, machine })
            }
            Output::WaveStatus { number, done } => {
                request_machine_call(shared, MachineCall::WriteStatus { number, done })
            }
            Output::Close { link } => {
                shared.hub.ask(Command::Close { link, reason: "silent or replaced" });
            }
            Output::Deposed { epoch } => deposed = Some(epoch),
            Output::Log { event, subject, detail } => {
                shared.metrics.count_decision(event);
                log::info!(event = event, job = subject.as_str(); "{detail}");
            }
        }
    }
    if let Some(epoch) = deposed {
        drop(owner);
        depose(shared, &format!("an agent follows epoch {epoch}"));
    }
}

/// Keeps outputs, in their order, until the hub has taken those before them. The orders about thousands
/// of tasks come at once.
fn defer_outputs(shared: &Site, outputs: VecDeque<Output>) {
    *shared.unsent.borrow_mut() = outputs;
    shared.outputs_deferred.notify_one();
}

/// Runs the owner's loop again soon after outputs were deferred.
pub(crate) async fn resume_outputs(shared: Shared) {
    loop {
        shared.outputs_deferred.notified().await;
        tokio::time::sleep(DEFERRAL).await;
        shared.wake.notify_one();
    }
}

/// Passes waves that the owner does not have yet, each with the time at which it was first seen,
/// so that a new owner does not restart the wave's duration.
fn add_waves(shared: &Site, owner: &mut Owner) {
    for (number, wave) in shared.waves.borrow().iter() {
        if !owner.has_wave(*number) {
            let record = shared.mirror.borrow().waves.get(number).copied();
            owner.add_wave(wave, record, quincewheel_clock::wall());
        }
    }
}

fn request_machine_call(shared: &Site, call: MachineCall) {
    shared.machine_calls.borrow_mut().push(call);
    shared.machine_call_added.notify_one();
}

/// Ends the ownership once the table's feed shows a later epoch.
///
/// The feed delivers rows in the order of their writes. A new owner starts jobs accepted after its
/// claim at once, without waiting for agents that still follow its predecessor. The predecessor
/// must therefore read the claim before any such job, and stop deciding; otherwise both start the
/// same task milliseconds apart.
pub(crate) fn check_deposed(shared: &Site) {
    let mine = shared.ownership.borrow().as_ref().map(|(mine, _)| mine.epoch);
    let seen = shared.mirror.borrow().owner.as_ref().map(|(owner, _)| owner.epoch);
    if let (Some(mine), Some(seen)) = (mine, seen)
        && seen > mine
    {
        depose(shared, &format!("epoch {seen} is in force"));
    }
}

/// Drops the owner and closes its connections.
pub(crate) fn depose(shared: &Site, reason: &str) {
    let Some(owner) = shared.owner.borrow_mut().take() else { return };
    log::info!(event = "deposed", epoch = owner.epoch(); "{reason}");
    *shared.ownership.borrow_mut() = None;
    shared.unsent.borrow_mut().clear();
    shared.unconfirmed_jobs.borrow_mut().clear();
    let entries = std::mem::take(&mut *shared.entry_links.borrow_mut());
    for link in owner.links().into_iter().chain(entries.into_values()) {
        shared.hub.ask(Command::Close { link, reason: "no longer the owner" });
    }
}

pub(crate) fn put(key: String, value: &impl serde::Serialize) -> Put {
    let value = serde_json::to_string(value).expect("rows are plain data");
    Put { key, value }
}
