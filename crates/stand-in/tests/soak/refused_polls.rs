//! Workers refuse polls with 503 for as long as a lease, while they confirm starts.
//!
//! Guards against a task starting a second time although its first run goes on or has ended as
//! done: the owner took a worker that refused polls for silent and its runs for lapsed, while each
//! confirmed start extended the lease there.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::kind::Kind;
use crate::size::Size;

/// For how long jobs are submitted and workers begin to refuse polls.
const SUBMIT_TIME: Duration = Duration::from_secs(6);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(400);
/// For how long a worker refuses polls: the longest lease.
const REFUSAL_MS: u64 = 6000;
/// Time between two workers that begin to refuse polls. Half of the workers refuse at a time then,
/// and the others can take the work.
const REFUSAL_INTERVAL_MS: u64 = 2000;
/// Time after the last job in which the last refusal ends, and ends are acknowledged.
const SETTLE_TIME: Duration = Duration::from_millis(REFUSAL_MS - REFUSAL_INTERVAL_MS + 1000);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the test and returns the violations.
pub fn run(logs: Option<&Path>) -> Vec<String> {
    let folder = std::env::temp_dir().join(format!("soak-{}-refused", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let logs = logs.map(|logs| logs.join("refused-polls"));
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
    let start_count = refuse_polls(&deployment);
    stop.store(true, Ordering::Relaxed);
    client.join().unwrap();
    thread::sleep(SETTLE_TIME);
    drop(clock);
    let mut violations = std::mem::take(&mut deployment.fleet.lock().unwrap().checker.violations);
    drop(deployment);
    if start_count == 0 {
        violations.push("no worker that refused polls started a run".to_owned());
    }
    let _ = std::fs::remove_dir_all(&folder);
    violations
}

/// Lets one worker after the other refuse polls. Returns how many runs they started meanwhile.
fn refuse_polls(deployment: &Deployment) -> usize {
    let began = Instant::now();
    let mut next_refusal = Duration::ZERO;
    let mut workers = (0..Size::SMALL.workers).cycle();
    let mut started = BTreeSet::new();
    while began.elapsed() < SUBMIT_TIME {
        if began.elapsed() >= next_refusal {
            next_refusal += Duration::from_millis(REFUSAL_INTERVAL_MS);
            let worker = workers.next().unwrap();
            deployment.fleet.lock().unwrap().refuse_calls(worker, true, REFUSAL_MS);
        }
        started.extend(starts_while_refusing(&deployment.fleet.lock().unwrap()));
        thread::sleep(POLL_INTERVAL);
    }
    started.len()
}

/// Returns the runs that started at workers that refuse polls: worker and time of the start.
fn starts_while_refusing(fleet: &Fleet) -> Vec<(usize, u64)> {
    let starts = |index: usize| {
        let worker = &fleet.workers[index];
        let refuses_since = worker.refuses_polls_until.saturating_sub(REFUSAL_MS);
        let refuses = fleet.now() < worker.refuses_polls_until;
        let runs =
            worker.runs.values().filter(move |run| refuses && run.started_at > refuses_since);
        runs.map(move |run| (index, run.started_at))
    };
    (0..Size::SMALL.workers).flat_map(starts).collect()
}
