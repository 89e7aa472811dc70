use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Id, Incarnation, Job, Progress, Step};

use crate::checkpoints::Checkpoints;
use crate::clearance::Clearance;
use crate::owner::task;
use crate::settings::Settings;

/// An occurrence, a step and a task's index in it.
pub(crate) type Key = (u32, u32, u32);

/// An unfinished job.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The job.
    pub job: Job,
    /// Orders jobs by when they were accepted.
    pub version: u64,
    /// How far it is.
    pub progress: Progress,
    /// Runs that may exist, by task.
    pub runs: BTreeMap<Key, Placement>,
    /// Since when nothing of it has run; none while something does.
    pub idle_since: Option<u64>,
    /// The newest checkpoint of each task, or of a gang under index 0.
    pub saved: BTreeMap<Key, String>,
    /// There are checkpoints newer than their record.
    pub checkpoints_dirty: bool,
    /// When the checkpoints were last recorded.
    pub checkpoints_recorded_at: u64,
    /// The last number given to a run of each task, or of a gang under index 0.
    pub run_numbers: BTreeMap<Key, u64>,
    /// How long the longest task of each step took that ran without a break.
    pub step_durations: BTreeMap<u32, u64>,
    /// Incarnations of workers at which a task, or a gang under index 0, has failed, and
    /// until when it does not return there.
    pub avoided_workers: BTreeMap<Key, BTreeMap<Incarnation, u64>>,
    /// Where steps are cleared to run, on queues that need it.
    pub clearances: BTreeMap<(u32, u32), Clearance>,
    /// All tasks of its first step have begun: what a guarantee promises in time is kept.
    pub has_begun: bool,
    /// Room that was guaranteed to it was taken for a guarantee that nothing else could keep.
    pub guarantee_preempted: bool,
    /// Room that is being made for a step.
    pub reservations: BTreeMap<(u32, u32), Reservation>,
    /// Tasks, or gangs under index 0, that have outlived a start.
    pub survived_start: BTreeSet<Key>,
    /// Suspects, or their gangs under index 0, that were lost beside a task that has since
    /// crashed a worker by itself.
    pub exonerated: BTreeSet<Key>,
    /// A crash under one of its tasks is not recorded yet: none of it starts, or a change of
    /// owner could forget the crash, and the task be started without end.
    pub crash_unrecorded: bool,
}

/// A run that may exist.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    /// The agent of its worker.
    pub agent: String,
    /// Which incarnation of the worker.
    pub worker: Incarnation,
    /// Numbers the task's starts.
    pub run: u64,
    /// What the owner knows of it.
    pub phase: Phase,
    /// Since when it has been in this phase, or listed by the worker.
    pub updated_at: u64,
    /// When it was started.
    pub started_at: u64,
    /// When its worker was first known to have it.
    pub confirmed_at: Option<u64>,
    /// Names the unit that stops as a whole.
    pub unit: u64,
    /// How far it is, 0 to 100.
    pub percent: u32,
    /// When it last got further.
    pub progressed_at: u64,
    /// The share of its speed at which it was told to work, in percent.
    pub pace: u32,
    /// It began anew, here: neither from a checkpoint nor under a former owner.
    pub from_scratch: bool,
    /// When the worker first listed it, by the agent's clock.
    pub first_listed_at: Option<u64>,
    /// Its worker has outlived its start.
    pub survived_start: bool,
    /// The job that it gives way to.
    pub preempted_by: Option<Id>,
}

impl Placement {
    /// How long its start took to be confirmed and how long it ran from there, for the
    /// log, and whom it gave way to; nothing if it never was.
    pub fn timing_detail(&self, now: u64) -> String {
        let Some(confirmed) = self.confirmed_at else { return String::new() };
        let (start, ran) = (confirmed - self.started_at, now - confirmed);
        let to = self.preempted_by.as_ref().map(|id| format!(", for {id}")).unwrap_or_default();
        format!(", started after {start} ms, ran {ran} ms{to}")
    }

    /// True if, going by its progress, it ends by itself about as soon as a
    /// stop would take: stopping it then only throws its work away.
    pub fn ends_soon(&self, settings: &Settings, now: u64) -> bool {
        if !self.from_scratch || self.phase != Phase::Running || self.percent < EVEN {
            return false;
        }
        let ran = self.updated_at.saturating_sub(self.started_at);
        let left = ran * u64::from(100 - self.percent.min(100)) / u64::from(self.percent);
        self.updated_at + left <= now + settings.stop_timeout + settings.completion_grace
    }
}

/// Progress from which on the rest of a run can be reckoned, in percent.
const EVEN: u32 = 70;

/// What the owner knows of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// It was ordered.
    Starting,
    /// It was confirmed or listed.
    Running,
    /// Its stop was ordered.
    Stopping,
}

/// Room that is being made for a step.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// An agent for each task.
    pub agents: Vec<String>,
    /// When it was made.
    pub made_at: u64,
}

impl Entry {
    /// Takes a checkpoint in; empty if there is none.
    pub fn update_checkpoint(&mut self, slot: Key, checkpoint: &str) {
        if !checkpoint.is_empty() {
            self.checkpoints_dirty |= self.saved.get(&slot).is_none_or(|known| known != checkpoint);
            self.saved.insert(slot, checkpoint.to_owned());
        }
    }

    /// The checkpoints that are worth a record: those of tasks not yet done.
    pub fn open_checkpoints(&self, id: &str) -> Checkpoints {
        let open = self.saved.iter().filter(|(key, _)| !self.progress.is_done(&task(id, **key)));
        Checkpoints::new(open)
    }

    /// The key under which a task's numbers, checkpoint and failures are kept.
    pub fn slot(&self, (occurrence, step, index): Key) -> Key {
        let gang = self.job.steps.get(step as usize).is_some_and(|step| step.gang);
        (occurrence, step, if gang { 0 } else { index })
    }

    /// What clears a task for a worker, if it is cleared.
    pub fn ticket(&self, key: Key, worker: &Incarnation, now: u64) -> Option<&str> {
        self.clearances.get(&(key.0, key.1))?.ticket(worker, now)
    }

    /// The step of a task.
    pub fn step(&self, key: Key) -> Option<&Step> {
        self.job.steps.get(key.1 as usize)
    }

    /// When any run that stops together with this one last got further.
    pub fn unit_progressed_at(&self, placed: &Placement) -> u64 {
        let unit = self.runs.values().filter(|other| other.unit == placed.unit);
        unit.map(|other| other.progressed_at).max().unwrap_or(placed.progressed_at)
    }

    /// True if all runs that stop together with this one end by themselves about
    /// as soon as a stop would take. A member of a gang that is through waits
    /// for the others.
    pub fn unit_ends_soon(&self, placed: &Placement, settings: &Settings, now: u64) -> bool {
        placed.ends_soon(settings, now)
            && self
                .runs
                .values()
                .filter(|other| other.unit == placed.unit)
                .all(|other| other.ends_soon(settings, now))
    }

    /// How many workers in a row crashed just after starts of a task.
    pub fn consecutive_crashes(&self, id: &str, key: Key) -> u32 {
        if self.progress.has_suspects() {
            self.progress.crash_count(&self.job, &task(id, key))
        } else {
            0
        }
    }

    /// True if the run of a task, or of all members of its gang, has outlived its start.
    /// Members that wait for another prove nothing: the gang has not begun to work, and the
    /// one that is missing may have crashed its worker.
    pub fn gang_survived_start(&self, key: Key) -> bool {
        let Some(step) = self.step(key).filter(|step| step.gang) else {
            return self.runs.get(&key).is_some_and(|placed| placed.survived_start);
        };
        let all = (key.0, key.1, 0)..=(key.0, key.1, u32::MAX);
        let outlived = self.runs.range(all).filter(|(_, placed)| placed.survived_start);
        outlived.count() == step.count as usize
    }

    /// Takes note of whether all tasks of its first step have begun.
    pub fn update_has_begun(&mut self, id: &str) {
        let Some(step) = self.job.steps.first().filter(|_| !self.has_begun) else { return };
        let begun = |index: u32| {
            let key = (0, 0, index);
            let confirmed = self.runs.get(&key).is_some_and(|placed| placed.confirmed_at.is_some());
            confirmed || self.progress.is_done(&task(id, key))
        };
        self.has_begun = (0..step.count).all(begun);
    }

    /// True if a run of the step may exist.
    pub fn has_runs(&self, occurrence: u32, step: u32) -> bool {
        let all = (occurrence, step, 0)..=(occurrence, step, u32::MAX);
        self.runs.range(all).next().is_some()
    }
}
