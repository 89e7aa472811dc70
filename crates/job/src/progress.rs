use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::job::{Job, MAX_TASKS};
use crate::layout::Layout;
use crate::run::Task;
use crate::slots::{Slot, Slots};
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

/// Numbers of runs, by task, or by gang.
type Runs = Slots<BTreeSet<u64>>;

/// Maximum number of runs of a task that are listed as failed. Earlier ones are counted, so that a
/// queue with many attempts takes no more space. An owner learns of a failure within seconds, in
/// which a task starts fewer times.
pub(crate) const MAX_LISTED_FAILURES: usize = 32;
/// Maximum number of runs of a task that are listed as likely causes of crashes, and as possible
/// ones. A task is given up after fewer.
pub(crate) const MAX_CRASHES: usize = 4;

/// The progress of a job, or a part of it, which must survive a change of owner.
///
/// A job of which the progress may outgrow a row of the table is recorded in parts, as its
/// [`Layout`] says, and only the parts that changed are written. [`Progress::merge`] joins them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The state of the job, as recorded with the first part.
    pub state: State,
    /// The number of this part; 0 for the first and for the whole.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub part: u32,
    /// The number of parts, recorded with the first once all others are; 0 if the job is recorded as
    /// by earlier versions, in one row.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub parts: u32,
    /// Tasks that are done, by occurrence and step.
    done: BTreeMap<u32, BTreeMap<u32, Vec<u32>>>,
    /// The same as ranges with their first and last index, in parts that are recorded.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    done_ranges: BTreeMap<u32, BTreeMap<u32, Vec<(u32, u32)>>>,
    /// The runs of each unfinished task that failed, or of the gang under index 0.
    failed: Runs,
    /// Failures that are not listed any more, by task.
    #[serde(default, skip_serializing_if = "Slots::is_empty")]
    earlier_failures: Slots<EarlierFailures>,
    /// The runs of each unfinished task, or gang, that probably crashed a worker, until the task is
    /// cleared.
    #[serde(default, skip_serializing_if = "Slots::is_empty")]
    crashed: Runs,
    /// Further runs that may have crashed a worker.
    #[serde(default, skip_serializing_if = "Slots::is_empty")]
    possibly_crashed: Runs,
    /// Runs that may be crashing a worker now. Recorded before that is known, as whoever learns of
    /// it may end before the crash is recorded.
    #[serde(default, skip_serializing_if = "Slots::is_empty")]
    unsettled: Runs,
    /// Slots that have changed since [`Progress::take_changed`].
    #[serde(skip)]
    changed: BTreeSet<Slot>,
}

/// Failures of a task of which the runs are not listed: how many, and the highest run number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct EarlierFailures(u32, u64);

fn is_zero(number: &u32) -> bool {
    *number == 0
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
        let slot = slot_of(job, task);
        self.changed.insert(slot);
        self.failed.remove(slot);
        self.earlier_failures.remove(slot);
        self.clear_crashes(job, task);
        self.end_if_done(job);
    }

    /// Sets the state if all tasks are done. Returns whether that changed it.
    ///
    /// The last tasks are recorded before the state if they are in other parts than the first, so a
    /// new owner may find all tasks done and the job still running.
    pub fn end_if_done(&mut self, job: &Job) -> bool {
        let mut occurrences = 0..job.occurrences();
        let ends = !self.state.is_final()
            && occurrences.all(|occurrence| self.is_occurrence_done(job, occurrence));
        if ends {
            self.state = State::Succeeded;
        }
        ends
    }

    /// Records that a run failed, and returns the number of failures of its task or gang.
    ///
    /// A worker reports an end until it is acknowledged as recorded. After a change of owner, or a
    /// restart of the agent, the same ends arrive again, from several workers in any order; they are
    /// identified by the number of the run. If one were counted twice, a job with attempts left
    /// could fail; if one were missed, a task could start once too often.
    pub fn record_failure(&mut self, job: &Job, task: &Task, run: u64) -> u32 {
        let slot = slot_of(job, task);
        if !self.has_failed(job, task, run) {
            self.changed.insert(slot);
            self.failed.entry(slot).insert(run);
            self.limit_failures(slot);
        }
        self.failures(slot)
    }

    /// Counts the earliest failures of a task where too many are listed.
    fn limit_failures(&mut self, slot: Slot) {
        let listed = self.failed.entry(slot);
        while listed.len() > MAX_LISTED_FAILURES
            && let Some(first) = listed.pop_first()
        {
            let earlier = self.earlier_failures.entry(slot);
            *earlier = EarlierFailures(earlier.0 + 1, earlier.1.max(first));
        }
    }

    /// The number of failures of the task with this occurrence, step and index; of a gang under
    /// index 0.
    pub fn failures(&self, slot: Slot) -> u32 {
        let listed = self.failed.get(slot).map_or(0, |runs| runs.len() as u32);
        listed + self.earlier_failures.get(slot).map_or(0, |earlier| earlier.0)
    }

    /// True if a run of the task or its gang is known to have failed.
    pub fn has_failed(&self, job: &Job, task: &Task, run: u64) -> bool {
        let slot = slot_of(job, task);
        let earlier = self.earlier_failures.get(slot).is_some_and(|earlier| run <= earlier.1);
        earlier || contains(&self.failed, slot, run)
    }

    /// True if any run of the job is known to have failed.
    pub fn has_failures(&self) -> bool {
        !self.failed.is_empty()
    }

    /// Records that a run may have crashed its worker; `likely` if it is the probable cause.
    /// Returns whether that was not known.
    pub fn record_crash(&mut self, job: &Job, task: &Task, run: u64, likely: bool) -> bool {
        let slot = slot_of(job, task);
        let known = contains(&self.crashed, slot, run)
            || (!likely && contains(&self.possibly_crashed, slot, run));
        if known {
            return false;
        }
        self.changed.insert(slot);
        remove_run(&mut self.unsettled, slot, run);
        remove_run(&mut self.possibly_crashed, slot, run);
        let runs = if likely { &mut self.crashed } else { &mut self.possibly_crashed };
        let runs = runs.entry(slot);
        runs.insert(run);
        if runs.len() > MAX_CRASHES {
            runs.pop_first();
        }
        true
    }

    /// Records that a run may be crashing its worker, until [`Progress::record_crash`] or
    /// [`Progress::withdraw`]. An earlier run of which neither became known counts as a possible
    /// crash. Returns whether anything changed.
    pub fn mark_unsettled(&mut self, job: &Job, task: &Task, run: u64) -> bool {
        let slot = slot_of(job, task);
        if [&self.crashed, &self.possibly_crashed, &self.unsettled]
            .iter()
            .any(|runs| contains(runs, slot, run))
        {
            return false;
        }
        let earlier = self.unsettled.get(slot).cloned().unwrap_or_default();
        for run in earlier {
            self.record_crash(job, task, run, false);
        }
        self.unsettled.entry(slot).insert(run);
        self.changed.insert(slot);
        true
    }

    /// Withdraws the mark of a run that has not crashed its worker. Returns whether there was one.
    pub fn withdraw(&mut self, job: &Job, task: &Task, run: u64) -> bool {
        let slot = slot_of(job, task);
        let marked = contains(&self.unsettled, slot, run);
        remove_run(&mut self.unsettled, slot, run);
        self.changed.extend(marked.then_some(slot));
        marked
    }

    /// The number of runs in a row of the task or its gang that may have crashed their workers.
    pub fn crash_count(&self, job: &Job, task: &Task) -> CrashCount {
        if !self.has_suspects() {
            return CrashCount::default();
        }
        let slot = slot_of(job, task);
        let count = |runs: &Runs| runs.get(slot).map_or(0, |runs| runs.len() as u32);
        let likely = count(&self.crashed);
        let total = likely + count(&self.possibly_crashed) + count(&self.unsettled);
        CrashCount { likely, total }
    }

    /// Occurrence, step and index of the tasks, or of the first members of gangs, that are
    /// suspected of crashing workers.
    pub fn suspected_tasks(&self) -> BTreeSet<Slot> {
        let all = self.crashed.iter().chain(self.possibly_crashed.iter());
        all.chain(self.unsettled.iter()).map(|(slot, _)| slot).collect()
    }

    /// True if any task of the job is suspected of crashing workers.
    pub fn has_suspects(&self) -> bool {
        !(self.crashed.is_empty() && self.possibly_crashed.is_empty() && self.unsettled.is_empty())
    }

    /// Clears a task or gang of suspicion after one of its runs survived its start.
    pub fn clear_crashes(&mut self, job: &Job, task: &Task) {
        let slot = slot_of(job, task);
        for runs in [&mut self.crashed, &mut self.possibly_crashed, &mut self.unsettled] {
            if runs.remove(slot).is_some() {
                self.changed.insert(slot);
            }
        }
    }

    /// Returns the slots that have changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Slot> {
        std::mem::take(&mut self.changed)
    }

    /// Returns whether slots have changed that were neither taken nor recorded.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Forgets that slots of a part have changed, which is being recorded.
    pub fn clear_changes(&mut self, layout: &Layout, part: u32) {
        self.changed.retain(|slot| layout.part_of(*slot) != part);
    }

    /// Returns a part as it is recorded.
    pub fn part(&self, layout: &Layout, part: u32) -> Progress {
        if layout.is_listed() {
            return Progress { part: 0, parts: 0, changed: BTreeSet::new(), ..self.clone() };
        }
        let mut done_ranges = BTreeMap::new();
        for (&occurrence, steps) in self.done.range(layout.occurrences(part)) {
            for (&step, tasks) in steps {
                let indexes = layout.indexes(part, occurrence, step);
                let first = tasks.partition_point(|&index| index < indexes.start);
                let end = tasks.partition_point(|&index| index < indexes.end);
                if first < end {
                    let steps: &mut BTreeMap<_, _> = done_ranges.entry(occurrence).or_default();
                    steps.insert(step, to_ranges(&tasks[first..end]));
                }
            }
        }
        Progress {
            state: self.state,
            part,
            parts: if part == 0 { layout.recorded_parts() } else { 0 },
            done: BTreeMap::new(),
            done_ranges,
            failed: self.failed.within(layout, part),
            earlier_failures: self.earlier_failures.within(layout, part),
            crashed: self.crashed.within(layout, part),
            possibly_crashed: self.possibly_crashed.within(layout, part),
            unsettled: self.unsettled.within(layout, part),
            changed: BTreeSet::new(),
        }
    }

    /// Returns the parts that hold anything.
    pub fn occupied_parts(&self, job: &Job, layout: &Layout) -> BTreeSet<u32> {
        let mut slots = self.suspected_tasks();
        slots.extend(self.failed.iter().map(|(slot, _)| slot));
        for (&occurrence, steps) in &self.done {
            for (&step, tasks) in steps {
                let gang = job.steps.get(step as usize).is_some_and(|step| step.gang);
                let first = tasks.iter().take(if gang { 1 } else { usize::MAX });
                slots.extend(first.map(|&index| (occurrence, step, index)));
            }
        }
        slots.into_iter().map(|slot| layout.part_of(slot)).collect()
    }

    /// Adds a recorded part. A task that is done in either is done; otherwise, what the part holds of
    /// a slot replaces what was known.
    pub fn merge(&mut self, part: Progress) {
        if part.part == 0 {
            self.state = part.state;
            self.parts = part.parts;
        }
        for (occurrence, steps) in part.done {
            for (step, tasks) in steps {
                self.add_done(occurrence, step, tasks);
            }
        }
        for (occurrence, steps) in part.done_ranges {
            for (step, ranges) in steps {
                let tasks = ranges.into_iter().flat_map(|(first, last)| first..=last);
                self.add_done(occurrence, step, tasks.take(MAX_TASKS as usize).collect());
            }
        }
        let failed: Vec<Slot> = part.failed.iter().map(|(slot, _)| slot).collect();
        self.failed.extend(part.failed);
        self.earlier_failures.extend(part.earlier_failures);
        failed.into_iter().for_each(|slot| self.limit_failures(slot));
        self.crashed.extend(part.crashed);
        self.possibly_crashed.extend(part.possibly_crashed);
        self.unsettled.extend(part.unsettled);
    }

    fn add_done(&mut self, occurrence: u32, step: u32, mut tasks: Vec<u32>) {
        let known = self.done.entry(occurrence).or_default().entry(step).or_default();
        known.append(&mut tasks);
        known.sort_unstable();
        known.dedup();
    }
}

/// The slot under which runs are counted: for a gang, that of its first member.
fn slot_of(job: &Job, task: &Task) -> Slot {
    let gang = job.steps.get(task.step as usize).is_some_and(|step| step.gang);
    (task.occurrence, task.step, if gang { 0 } else { task.index })
}

fn contains(runs: &Runs, slot: Slot, run: u64) -> bool {
    runs.get(slot).is_some_and(|runs| runs.contains(&run))
}

fn remove_run(runs: &mut Runs, slot: Slot, run: u64) {
    if contains(runs, slot, run) {
        let known = runs.entry(slot);
        known.remove(&run);
        if known.is_empty() {
            runs.remove(slot);
        }
    }
}

/// Returns sorted numbers as ranges with their first and last number.
fn to_ranges(numbers: &[u32]) -> Vec<(u32, u32)> {
    let adjacent = numbers.chunk_by(|earlier, later| earlier + 1 == *later);
    adjacent.filter_map(|chunk| Some((*chunk.first()?, *chunk.last()?))).collect()
}
