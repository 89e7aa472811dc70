//! Steps of older jobs that no previous owner can have started, although not all agents have been
//! heard: they became ready through an end that no previous owner can have heard.
//!
//! Waiting for all agents holds back each older job for 6 to 14 s if one of them is silent, beside
//! idle workers.

use quincewheel_job::{Run, Task};

use crate::entry::{Entry, Key};
use crate::owner::Owner;
use crate::placement::Placement;
use crate::reports::task_key;
use crate::starts::RUNS_PER_EPOCH;

impl Owner {
    /// Returns whether a run that a worker lists as running is the only one that its task can have had.
    ///
    /// That a worker lists a run as running under this owner's epoch is not enough: an earlier run of the
    /// task may have been taken for over, have ended as done nevertheless, and have been heard of by a
    /// previous owner, which then started the next step at an agent that is silent now. So the run must
    /// have the first number of its epoch, and the job must have been accepted under that epoch.
    pub(crate) fn is_only_run(&self, run: &Run) -> bool {
        let Some(entry) = self.jobs.get(&run.task.job) else { return false };
        let epoch = run.number / RUNS_PER_EPOCH + 1;
        let claimed = self.earlier_claims.get(&epoch);
        let speculative = entry.step(task_key(&run.task)).is_none_or(|step| step.speculative);
        let first = run.number % RUNS_PER_EPOCH == 1;
        !speculative && first && claimed.is_some_and(|claimed| entry.version > *claimed)
    }

    /// Records that a run has ended as done, if no previous owner can know its task as done.
    ///
    /// It must be this run's end. A previous owner may hear from a worker that has been replaced since,
    /// start the task again, and with its end the next step.
    pub(crate) fn record_unheard_end(&mut self, task: &Task, run: &Placement) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let key = task_key(task);
        if run.unheard && !entry.progress.is_done(task) && entry.members_are_unheard(key, run) {
            entry.unheard_ends.insert(entry.slot(key));
        }
    }
}

impl Entry {
    /// Returns whether no previous owner can have heard of an end of another member of the gang. The
    /// first end of a member ends the whole gang.
    fn members_are_unheard(&self, (occurrence, number, index): Key, run: &Placement) -> bool {
        let Some(step) = self.step((occurrence, number, index)) else { return false };
        let is_unheard = |other: u32| {
            let placed = self.runs.get(&(occurrence, number, other));
            placed.is_some_and(|placed| placed.unheard && placed.run == run.run)
        };
        !step.gang || (0..step.count).filter(|other| *other != index).all(is_unheard)
    }

    /// Returns whether the step has waited for an end that no previous owner can have heard.
    pub(crate) fn follows_unheard_end(&self, (occurrence, number): (u32, u32)) -> bool {
        let Some(step) = self.job.steps.get(number as usize) else { return false };
        let ended_unheard = |before: &u32| {
            let all = (occurrence, *before, 0)..=(occurrence, *before, u32::MAX);
            self.unheard_ends.range(all).next().is_some()
        };
        step.after.iter().any(ended_unheard)
    }
}
