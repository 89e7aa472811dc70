//! Runs that stand still, and are better begun elsewhere.
//!
//! Tasks on a worker may stand still while it reports itself well; only their
//! progress shows it.

use quincewheel_job::Step;
use quincewheel_policy as policy;

use crate::entry::{Key, Phase, Placement};
use crate::owner::Owner;

impl Owner {
    /// Stops runs at a worker that stand still, so that they start elsewhere,
    /// and makes the worker the last choice.
    pub(crate) fn stop_stalled_runs(&mut self, name: &str, now: u64) {
        let mut found = Vec::new();
        for (id, entry) in &self.jobs {
            for (key, placed) in entry.runs.iter().filter(|(_, placed)| placed.agent == name) {
                let Some(step) = entry.step(*key) else { continue };
                let moved = entry.unit_progressed_at(placed);
                if stands_still(step, placed, moved, now) {
                    found.push((id.clone(), *key));
                }
            }
        }
        if found.is_empty() {
            return;
        }
        if let Some(agent) = self.agents.get_mut(name) {
            agent.doubted_until = agent.doubted_until.max(now + self.settings.failure_cooldown);
        }
        for (id, key) in found {
            self.log("run moved", &id, format!("{key:?} at {name} stands still"));
            for key in self.unit(&id, key) {
                self.stop_run(&id, key, now);
            }
        }
    }

    /// The runs that stop together with this one.
    fn unit(&self, id: &str, key: Key) -> Vec<Key> {
        let Some(entry) = self.jobs.get(id) else { return Vec::new() };
        let Some(unit) = entry.runs.get(&key).map(|placed| placed.unit) else { return Vec::new() };
        let same = entry.runs.iter().filter(|(_, placed)| placed.unit == unit);
        same.map(|(key, _)| *key).collect()
    }
}

/// `moved` is when any run of the unit last got further: a member of a gang that
/// is through waits for the others, which is no standstill.
fn stands_still(step: &Step, placed: &Placement, moved: u64, now: u64) -> bool {
    let still = now.saturating_sub(moved);
    placed.phase == Phase::Running && !step.perpetual && policy::is_stalled(step.estimate, still)
}
