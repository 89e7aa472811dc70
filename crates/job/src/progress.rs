use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::job::Job;
use crate::run::Task;
use crate::step::Step;

/// The state of a job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Succeeded,
    /// A task or gang failed too often, or crashed too many workers.
    Failed,
    /// The client cancelled it.
    Cancelled,
}

impl State {
    /// True if no more tasks will run.
    pub fn is_final(self) -> bool {
        matches!(self, State::Succeeded | State::Failed | State::Cancelled)
    }
}

/// Numbers of runs, by occurrence, step and task, or by gang under index 0.
type Runs = BTreeMap<u32, BTreeMap<u32, BTreeMap<u32, BTreeSet<u64>>>>;

/// The progress of a job, which must survive a change of owner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The state of the job.
    pub state: State,
    /// Tasks that are done, by occurrence and step.
    done: BTreeMap<u32, BTreeMap<u32, Vec<u32>>>,
    /// The runs of each unfinished task that failed, or of the gang under index 0.
    failed: Runs,
    /// The runs of each unfinished task, or gang, that probably crashed a worker, until the task is
    /// cleared.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    crashed: Runs,
    /// Further runs that may have crashed a worker.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    possibly_crashed: Runs,
    /// Runs that may be crashing a worker now. Recorded before that is known, as whoever learns of
    /// it may end before the crash is recorded.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    unsettled: Runs,
}

/// How many runs of a task in a row may have crashed the workers that started them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CrashCount {
    /// Runs that are the probable cause.
    pub likely: u32,
    /// All runs that may be the cause.
    pub total: u32,
}

impl fmt::Display for CrashCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} likely, {} in all", self.likely, self.total)
    }
}

impl Progress {
    /// True if the task is done.
    pub fn is_done(&self, task: &Task) -> bool {
        let tasks = self.done.get(&task.occurrence).and_then(|steps| steps.get(&task.step));
        tasks.is_some_and(|tasks| tasks.binary_search(&task.index).is_ok())
    }

    /// True if all tasks of a step are done.
    pub fn is_step_done(&self, occurrence: u32, number: u32, step: &Step) -> bool {
        let tasks = self.done.get(&occurrence).and_then(|steps| steps.get(&number));
        tasks.map_or(0, Vec::len) >= step.count as usize
    }

    /// True if all steps that `step` waits for are done.
    pub fn is_step_ready(&self, job: &Job, occurrence: u32, step: &Step) -> bool {
        step.after.iter().all(|&before| {
            let Some(earlier) = job.steps.get(before as usize) else { return true };
            self.is_step_done(occurrence, before, earlier)
        })
    }

    /// True if all steps of an occurrence are done.
    pub fn is_occurrence_done(&self, job: &Job, occurrence: u32) -> bool {
        let mut steps = (0u32..).zip(&job.steps);
        steps.all(|(number, step)| self.is_step_done(occurrence, number, step))
    }

    /// Marks a task as done, or its whole gang, since the members of a gang end together.
    pub fn mark_done(&mut self, job: &Job, task: &Task) {
        let Some(step) = job.steps.get(task.step as usize) else { return };
        let tasks = self.done.entry(task.occurrence).or_default().entry(task.step).or_default();
        if step.gang {
            *tasks = (0..step.count).collect();
        } else if let Err(place) = tasks.binary_search(&task.index) {
            tasks.insert(place, task.index);
        }
        self.clear_crashes(job, task);
        if (0..job.occurrences()).all(|occurrence| self.is_occurrence_done(job, occurrence)) {
            self.state = State::Succeeded;
        }
    }

    /// Records that a run failed, and returns the number of failures of its task or gang.
    ///
    /// A worker reports an end until it is acknowledged as recorded. After a change of owner, or a
    /// restart of the agent, the same ends arrive again, from several workers in any order; they are
    /// identified by the number of the run. If one were counted twice, a job with attempts left
    /// could fail; if one were missed, a task could start once too often.
    pub fn record_failure(&mut self, job: &Job, task: &Task, run: u64) -> u32 {
        count_run(&mut self.failed, &counted_task(job, task), run)
    }

    /// The number of failures of the task with this occurrence, step and index; of a gang under
    /// index 0.
    pub fn failures(&self, (occurrence, step, index): (u32, u32, u32)) -> u32 {
        let steps = self.failed.get(&occurrence);
        let runs = steps.and_then(|steps| steps.get(&step)?.get(&index));
        runs.map_or(0, |runs| runs.len() as u32)
    }

    /// True if a run of the task or its gang is known to have failed.
    pub fn has_failed(&self, job: &Job, task: &Task, run: u64) -> bool {
        contains(&self.failed, &counted_task(job, task), run)
    }

    /// True if any run of the job is known to have failed.
    pub fn has_failures(&self) -> bool {
        !self.failed.is_empty()
    }

    /// Records that a run may have crashed its worker; `likely` if it is the probable cause.
    /// Returns whether that was not known.
    pub fn record_crash(&mut self, job: &Job, task: &Task, run: u64, likely: bool) -> bool {
        let slot = counted_task(job, task);
        let known = contains(&self.crashed, &slot, run)
            || (!likely && contains(&self.possibly_crashed, &slot, run));
        if known {
            return false;
        }
        remove_run(&mut self.unsettled, &slot, run);
        remove_run(&mut self.possibly_crashed, &slot, run);
        let runs = if likely { &mut self.crashed } else { &mut self.possibly_crashed };
        count_run(runs, &slot, run);
        true
    }

    /// Records that a run may be crashing its worker, until [`Progress::record_crash`] or
    /// [`Progress::withdraw`]. An earlier run of which neither became known counts as a possible
    /// crash. Returns whether anything changed.
    pub fn mark_unsettled(&mut self, job: &Job, task: &Task, run: u64) -> bool {
        let slot = counted_task(job, task);
        if [&self.crashed, &self.possibly_crashed, &self.unsettled]
            .iter()
            .any(|runs| contains(runs, &slot, run))
        {
            return false;
        }
        let earlier = runs_of(&self.unsettled, &slot).cloned().unwrap_or_default();
        for run in earlier {
            self.record_crash(job, task, run, false);
        }
        count_run(&mut self.unsettled, &slot, run);
        true
    }

    /// Withdraws the mark of a run that has not crashed its worker. Returns whether there was one.
    pub fn withdraw(&mut self, job: &Job, task: &Task, run: u64) -> bool {
        let slot = counted_task(job, task);
        let marked = contains(&self.unsettled, &slot, run);
        remove_run(&mut self.unsettled, &slot, run);
        marked
    }

    /// The number of runs in a row of the task or its gang that may have crashed their workers.
    pub fn crash_count(&self, job: &Job, task: &Task) -> CrashCount {
        if !self.has_suspects() {
            return CrashCount::default();
        }
        let slot = counted_task(job, task);
        let count = |runs: &Runs| runs_of(runs, &slot).map_or(0, |runs| runs.len() as u32);
        let likely = count(&self.crashed);
        let total = likely + count(&self.possibly_crashed) + count(&self.unsettled);
        CrashCount { likely, total }
    }

    /// Occurrence, step and index of the tasks, or of the first members of gangs, that are
    /// suspected of crashing workers.
    pub fn suspected_tasks(&self) -> BTreeSet<(u32, u32, u32)> {
        let mut suspects = BTreeSet::new();
        let all = self.crashed.iter().chain(&self.possibly_crashed).chain(&self.unsettled);
        for (&occurrence, steps) in all {
            for (&step, tasks) in steps {
                suspects.extend(tasks.keys().map(|&index| (occurrence, step, index)));
            }
        }
        suspects
    }

    /// True if any task of the job is suspected of crashing workers.
    pub fn has_suspects(&self) -> bool {
        !(self.crashed.is_empty() && self.possibly_crashed.is_empty() && self.unsettled.is_empty())
    }

    /// Clears a task or gang of suspicion after one of its runs survived its start.
    pub fn clear_crashes(&mut self, job: &Job, task: &Task) {
        let slot = counted_task(job, task);
        remove_task(&mut self.crashed, &slot);
        remove_task(&mut self.possibly_crashed, &slot);
        remove_task(&mut self.unsettled, &slot);
    }
}

/// The task under which runs are counted: for a gang, its first member.
fn counted_task(job: &Job, task: &Task) -> Task {
    let gang = job.steps.get(task.step as usize).is_some_and(|step| step.gang);
    Task { index: if gang { 0 } else { task.index }, ..task.clone() }
}

fn count_run(runs: &mut Runs, slot: &Task, run: u64) -> u32 {
    let steps = runs.entry(slot.occurrence).or_default();
    let runs = steps.entry(slot.step).or_default().entry(slot.index).or_default();
    runs.insert(run);
    runs.len() as u32
}

fn runs_of<'a>(runs: &'a Runs, slot: &Task) -> Option<&'a BTreeSet<u64>> {
    runs.get(&slot.occurrence)?.get(&slot.step)?.get(&slot.index)
}

fn contains(runs: &Runs, slot: &Task, run: u64) -> bool {
    runs_of(runs, slot).is_some_and(|runs| runs.contains(&run))
}

fn remove_run(runs: &mut Runs, slot: &Task, run: u64) {
    let steps = runs.get_mut(&slot.occurrence).and_then(|steps| steps.get_mut(&slot.step));
    let Some(known) = steps.and_then(|tasks| tasks.get_mut(&slot.index)) else { return };
    known.remove(&run);
    if known.is_empty() {
        remove_task(runs, slot);
    }
}

fn remove_task(runs: &mut Runs, slot: &Task) {
    if let Some(steps) = runs.get_mut(&slot.occurrence) {
        if let Some(tasks) = steps.get_mut(&slot.step) {
            tasks.remove(&slot.index);
        }
        steps.retain(|_, tasks| !tasks.is_empty());
    }
    runs.retain(|_, steps| !steps.is_empty());
}
