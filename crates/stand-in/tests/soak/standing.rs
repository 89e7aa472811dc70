//! Finds accepted jobs that stand still beside idle workers.
//!
//! While all is calm, a job must not have nothing running for 3 s if a task's turn has come, it fits
//! twice over and less than half of the pool is in use.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use serde_json::Value;

use crate::checker::{Job, Step};
use crate::fleet::Fleet;

/// A job may stand for this long, in milliseconds.
const MAX_STAND_MS: u64 = 3000;
/// All must have been calm for this long before the stand, in milliseconds.
const CALM_BEFORE_MS: u64 = 4000;
/// Time after a fault until all counts as calm, in milliseconds.
pub const STABLE_WINDOW_MS: u64 = 5000;
/// A job must fit so many times.
const ROOM_FACTOR: u64 = 2;
/// Interval between two observations, in milliseconds.
const OBSERVATION_INTERVAL_MS: u64 = 50;

/// A job that stood too long.
#[derive(Clone, Debug)]
pub struct Stand {
    pub since: u64,
    /// When it was last seen to stand.
    pub until: u64,
    pub detail: String,
}

/// Observes the jobs of a fleet.
#[derive(Default)]
pub struct Standing {
    /// A fault is active that the fleet does not know of.
    pub has_fault: bool,
    /// When a fault was last active.
    disturbed_at: u64,
    observed_at: u64,
    /// How long stands could be observed, in milliseconds.
    pub calm_ms: u64,
    /// The longest stand, in milliseconds, and its job.
    pub longest: (u64, String),
    /// The jobs that stand now.
    standing: BTreeMap<String, Stand>,
    found: BTreeMap<String, Stand>,
}

impl Standing {
    /// Records that a fault is injected or ends now.
    pub fn disturb(&mut self, now: u64) {
        self.disturbed_at = now;
    }

    /// Observes which jobs stand.
    pub fn observe(&mut self, fleet: &Fleet, now: u64) {
        if now < self.observed_at + OBSERVATION_INTERVAL_MS {
            return;
        }
        let elapsed = now - self.observed_at;
        self.observed_at = now;
        if self.has_fault || fleet.is_disturbed(now) {
            self.disturbed_at = now;
        }
        if now < self.disturbed_at + STABLE_WINDOW_MS + CALM_BEFORE_MS {
            return self.standing.clear();
        }
        self.calm_ms += elapsed;
        let idle = idle_jobs(fleet, now);
        self.standing.retain(|id, _| idle.contains_key(id));
        for (id, detail) in idle {
            let stand = Stand { since: now, until: now, detail };
            let stand = self.standing.entry(id.clone()).or_insert(stand);
            stand.until = now;
            if now - stand.since > self.longest.0 {
                self.longest = (now - stand.since, id.clone());
            }
            if let Some(found) = self.found.get_mut(&id).filter(|found| found.since == stand.since)
            {
                found.until = now;
            }
        }
    }

    /// Returns the jobs that stand for too long now and are not found yet, and since when.
    pub fn overdue(&self) -> Vec<(String, u64)> {
        let overdue = self.standing.iter().filter(|(id, stand)| {
            stand.until >= stand.since + MAX_STAND_MS && !self.found.contains_key(*id)
        });
        overdue.map(|(id, stand)| (id.clone(), stand.since)).collect()
    }

    /// Records that a job that stands has not ended.
    pub fn confirm(&mut self, id: &str) {
        if let Some(stand) = self.standing.get(id) {
            self.found.insert(id.to_owned(), stand.clone());
        }
    }

    /// Returns all jobs that stood too long, as violations. `wall_origin` is the time of day at the
    /// start of the run, in milliseconds, and `logs` the folder of the processes' logs.
    pub fn violations(&self, wall_origin: u64, logs: Option<&Path>) -> Vec<String> {
        let violation = |(id, stand): (&String, &Stand)| {
            let still = if self.standing.contains_key(id) { ", and still" } else { "" };
            let ms = stand.until - stand.since;
            let since = (wall_origin + stand.since) as f64 / 1000.0;
            let line = logs.and_then(|folder| last_wait(folder, id));
            let line = line.unwrap_or_else(|| "no line of its wait".to_owned());
            format!("LOST {id}: stood for {ms} ms from {since}{still}: {}; {line}", stand.detail)
        };
        self.found.iter().map(violation).collect()
    }
}

/// Returns the open jobs with nothing running that fit, with what was seen.
fn idle_jobs(fleet: &Fleet, now: u64) -> BTreeMap<String, String> {
    let free: Vec<u64> = fleet.free_accelerators(now).collect();
    let (used, total) = fleet.use_of_capacity(now);
    if used * 2 >= total {
        return BTreeMap::new();
    }
    let running: BTreeSet<&str> = fleet
        .workers
        .iter()
        .flat_map(|worker| worker.runs.keys())
        .map(|task| task.0.as_str())
        .collect();
    let open = fleet
        .checker
        .jobs
        .iter()
        .filter(|(id, job)| fleet.checker.is_owed(id, job) && !running.contains(id.as_str()));
    let idle = open.filter_map(|(id, job)| {
        let number = fitting_step(fleet, id, job, &free)?;
        Some((id.clone(), format!("step {number} fits, {used} of {total} accelerators in use")))
    });
    idle.collect()
}

/// Returns a step whose turn has come and that fits [`ROOM_FACTOR`] times.
fn fitting_step(fleet: &Fleet, id: &str, job: &Job, free: &[u64]) -> Option<u32> {
    let ready = (0u32..).zip(&job.steps).filter(|(number, _)| fleet.checker.is_ready(id, *number));
    ready.filter(|(_, step)| fits(step, free)).map(|(number, _)| number).next()
}

fn fits(step: &Step, free: &[u64]) -> bool {
    let places: u64 = free.iter().map(|free| free / step.accelerators).sum();
    let tasks = if step.gang { u64::from(step.count) } else { 1 };
    places >= ROOM_FACTOR * tasks
}

/// Returns the last log line of any entry about the wait of a job, or of all older jobs.
fn last_wait(folder: &Path, id: &str) -> Option<String> {
    let files = std::fs::read_dir(folder).ok()?.flatten();
    let entries = files.filter(|file| file.file_name().to_string_lossy().starts_with("entry-"));
    let texts = entries.filter_map(|file| std::fs::read_to_string(file.path()).ok());
    let last = texts.filter_map(|text| {
        let is_about = |line: &&str| {
            line.contains("\"unsettled\"") || (line.contains("\"waits\"") && line.contains(id))
        };
        let line = text.lines().rfind(is_about)?;
        let time = serde_json::from_str::<Value>(line).ok()?["t"].as_f64()?;
        Some((time, line.to_owned()))
    });
    last.max_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, line)| line)
}
