use quincewheel_job::Step;

use crate::protection::Protection;
use crate::worker_state::{Preemptible, WorkerState};

/// Tasks of one step that want places.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The step.
    pub step: &'a Step,
    /// The pool that runs it.
    pub pool: &'a str,
    /// How many tasks.
    pub count: u32,
    /// They may wait for a rack of their own.
    pub waits_for_rack: bool,
    /// The firmest hold that gives way to them.
    pub preempts: Protection,
    /// They must have their room in time, whatever becomes of other work.
    pub ignores_ending: bool,
    /// How many tasks of the step each worker already has, in the order of the
    /// spots; empty if it has none anywhere.
    pub tasks_by_worker: &'a [u32],
}

impl Request<'_> {
    /// True if the worker may run the step at all.
    pub fn is_eligible(&self, worker: &WorkerState) -> bool {
        let label = &self.step.label;
        worker.pool == self.pool && (label.is_empty() || worker.labels.contains(label))
    }

    /// True if the work gives way to these tasks.
    pub fn may_preempt(&self, occupant: &Preemptible) -> bool {
        occupant.protection <= self.preempts && (self.ignores_ending || !occupant.ending)
    }

    /// How many tasks fit on the worker with this much room.
    pub fn max_tasks(&self, worker: usize, room: &quincewheel_job::Resources) -> u64 {
        let held = u64::from(self.tasks_by_worker.get(worker).copied().unwrap_or(0));
        let cap = match u64::from(self.step.per_worker) {
            0 => u64::from(self.count),
            most => most.saturating_sub(held).min(u64::from(self.count)),
        };
        self.step.resources().fit_count(room, cap)
    }
}
