//! Agents are killed, and first hear a delayed heartbeat of their worker's former incarnation.
//!
//! Guards against a task starting a second time although its first run goes on or has ended as
//! done: an agent without memory took the former incarnation for its worker, and the owner took
//! the runs of the current one for lost while its lease still ran.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::deployment::Deployment;
use crate::kind::Kind;
use crate::size::Size;

/// For how long jobs are submitted, and workers and agents are restarted.
const SUBMIT_TIME: Duration = Duration::from_secs(7);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two restarts of workers.
const RESTART_INTERVAL: Duration = Duration::from_millis(700);
const WORKER_DOWNTIME_MS: u64 = 200;
/// Time from the restart of a worker to the kill of its agent, in which the new incarnation is
/// given runs. Platforms deliver heartbeats late by seconds.
const KILL_DELAY: Duration = Duration::from_millis(2000);
/// Longer than two heartbeat intervals of a worker, so that a heartbeat fails meanwhile.
const AGENT_DOWNTIME: Duration = Duration::from_millis(700);
/// Time after the last kill in which ends are acknowledged and tasks start again.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the test and returns the violations.
pub fn run(logs: Option<&Path>) -> Vec<String> {
    let folder = std::env::temp_dir().join(format!("soak-{}-killed", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let logs = logs.map(|logs| logs.join("killed-agents"));
    if let Some(logs) = &logs {
        std::fs::create_dir_all(logs).unwrap();
    }
    let mut deployment =
        Deployment::open(&folder, Kind::Departures, Size::SMALL, None, logs.as_deref());
    deployment.fleet.lock().unwrap().delays_former_heartbeats = true;
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
    kill_agents(&mut deployment);
    stop.store(true, Ordering::Relaxed);
    client.join().unwrap();
    thread::sleep(SETTLE_TIME);
    drop(clock);
    let fleet = Arc::clone(&deployment.fleet);
    drop(deployment);
    let mut fleet = fleet.lock().unwrap();
    let mut violations = std::mem::take(&mut fleet.checker.violations);
    if fleet.former_heartbeat_count == 0 {
        violations.push("no heartbeat of a former incarnation arrived".to_owned());
    }
    let _ = std::fs::remove_dir_all(&folder);
    violations
}

/// Restarts one worker after the other, and each one's agent after it has been given runs again.
fn kill_agents(deployment: &mut Deployment) {
    let began = Instant::now();
    let mut next_restart = Duration::ZERO;
    let mut workers = (0..Size::SMALL.workers).cycle();
    // When each agent is killed, after the start of the run.
    let mut kills: Vec<(Duration, usize)> = Vec::new();
    while began.elapsed() < SUBMIT_TIME || !kills.is_empty() {
        let elapsed = began.elapsed();
        if elapsed >= next_restart && elapsed < SUBMIT_TIME {
            next_restart += RESTART_INTERVAL;
            let worker = workers.next().unwrap();
            deployment.fleet.lock().unwrap().restart_worker(worker, WORKER_DOWNTIME_MS);
            kills.push((elapsed + KILL_DELAY, worker));
        }
        for (_, worker) in kills.extract_if(.., |(at, _)| elapsed >= *at) {
            deployment.kill_agent(worker, AGENT_DOWNTIME);
        }
        deployment.repair(false);
        thread::sleep(POLL_INTERVAL);
    }
    thread::sleep(AGENT_DOWNTIME);
    deployment.repair(true);
}
