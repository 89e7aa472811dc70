use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Incarnation, Job, Layout, Progress, State, Step, Task};
use quincewheel_store::Limits;

use crate::checkpoints::Checkpoints;
use crate::clearance::Clearance;
use crate::owner::task;
use crate::placement::Placement;
use crate::refusals::Refusals;
use crate::reports::task_key;
use crate::settings::Settings;

/// Identifies a task of a job: the occurrence, the step, and the task's index in the step.
pub(crate) type Key = (u32, u32, u32);

/// The owner's state of an unfinished job.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The job as its client submitted it.
    pub job: Job,
    /// Version of the table at which the job was accepted; jobs are ordered by it.
    pub version: u64,
    /// Which tasks are done, and the job's state, as recorded or about to be.
    pub progress: Progress,
    /// How the progress and the checkpoints are divided among rows.
    pub layout: Layout,
    /// Parts of the progress to be recorded.
    pub unrecorded: BTreeSet<u32>,
    /// The state that was last recorded; none if that is not known.
    pub recorded_state: Option<State>,
    /// Runs that may exist, by task.
    pub runs: BTreeMap<Key, Placement>,
    /// Tasks that are done, as no previous owner can have heard. A gang has one, at index 0.
    pub unheard_ends: BTreeSet<Key>,
    /// When a run was last taken for over at an agent without a connection; 0 for never. Nothing of
    /// the job starts before the table has confirmed the ownership since.
    pub assumed_over_at: u64,
    /// When the job was accepted, by the owner's clock; by that of the accepting entry until the
    /// owner's next tick.
    pub accepted_at: u64,
    /// When each occurrence was due that has been, by the owner's clock, in their order. Empty
    /// without a schedule.
    pub due_at: Vec<u64>,
    /// When the next occurrence was last found not to be due, by the owner's clock.
    not_due_at: Option<u64>,
    /// When a round of planning first found the job without runs after its last run ended; none if
    /// no round has since. Starts that were refused are no runs.
    pub vacant_since: Option<u64>,
    /// When its last run was removed, or when this owner learned of the job.
    pub vacated_at: u64,
    /// When the last run of each perpetual task was removed, or since when it had waited for its first
    /// start.
    pub lasting_vacated_at: BTreeMap<Key, u64>,
    /// The newest checkpoint of each task. A gang has one, at index 0.
    pub checkpoints: BTreeMap<Key, String>,
    /// Parts of the checkpoints that have changed since they were last recorded.
    pub unrecorded_checkpoints: BTreeSet<u32>,
    /// When the checkpoints were last recorded.
    pub checkpoints_recorded_at: u64,
    /// The last run number used for each task. A gang has one, at index 0.
    pub run_numbers: BTreeMap<Key, u64>,
    /// Run time in milliseconds of each step's slowest task so far, by step. Only runs that
    /// did not resume from a checkpoint count.
    pub step_durations: BTreeMap<u32, u64>,
    /// Incarnations of workers at which a task has failed, and until when it must not return
    /// there. A gang has one set, at index 0.
    pub avoided_workers: BTreeMap<Key, BTreeMap<Incarnation, u64>>,
    /// Workers that each step is cleared for, by occurrence and step, on queues that need it.
    pub clearances: BTreeMap<(u32, u32), Clearance>,
    /// Starts in a row that workers refused for a cause that lies in the step, by occurrence and step.
    pub refused_starts: BTreeMap<(u32, u32), Refusals>,
    /// Whether all tasks of the first step have begun, which fulfils the time bound of a
    /// guarantee.
    pub has_begun: bool,
    /// Whether guaranteed capacity was taken from this job because no other work could make
    /// room for another guarantee in time.
    pub guarantee_preempted: bool,
    /// Capacity that is being freed for steps, by occurrence and step.
    pub reservations: BTreeMap<(u32, u32), Reservation>,
    /// The last run of each task whose worker kept running after it had started it. Neither this
    /// run nor an earlier one is suspected of crashing workers. A gang is listed at index 0.
    pub survived_start: BTreeMap<Key, u64>,
    /// Suspected tasks that were lost in a crash together with a task that has since crashed
    /// a worker on its own. A gang is listed at index 0.
    pub exonerated: BTreeSet<Key>,
    /// Whether a crash that one of the tasks may have caused is not recorded yet. Until then none
    /// of the job's tasks starts: a new owner would not learn of the crash, and could start the
    /// task again and again.
    pub crash_unrecorded: bool,
}

/// Workers whose capacity is reserved for a step while other work there is being stopped.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// The agent chosen for each task.
    pub agents: Vec<String>,
    /// When the capacity was reserved.
    pub made_at: u64,
    /// Index of the first task that it is for.
    pub task: u32,
}

/// A row of a job takes no more than this share of a transaction, so that one always fits.
const MAX_ROWS_PER_COMMIT: usize = 4;

impl Entry {
    /// Creates the state of a job that was accepted at `version`, with its recorded progress.
    pub fn new(job: Job, version: u64, recorded: Option<Progress>, limits: &Limits) -> Entry {
        let row_bytes = limits.row_bytes.min(limits.commit_bytes / MAX_ROWS_PER_COMMIT);
        let layout = Layout::of(&job, row_bytes);
        let recorded_state = recorded.as_ref().map(|progress| progress.state);
        let mut progress = Progress::default();
        recorded.into_iter().for_each(|recorded| progress.merge(recorded));
        let unrecorded = match recorded_state {
            Some(_) if progress.parts != layout.recorded_parts() => {
                let recorded = 0..progress.parts.max(1);
                recorded.chain(progress.occupied_parts(&job, &layout)).collect()
            }
            _ => BTreeSet::new(),
        };
        progress.end_if_done(&job);
        let accepted_at = job.accepted;
        Entry {
            job,
            version,
            progress,
            layout,
            unrecorded,
            recorded_state,
            runs: BTreeMap::new(),
            unheard_ends: BTreeSet::new(),
            assumed_over_at: 0,
            accepted_at,
            due_at: Vec::new(),
            not_due_at: None,
            vacant_since: None,
            vacated_at: 0,
            lasting_vacated_at: BTreeMap::new(),
            checkpoints: BTreeMap::new(),
            unrecorded_checkpoints: BTreeSet::new(),
            checkpoints_recorded_at: 0,
            run_numbers: BTreeMap::new(),
            step_durations: BTreeMap::new(),
            avoided_workers: BTreeMap::new(),
            clearances: BTreeMap::new(),
            refused_starts: BTreeMap::new(),
            has_begun: false,
            guarantee_preempted: false,
            reservations: BTreeMap::new(),
            survived_start: BTreeMap::new(),
            exonerated: BTreeSet::new(),
            crash_unrecorded: false,
        }
    }

    /// Stores a task's checkpoint as reported by a worker. An empty one means there is none.
    pub fn update_checkpoint(&mut self, slot: Key, checkpoint: &str) {
        if !checkpoint.is_empty() {
            if self.checkpoints.get(&slot).is_none_or(|known| known != checkpoint) {
                self.unrecorded_checkpoints.insert(self.layout.part_of(slot));
            }
            self.checkpoints.insert(slot, checkpoint.to_owned());
        }
    }

    /// Returns the checkpoints of a part to record: those of tasks that are not done, as many as a
    /// row of `row_bytes` takes.
    pub fn open_checkpoints(&self, id: &str, part: u32, row_bytes: usize) -> Checkpoints {
        let in_part = self.checkpoints.iter().filter(|(key, _)| self.layout.part_of(**key) == part);
        let open = in_part.filter(|(key, _)| !self.progress.is_done(&task(id, **key)));
        Checkpoints::new(part, open, row_bytes)
    }

    /// Adds the parts of the progress that have changed to those to be recorded; the first if none
    /// has.
    pub fn collect_unrecorded(&mut self) {
        let changed = self.progress.take_changed();
        self.unrecorded.extend(changed.into_iter().map(|slot| self.layout.part_of(slot)));
        if self.unrecorded.is_empty() || self.recorded_state != Some(self.progress.state) {
            self.unrecorded.insert(0);
        }
    }

    /// Removes a part, which is being recorded as it is now, from those to be recorded.
    pub fn set_recorded(&mut self, part: u32) {
        self.unrecorded.remove(&part);
        self.progress.clear_changes(&self.layout, part);
        if part == 0 {
            self.recorded_state = Some(self.progress.state);
        }
    }

    /// Returns whether all of the progress is recorded, or is being recorded.
    pub fn is_recorded(&self) -> bool {
        self.unrecorded.is_empty()
            && !self.progress.has_changes()
            && self.recorded_state == Some(self.progress.state)
    }

    /// Returns the number of a task's next run, above `base`; the present one unless it `is_numbered`.
    pub fn next_run(&mut self, key: Key, base: u64, is_numbered: bool) -> u64 {
        let slot = self.slot(key);
        let number = self.run_numbers.entry(slot).or_insert(base);
        *number = (*number).max(base) + u64::from(is_numbered);
        *number
    }

    /// Returns the key under which a task's run numbers, checkpoint and failures are stored. All
    /// members of a gang share the one with index 0.
    pub fn slot(&self, (occurrence, step, index): Key) -> Key {
        let gang = self.job.steps.get(step as usize).is_some_and(|step| step.gang);
        (occurrence, step, if gang { 0 } else { index })
    }

    /// Returns the ticket that clears a task's step for a worker, if there is a valid one.
    pub fn ticket(&self, key: Key, worker: &Incarnation, now: u64) -> Option<&str> {
        self.clearances.get(&(key.0, key.1))?.ticket(worker, now)
    }

    /// Converts when the job was accepted, at most `max_age` ago, to the owner's clock, which shows
    /// `wall`. The clock of the entry that accepted it may differ by any amount.
    pub fn set_accepted(&mut self, max_age: u64, time_of_day: u64, wall: u64) {
        let age = time_of_day.saturating_sub(self.job.accepted).min(max_age);
        self.accepted_at = wall.saturating_sub(age);
    }

    /// Marks the occurrences that are due at this time of day, and returns when the next one is. One
    /// that has been due stays so if the time of day is set back: its tasks may be in the middle of
    /// their attempts. `wall` is the time by the owner's clock.
    pub fn update_due(&mut self, time_of_day: u64, wall: u64) -> Option<u64> {
        let schedule = self.job.schedule?;
        let rest = self.due_occurrences()..schedule.times;
        let max_age = self.not_due_at.map_or(u64::MAX, |at| wall.saturating_sub(at));
        for due in rest.map(|occurrence| schedule.due(occurrence)) {
            if due > time_of_day {
                self.not_due_at = Some(wall);
                return Some(due);
            }
            let age = (time_of_day - due).min(max_age);
            self.due_at.push(wall.saturating_sub(age));
        }
        None
    }

    /// Returns the number of occurrences that are due or have been; 1 without a schedule.
    pub fn due_occurrences(&self) -> u32 {
        self.job.schedule.map_or(1, |_| self.due_at.len() as u32)
    }

    /// Returns when an occurrence was accepted or due, by the owner's clock.
    pub fn begins_at(&self, occurrence: u32) -> u64 {
        self.due_at.get(occurrence as usize).copied().unwrap_or(self.accepted_at)
    }

    /// Returns the step of a task.
    pub fn step(&self, key: Key) -> Option<&Step> {
        self.job.steps.get(key.1 as usize)
    }

    /// Returns when any run in the same unit last made progress.
    pub fn unit_progressed_at(&self, placed: &Placement) -> u64 {
        let unit = self.runs.values().filter(|other| other.unit == placed.unit);
        unit.map(|other| other.progressed_at).max().unwrap_or(placed.progressed_at)
    }

    /// Returns whether all runs in the same unit will end about as soon as a stop would take
    /// effect. A gang ends only with its slowest member, so one of them is not enough.
    pub fn unit_ends_soon(&self, placed: &Placement, settings: &Settings, now: u64) -> bool {
        placed.ends_soon(settings, now)
            && self
                .runs
                .values()
                .filter(|other| other.unit == placed.unit)
                .all(|other| other.ends_soon(settings, now))
    }

    /// Returns whether one of `among` runs may have crashed its worker.
    pub fn may_have_crashed(&self, task: &Task, run: u64, among: usize) -> bool {
        // A finished task never starts again, so it could never be cleared, and others would
        // wait for it forever.
        if self.progress.state.is_final() || self.progress.is_done(task) {
            return false;
        }
        // A task that has survived a start is not the cause. But a delayed list may have shown
        // it alive after the crash, so it still counts if it was the only one.
        let survived = self.survived_start.get(&self.slot(task_key(task)));
        survived.is_none_or(|survived| among == 1 && run >= *survived)
    }

    /// Returns how many workers in a row may have crashed because they had started the task.
    pub fn consecutive_crashes(&self, id: &str, key: Key) -> u32 {
        if self.progress.has_suspects() {
            self.progress.crash_count(&self.job, &task(id, key)).total
        } else {
            0
        }
    }

    /// Returns whether the run of a task has survived its start, and those of all members if
    /// it is in a gang. Some members alone prove nothing: a gang does no work before it is
    /// complete, and a missing member may have crashed its worker.
    pub fn gang_survived_start(&self, key: Key) -> bool {
        let Some(step) = self.step(key).filter(|step| step.gang) else {
            return self.runs.get(&key).is_some_and(|placed| placed.survived_start);
        };
        let all = (key.0, key.1, 0)..=(key.0, key.1, u32::MAX);
        let survived = self.runs.range(all).filter(|(_, placed)| placed.survived_start);
        survived.count() == step.count as usize
    }

    /// Sets [`Entry::has_begun`] once all tasks of the first step run or are done.
    pub fn update_has_begun(&mut self, id: &str) {
        let Some(step) = self.job.steps.first().filter(|_| !self.has_begun) else { return };
        let begun = |index: u32| {
            let key = (0, 0, index);
            let confirmed = self.runs.get(&key).is_some_and(|placed| placed.confirmed_at.is_some());
            confirmed || self.progress.is_done(&task(id, key))
        };
        self.has_begun = (0..step.count).all(begun);
    }

    /// Removes a run that no longer exists.
    pub fn remove_run(&mut self, key: &Key, now: u64) -> Option<Placement> {
        let run = self.runs.remove(key)?;
        self.vacated_at = now;
        self.vacant_since = None;
        if self.step(*key).is_some_and(|step| step.perpetual) {
            self.lasting_vacated_at.insert(*key, now);
        }
        Some(run)
    }

    /// Removes a run whose start was refused.
    pub fn remove_refused(&mut self, key: &Key, now: u64) {
        let vacant_since = self.vacant_since;
        let lasting_vacated_at = self.lasting_vacated_at.get(key).copied();
        self.remove_run(key, now);
        self.vacant_since = vacant_since;
        if let Some(at) = lasting_vacated_at {
            self.lasting_vacated_at.insert(*key, at);
        }
    }

    /// Returns since when the job has had no runs; none if it has any.
    pub fn idle_since(&self) -> Option<u64> {
        self.vacant_since.filter(|_| self.runs.is_empty())
    }

    /// Records that a worker has accepted a start: what held the step's starts up is over.
    pub fn record_accepted_start(&mut self, (occurrence, step, _): Key) {
        self.refused_starts.remove(&(occurrence, step));
        if let Some(clearance) = self.clearances.get_mut(&(occurrence, step)) {
            clearance.record_start();
        }
    }

    /// Returns whether a step is not started for a while since its starts were refused.
    pub fn is_step_refused(&self, at: (u32, u32), now: u64) -> bool {
        self.refused_starts.get(&at).is_some_and(|refusals| now < refusals.until)
    }

    /// Returns whether any run of the step may exist.
    pub fn has_runs(&self, occurrence: u32, step: u32) -> bool {
        let all = (occurrence, step, 0)..=(occurrence, step, u32::MAX);
        self.runs.range(all).next().is_some()
    }
}
