//! Detection of stalled runs, which are stopped and started on other workers.
//!
//! Tasks may stall on a worker that reports itself healthy, so only their progress shows it.

use quincewheel_job::Step;
use quincewheel_policy as policy;

use crate::entry::Key;
use crate::owner::Owner;
use crate::placement::{Phase, Placement};

impl Owner {
    /// Stops runs on a worker that had stalled when it listed them at `listed_at`, so that they start
    /// elsewhere, and prefers other workers for a while. What it did not list then may have ended.
    pub(crate) fn stop_stalled_runs(&mut self, name: &str, (listed_at, now): (u64, u64)) {
        let mut found = Vec::new();
        for (id, entry) in &self.jobs {
            for (key, placed) in entry.runs.iter().filter(|(_, placed)| placed.agent == name) {
                let Some(step) = entry.step(*key).filter(|_| placed.updated_at >= listed_at) else {
                    continue;
                };
                let progressed_at = entry.unit_progressed_at(placed);
                if is_stalled(step, placed, progressed_at, listed_at) {
                    found.push((id.clone(), *key));
                }
            }
        }
        if found.is_empty() {
            return;
        }
        if let Some(agent) = self.agents.get_mut(name) {
            agent.deprioritized_until =
                agent.deprioritized_until.max(now + self.settings.failure_cooldown);
        }
        for (id, key) in found {
            self.log("run moved", &id, format!("{key:?} at {name} stands still"));
            for key in self.runs_in_unit(&id, key) {
                self.stop_run(&id, key, now);
            }
        }
    }

    /// Returns the runs of the same unit, which can only be stopped together.
    fn runs_in_unit(&self, id: &str, key: Key) -> Vec<Key> {
        let Some(entry) = self.jobs.get(id) else { return Vec::new() };
        let Some(unit) = entry.runs.get(&key).map(|placed| placed.unit) else { return Vec::new() };
        let same = entry.runs.iter().filter(|(_, placed)| placed.unit == unit);
        same.map(|(key, _)| *key).collect()
    }
}

/// Returns whether a run has stalled. `progressed_at` is when any run of its unit last made
/// progress: a member of a gang that has finished and waits for the others has not stalled.
fn is_stalled(step: &Step, placed: &Placement, progressed_at: u64, listed_at: u64) -> bool {
    let stalled_ms = listed_at.saturating_sub(progressed_at);
    placed.phase == Phase::Running
        && !step.perpetual
        && policy::is_stalled(step.estimate, stalled_ms)
}
