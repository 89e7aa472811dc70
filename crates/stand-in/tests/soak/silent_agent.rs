//! One agent is suspended while the owner dies.
//!
//! Guards against ready steps waiting beside idle workers until the leases of one silent agent have
//! lapsed: a new owner held back all older jobs until each agent was heard, also steps that no
//! earlier owner can have started, since they became ready only under the new one.

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

/// The worker whose agent is suspended, and the process of that agent.
const SILENT_WORKER: usize = Size::SMALL.workers - 1;
const SILENT_AGENT: usize = Size::SMALL.entries + SILENT_WORKER;
/// When it is suspended and the owner dies: the checker takes all for calm from 9 s on.
const FAULT_AT: Duration = Duration::from_secs(10);
/// For how long the checker looks on: longer than a lease and the change of the owner.
const WATCH_TIME: Duration = Duration::from_secs(12);
/// Pause between two jobs, which use about a third of the capacity.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(800);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the test and returns the violations.
pub fn run(logs: Option<&Path>) -> Vec<String> {
    let folder = std::env::temp_dir().join(format!("soak-{}-silent", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let logs = logs.map(|logs| logs.join("silent-agent"));
    if let Some(logs) = &logs {
        std::fs::create_dir_all(logs).unwrap();
    }
    let mut deployment =
        Deployment::open(&folder, Kind::Faults, Size::SMALL, None, logs.as_deref());
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
    thread::sleep(FAULT_AT);
    deployment.signal(SILENT_AGENT, Signal::Stop);
    let killed_at = deployment.fleet.lock().unwrap().now();
    let killed = deployment.kill_owner(WATCH_TIME);
    let began = Instant::now();
    while began.elapsed() < WATCH_TIME {
        confirm_overdue(&mut deployment.fleet.lock().unwrap(), killed_at);
        thread::sleep(POLL_INTERVAL);
    }
    stop.store(true, Ordering::Relaxed);
    client.join().unwrap();
    drop(clock);
    let mut fleet = deployment.fleet.lock().unwrap();
    let mut violations = std::mem::take(&mut fleet.checker.violations);
    violations.extend(fleet.standing.violations(0, logs.as_deref()));
    if !killed {
        violations.push("no owner was killed".to_owned());
    }
    drop(fleet);
    drop(deployment);
    let _ = std::fs::remove_dir_all(&folder);
    violations
}

/// Records the jobs that stand too long and that no earlier owner can have started at the silent
/// agent: they became ready after the owner had died, and nothing of them ran at that worker.
fn confirm_overdue(fleet: &mut Fleet, killed_at: u64) {
    let Fleet { checker, standing, .. } = fleet;
    for (id, since) in standing.overdue() {
        if since > killed_at && !checker.has_started_at(&id, SILENT_WORKER) {
            standing.confirm(&id);
        }
    }
}
