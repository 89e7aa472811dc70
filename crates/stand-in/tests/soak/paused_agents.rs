//! Agents are paused just after a start, for almost a lease.
//!
//! Guards against a task starting a second time although its first run goes on or has ended as
//! done: a continued agent reported the list of runs from before the start, and the owner took the
//! run for lost while its worker's lease still ran.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::kind::Kind;
use crate::process::Signal;
use crate::size::Size;

/// For how long jobs are submitted and agents are paused.
const SUBMIT_TIME: Duration = Duration::from_secs(12);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(400);
/// Most agents that are paused at a time; the others can take the work.
const MAX_PAUSED: usize = 3;
/// An agent is paused this long after a start at its worker. The start is reported by then; a list
/// that contains the run is not, since the worker holds the poll in flight back.
const START_REPORT_MS: std::ops::Range<u64> = 30..120;
/// A poll is in flight and held back if another run is as old as this, in milliseconds.
const POLL_HELD_MS: u64 = 400;
/// From a start until its agent is continued: longer than the 5 s after which the owner takes an
/// unlisted run for lost, and shorter than a lease less the age of a grant.
const CONTINUE_AFTER_MS: u64 = 5080;
/// Time after the last pause in which ends are acknowledged and tasks start again.
const SETTLE_TIME: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Runs the test and returns the violations.
pub fn run(logs: Option<&Path>) -> Vec<String> {
    let folder = std::env::temp_dir().join(format!("soak-{}-paused", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let logs = logs.map(|logs| logs.join("paused-agents"));
    if let Some(logs) = &logs {
        std::fs::create_dir_all(logs).unwrap();
    }
    let deployment =
        Deployment::open(&folder, Kind::Departures, Size::SMALL, None, logs.as_deref());
    let entries = deployment.entries();
    deployment.check_bad_calls(&entries);
    let stop = Arc::new(AtomicBool::new(false));
    let clock = deployment.spawn_clock(Arc::clone(&stop));
    let (fleet, key) = (Arc::clone(&deployment.fleet), deployment.key());
    let submitting = Arc::clone(&stop);
    let client = thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let mut client = Client::new(&entries, 0).with_wide_steps(true);
            while !submitting.load(Ordering::Relaxed) {
                client.submit(&fleet, &key).await;
                tokio::time::sleep(SUBMIT_INTERVAL).await;
            }
        });
    });
    let pause_count = pause_agents(&deployment, &stop);
    client.join().unwrap();
    drop(clock);
    let mut violations = std::mem::take(&mut deployment.fleet.lock().unwrap().checker.violations);
    drop(deployment);
    if pause_count == 0 {
        violations.push("no agent was paused".to_owned());
    }
    let _ = std::fs::remove_dir_all(&folder);
    violations
}

/// Pauses agents just after starts that no reported list contains. Returns how often.
fn pause_agents(deployment: &Deployment, stop: &AtomicBool) -> usize {
    let began = Instant::now();
    let mut pause_count = 0;
    // When each paused agent is continued, on the run's clock.
    let mut paused: BTreeMap<usize, u64> = BTreeMap::new();
    while began.elapsed() < SUBMIT_TIME || !paused.is_empty() {
        thread::sleep(POLL_INTERVAL);
        let (now, starts) = unlisted_starts(&deployment.fleet.lock().unwrap());
        paused.retain(|worker, until| {
            if now >= *until {
                deployment.signal(Size::SMALL.entries + *worker, Signal::Continue);
            }
            now < *until
        });
        if began.elapsed() >= SUBMIT_TIME {
            stop.store(true, Ordering::Relaxed);
            continue;
        }
        for (worker, started_at) in starts {
            if paused.len() < MAX_PAUSED && !paused.contains_key(&worker) {
                deployment.signal(Size::SMALL.entries + worker, Signal::Stop);
                paused.insert(worker, started_at + CONTINUE_AFTER_MS);
                pause_count += 1;
            }
        }
    }
    thread::sleep(SETTLE_TIME);
    pause_count
}

/// Returns the time, and the workers with the start of their newest run if no reported list can
/// contain it.
fn unlisted_starts(fleet: &Fleet) -> (u64, Vec<(usize, u64)>) {
    let start = |worker| Some((worker, unlisted_start(fleet, worker)?));
    (fleet.now(), (0..Size::SMALL.workers).filter_map(start).collect())
}

/// Returns when the newest run of a worker started, if no reported list can contain it.
fn unlisted_start(fleet: &Fleet, worker: usize) -> Option<u64> {
    let ages = || {
        let runs = fleet.workers[worker].runs.values();
        runs.map(|run| fleet.now().saturating_sub(run.started_at))
    };
    let newest = ages().min().filter(|age| START_REPORT_MS.contains(age))?;
    let poll_is_held = ages().any(|age| age > POLL_HELD_MS)
        && fleet.workers[worker].ended.is_empty()
        && !ages().any(|age| (START_REPORT_MS.end..=POLL_HELD_MS).contains(&age));
    poll_is_held.then(|| fleet.now().saturating_sub(newest))
}
