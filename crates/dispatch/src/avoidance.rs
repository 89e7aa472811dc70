//! Workers that tasks avoid for a while after a failure there.

use std::collections::BTreeSet;

use quincewheel_job::{Incarnation, Task};
use quincewheel_policy::{AVOIDANCE_MS, limit_avoided};

use crate::candidate::Candidate;
use crate::owner::Owner;
use crate::reports::task_key;
use crate::snapshot::Snapshot;

impl Owner {
    /// Records that a task failed at an agent's worker, so that it avoids the worker.
    pub(crate) fn record_avoidance(&mut self, name: &str, task: &Task, now: u64) {
        if let Some(entry) = self.jobs.get_mut(&task.job)
            && let Some(worker) = self.agents.get(name).and_then(|agent| agent.worker.as_ref())
        {
            let slot = entry.slot(task_key(task));
            let until = now + AVOIDANCE_MS;
            entry.avoided_workers.entry(slot).or_default().insert(worker.incarnation(), until);
            self.avoidance_ends_at = Some(self.avoidance_ends_at.map_or(until, |at| at.min(until)));
        }
    }

    /// Lets tasks return to workers that they avoided for long enough.
    pub(crate) fn end_avoidance(&mut self, now: u64) {
        if self.avoidance_ends_at.take_if(|at| *at <= now).is_some() {
            self.replan = true;
            self.avoidance_ends_at = self.next_avoid_expiry(now);
        }
    }

    /// Returns the earliest time at which a task may return to a worker that it avoids.
    fn next_avoid_expiry(&self, now: u64) -> Option<u64> {
        let entries = self.jobs.values().flat_map(|entry| entry.avoided_workers.values());
        entries.flat_map(|workers| workers.values().copied()).filter(|until| *until > now).min()
    }

    /// Returns the indexes of workers that the candidate avoids because its tasks failed there.
    /// Bounded, so that some workers stay open.
    pub(crate) fn avoided_indexes(
        &self,
        candidate: &Candidate,
        snapshot: &Snapshot,
        now: u64,
    ) -> Vec<usize> {
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        if entry.avoided_workers.is_empty() {
            return Vec::new();
        }
        let slots = candidate
            .tasks
            .iter()
            .map(|&index| entry.slot((candidate.occurrence, candidate.step, index)));
        let avoided = slots.filter_map(|slot| entry.avoided_workers.get(&slot)).flatten();
        let workers: BTreeSet<&Incarnation> =
            avoided.filter(|(_, until)| now < **until).map(|(worker, _)| worker).collect();
        let indexed = snapshot.workers.iter().enumerate();
        let avoided: Vec<usize> = indexed
            .filter(|(_, worker)| workers.contains(&worker.incarnation))
            .map(|(index, _)| index)
            .collect();
        limit_avoided(avoided, snapshot.workers.len())
    }
}
