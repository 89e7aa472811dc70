use quincewheel_job::Step;

use crate::protection::Protection;
use crate::worker_state::{Preemptible, WorkerState};

/// Tasks of one step to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The step.
    pub step: &'a Step,
    /// The pool that runs it.
    pub pool: &'a str,
    /// The number of tasks.
    pub count: u32,
    /// A gang that needs one rack waits for it instead of being spread.
    pub waits_for_rack: bool,
    /// The highest protection of work that may be preempted for the tasks.
    pub preempts: Protection,
    /// Runs that are about to end count as running, for tasks that must start in time.
    pub ignores_ending: bool,
    /// The number of tasks of the step that each worker already has, by index; empty if there are
    /// none.
    pub tasks_by_worker: &'a [u32],
}

impl Request<'_> {
    /// True if the worker belongs to the pool and has the step's label.
    pub fn is_eligible(&self, worker: &WorkerState) -> bool {
        let label = &self.step.label;
        worker.pool == self.pool && (label.is_empty() || worker.labels.contains(label))
    }

    /// True if the work may be preempted for the tasks.
    pub fn may_preempt(&self, occupant: &Preemptible) -> bool {
        occupant.protection <= self.preempts && (self.ignores_ending || !occupant.ending)
    }

    /// The number of tasks that fit in `room` on the worker with this index.
    pub fn max_tasks(&self, worker: usize, room: &quincewheel_job::Resources) -> u64 {
        let existing = u64::from(self.tasks_by_worker.get(worker).copied().unwrap_or(0));
        let cap = match u64::from(self.step.per_worker) {
            0 => u64::from(self.count),
            most => most.saturating_sub(existing).min(u64::from(self.count)),
        };
        self.step.resources().fit_count(room, cap)
    }
}
