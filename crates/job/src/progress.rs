use std::collections::{BTreeMap, BTreeSet};

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
    /// The runs of each unfinished task, or gang, just after whose start a worker crashed, until the
    /// task is cleared.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    crashed: Runs,
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

    /// Records that a worker crashed just after the start of a run, and returns the number of such
    /// runs of its task or gang since one of them survived its start.
    pub fn record_crash(&mut self, job: &Job, task: &Task, run: u64) -> u32 {
        count_run(&mut self.crashed, &counted_task(job, task), run)
    }

    /// The number of workers in a row that crashed just after a start of the task or its gang.
    pub fn crash_count(&self, job: &Job, task: &Task) -> u32 {
        if self.crashed.is_empty() {
            return 0;
        }
        let slot = counted_task(job, task);
        let steps = self.crashed.get(&slot.occurrence).and_then(|steps| steps.get(&slot.step));
        steps.and_then(|tasks| tasks.get(&slot.index)).map_or(0, |runs| runs.len() as u32)
    }

    /// Occurrence, step and index of the tasks, or of the first members of gangs, that are
    /// suspected of crashing workers.
    pub fn suspected_tasks(&self) -> impl Iterator<Item = (u32, u32, u32)> {
        self.crashed.iter().flat_map(|(&occurrence, steps)| {
            let tasks = |(&step, tasks): (&u32, &BTreeMap<u32, BTreeSet<u64>>)| {
                tasks.keys().map(move |&index| (occurrence, step, index)).collect::<Vec<_>>()
            };
            steps.iter().flat_map(tasks).collect::<Vec<_>>()
        })
    }

    /// True if any task of the job is suspected of crashing workers.
    pub fn has_suspects(&self) -> bool {
        !self.crashed.is_empty()
    }

    /// Clears a task or gang of suspicion after one of its runs survived its start.
    pub fn clear_crashes(&mut self, job: &Job, task: &Task) {
        let slot = counted_task(job, task);
        if let Some(steps) = self.crashed.get_mut(&slot.occurrence) {
            if let Some(tasks) = steps.get_mut(&slot.step) {
                tasks.remove(&slot.index);
            }
            steps.retain(|_, tasks| !tasks.is_empty());
        }
        self.crashed.retain(|_, steps| !steps.is_empty());
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
