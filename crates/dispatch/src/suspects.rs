//! Tasks suspected of crashing the workers that start them.
//!
//! A task that was just started at a worker when it crashed is a suspect. Suspects are retried in
//! isolation, cleared once they survive a start, and their job fails after a few crashes in a row.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Incarnation, Run, Step, Task};
use quincewheel_policy::START_ISOLATION_MS;

use crate::candidate::Candidate;
use crate::entry::{Entry, Key};
use crate::owner::Owner;
use crate::placement::Placement;
use crate::reports::task_key;
use crate::snapshot::Snapshot;

impl Owner {
    /// Lets a job's tasks start again once its crashes are recorded: a new owner will then read
    /// them.
    pub(crate) fn on_progress_recorded(&mut self, id: &str) {
        let newer = self.dirty.contains(id);
        if let Some(entry) = self.jobs.get_mut(id).filter(|entry| entry.crash_unrecorded && !newer)
        {
            entry.crash_unrecorded = false;
            self.replan = true;
        }
    }

    /// Clears suspicions after a worker's answer, received at `stamp` by its agent's clock: the
    /// worker has not crashed, and runs listed for at least [`START_ISOLATION_MS`] have outlived
    /// their starts.
    pub(crate) fn clear_suspects(
        &mut self,
        name: &str,
        worker: &Incarnation,
        running: &[Run],
        stamp: u64,
    ) {
        self.dismiss_crash(name);
        for run in running {
            let Some(entry) = self.jobs.get_mut(&run.task.job) else { continue };
            let Some(placed) = entry.runs.get_mut(&task_key(&run.task)) else { continue };
            if placed.worker != *worker || placed.run != run.number || placed.survived_start {
                continue;
            }
            // An agent's clock starts from zero when its machine reboots.
            let first = placed.first_listed_at.map_or(stamp, |first| first.min(stamp));
            placed.first_listed_at = Some(first);
            placed.survived_start = stamp >= first + START_ISOLATION_MS;
            if placed.survived_start && entry.gang_survived_start(task_key(&run.task)) {
                self.on_start_survived(&run.task, run.number);
            }
        }
    }

    /// Handles the report that a suspect's run has survived its start.
    pub(crate) fn on_survived(&mut self, task: &Task, run: u64) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let key = task_key(task);
        let Some(placed) = entry.runs.get_mut(&key).filter(|placed| placed.run == run) else {
            return;
        };
        placed.survived_start = true;
        if entry.gang_survived_start(key) {
            self.on_start_survived(task, run);
        }
    }

    /// Clears a task whose run has survived its start together with its gang. A task that crashes
    /// workers crashes each one it starts at.
    pub(crate) fn on_start_survived(&mut self, task: &Task, run: u64) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let slot = entry.slot(task_key(task));
        let survived = entry.survived_start.entry(slot).or_default();
        *survived = run.max(*survived);
        self.clear_suspect(task, "it outlived its start");
    }

    /// Resets a task's crash count. `why` is for the log.
    fn clear_suspect(&mut self, task: &Task, why: &str) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        if entry.consecutive_crashes(&task.job, task_key(task)) == 0 {
            return;
        }
        entry.progress.clear_crashes(&entry.job, task);
        self.replan = true;
        self.log("crash cleared", &task.job, format!("{task}: {why}"));
        self.mark_dirty(&task.job, false);
    }

    /// Schedules the rounds at which waits for suspects are over, since no event marks these times: a
    /// suspect has survived its start, also at a worker that has closed since, or other steps of an
    /// idle job have waited for long enough.
    pub(crate) fn schedule_suspects(&mut self, now: u64, wall: u64) {
        let ends = self.jobs.iter().filter_map(|(id, entry)| suspect_wait_ms(id, entry, now));
        if let Some(ms) = ends.min() {
            self.schedule_replan(wall + ms);
        }
    }

    /// Places a suspect where a crash loses the least work: on as few of the least used workers
    /// as can hold it. Returns the indexes of workers that it keeps free for other work.
    pub(crate) fn place_suspect(
        &mut self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        (snapshot, excluded): (&mut Snapshot, &[usize]),
        time: (u64, u64),
    ) -> Vec<usize> {
        let mut order = snapshot.least_used();
        order.retain(|index| !excluded.contains(index));
        let mut worker_count = 1;
        loop {
            let open: BTreeSet<usize> = order.iter().take(worker_count).copied().collect();
            let closed: Vec<usize> =
                (0..snapshot.workers.len()).filter(|index| !open.contains(index)).collect();
            let kept_free =
                self.place_excluding(candidate, (step, pool), (snapshot, &closed), time);
            if self.unplaced_tasks(candidate) == 0 || worker_count >= order.len() {
                return kept_free;
            }
            worker_count *= 2;
        }
    }

    /// Returns the indexes of workers where a candidate must not start now, so that a crash can be
    /// attributed to one task: for a suspect all workers with a recent start, for others those
    /// with a recent start of a suspect.
    pub(crate) fn excluded_indexes(
        &self,
        candidate: &Candidate,
        snapshot: &Snapshot,
    ) -> Vec<usize> {
        let excluded = |start: RecentStart| candidate.suspect || start == RecentStart::Suspect;
        let recent = snapshot.recent_starts.iter().filter(|(_, start)| excluded(**start));
        recent.map(|(index, _)| *index).collect()
    }
}

/// What was recently started at a worker.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum RecentStart {
    /// Only tasks that are not suspected.
    Any,
    /// A task that is suspected of having crashed a worker.
    Suspect,
}

impl RecentStart {
    /// Records a start at the worker with this index. A suspect takes precedence.
    pub fn record(self, recent_starts: &mut BTreeMap<usize, RecentStart>, index: usize) {
        let known = recent_starts.entry(index).or_insert(self);
        *known = self.max(*known);
    }

    /// Classifies a run; none if it is not recent or has outlived its start.
    pub fn of(
        id: &str,
        entry: &Entry,
        key: Key,
        placed: &Placement,
        now: u64,
    ) -> Option<RecentStart> {
        if placed.survived_start || now >= placed.confirmed_at.unwrap_or(now) + START_ISOLATION_MS {
            return None;
        }
        Some(if entry.consecutive_crashes(id, key) > 0 {
            RecentStart::Suspect
        } else {
            RecentStart::Any
        })
    }
}

/// Returns the tasks of a step that may start now, in groups, with whether each group is suspected.
///
/// If a job has a suspect, that task starts first and alone: tasks of one job are alike, so
/// starting several could cost a worker each. The others wait until the suspect has outlived its
/// start or another task is found to be the cause. Tasks of other steps may find capacity where the
/// suspect does not, so they wait no longer than [`OTHER_STEPS_DELAY_MS`] while the job is idle, or
/// after its last run has ended if they are perpetual.
pub(crate) fn isolate_suspects(
    id: &str,
    entry: &Entry,
    (occurrence, step): (u32, u32),
    tasks: Vec<u32>,
    now: u64,
) -> Vec<(Vec<u32>, bool)> {
    if !entry.progress.has_suspects() {
        return vec![(tasks, false)];
    }
    let slot = |index: u32| entry.slot((occurrence, step, index));
    let unexplained = |slot: &Key| !entry.exonerated.contains(slot);
    let in_progress = |(key, placed): (&Key, &Placement)| {
        unexplained(&entry.slot(*key))
            && RecentStart::of(id, entry, *key, placed, now) == Some(RecentStart::Suspect)
    };
    if entry.crash_unrecorded || entry.runs.iter().any(in_progress) {
        return Vec::new();
    }
    let crashed = |index: &u32| entry.consecutive_crashes(id, slot(*index)) > 0;
    let (suspects, others): (Vec<u32>, Vec<u32>) = tasks.into_iter().partition(crashed);
    let gang = entry.job.steps.get(step as usize).is_some_and(|step| step.gang);
    let mut groups = match gang && !suspects.is_empty() {
        true => vec![(suspects, true)],
        false => separately(suspects, |index| unexplained(&slot(index))),
    };
    if !others.is_empty() && !waits_for_suspect(entry, (occurrence, step), now) {
        groups.push((others, false));
    }
    groups
}

/// Returns the suspects that may be retried now, each as a group of its own: the first that is not
/// exonerated, and all that are.
fn separately(suspects: Vec<u32>, unexplained: impl Fn(u32) -> bool) -> Vec<(Vec<u32>, bool)> {
    let first = suspects.iter().copied().find(|index| unexplained(*index));
    let retried =
        suspects.into_iter().filter(|index| first == Some(*index) || !unexplained(*index));
    retried.map(|index| (vec![index], true)).collect()
}

/// Returns whether tasks of the step must wait for a suspect of their job that has not been
/// retried.
fn waits_for_suspect(entry: &Entry, step: (u32, u32), now: u64) -> bool {
    let is_running = |slot: &Key| entry.runs.keys().any(|key| entry.slot(*key) == *slot);
    let waiting = |slot: &Key| !entry.exonerated.contains(slot) && !is_running(slot);
    let lasts = entry.job.steps.get(step.1 as usize).is_some_and(|step| step.perpetual);
    let since = if lasts { Some(entry.vacated_at) } else { entry.idle_since() };
    let within_delay = since.is_none_or(|since| now < since + OTHER_STEPS_DELAY_MS);
    let blocks = |slot: Key| within_delay || (slot.0, slot.1) == step;
    entry.progress.suspected_tasks().into_iter().filter(waiting).any(blocks)
}

/// Returns after how long tasks of a job that has suspects may wait for them no more.
fn suspect_wait_ms(id: &str, entry: &Entry, now: u64) -> Option<u64> {
    if !entry.progress.has_suspects() || entry.progress.state.is_final() {
        return None;
    }
    let is_recent = |(key, placed): (&Key, &Placement)| {
        RecentStart::of(id, entry, *key, placed, now) == Some(RecentStart::Suspect)
    };
    let isolation = entry.runs.iter().any(is_recent).then_some(START_ISOLATION_MS);
    let lasting = entry.job.is_perpetual().then_some(entry.vacated_at);
    let since = entry.idle_since().into_iter().chain(lasting);
    let ends = since.map(|since| since + OTHER_STEPS_DELAY_MS);
    let delay = ends.filter(|until| *until > now).map(|until| until - now).min();
    isolation.into_iter().chain(delay).min()
}

/// Longest time that other steps of an idle job wait until a suspect finds a worker. Without a
/// bound a job could stall beside idle workers.
const OTHER_STEPS_DELAY_MS: u64 = 1500;
