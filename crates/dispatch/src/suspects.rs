//! Tasks that may crash the workers that start them: counted, kept apart, cleared, given up.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Incarnation, Run, State, Step, Task};
use quincewheel_policy::{APART, CRASHES};
use quincewheel_wire::list_starts;

use crate::candidate::Candidate;
use crate::entry::{Entry, Key, Placement};
use crate::owner::Owner;
use crate::reports::key;
use crate::snapshot::Snapshot;

/// Crashes that may have been the doing of several tasks, as far as they are remembered. A task
/// that is tried by itself is found out within a second; in that time few workers crash.
const SHARED: usize = 32;

/// A worker that broke its connections, and the starts that may have crashed it.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    /// Which incarnation of the worker.
    pub worker: Incarnation,
    /// The tasks and their runs.
    pub starts: Vec<(Task, u64)>,
}

impl Owner {
    /// A worker broke its connections just after these starts. One that leaves or is taken
    /// down does so, too.
    pub(crate) fn broke(&mut self, name: &str, worker: Incarnation, starts: Vec<(Task, u64)>) {
        self.log("worker broke", name, format!("{worker} just after {}", list_starts(&starts)));
        let Some(agent) = self.agents.get_mut(name) else { return };
        let there = agent.worker.as_ref().filter(|known| known.is(&worker));
        if there.is_some_and(|worker| worker.draining) || agent.shutdown_requested {
            return;
        }
        let later = there.is_none() && agent.worker.is_some();
        agent.crash = Some(Crash { worker, starts });
        if later {
            self.blame_crash(name);
        }
    }

    /// True if the incarnation of a worker before this one may have been crashed.
    pub(crate) fn follows_crash(&self, name: &str, worker: &Incarnation) -> bool {
        let crash = self.agents.get(name).and_then(|agent| agent.crash.as_ref());
        crash.is_some_and(|crash| crash.worker != *worker)
    }

    /// An incarnation of an agent's worker is over. Counts it against what had just started there,
    /// and gives up a task that has crashed too many workers in a row.
    pub(crate) fn blame_crash(&mut self, name: &str) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        let Some(Crash { starts, .. }) = agent.crash.take() else { return };
        let among = starts.len();
        for (task, run) in &starts {
            self.count_crash(name, task, *run, among);
        }
        match &starts[..] {
            [] => {}
            [(alone, _)] => self.explain_others(alone),
            _ => {
                self.suspect_groups.push(starts.into_iter().map(|(task, _)| task).collect());
                if self.suspect_groups.len() > SHARED {
                    self.suspect_groups.remove(0);
                }
            }
        }
    }

    /// A task crashed a worker by itself: what was lost beside it before was hardly the cause.
    /// It keeps its count, as several bad tasks may have been lost together.
    fn explain_others(&mut self, bad: &Task) {
        let with_bad = |tasks: &mut Vec<Task>| tasks.contains(bad);
        let others: Vec<Vec<Task>> = self.suspect_groups.extract_if(.., with_bad).collect();
        for task in others.iter().flatten().filter(|task| *task != bad) {
            let Some(entry) = self.jobs.get_mut(&task.job) else { continue };
            entry.exonerated.insert(entry.slot(key(task)));
            self.replan = true;
        }
    }

    fn count_crash(&mut self, name: &str, task: &Task, run: u64, among: usize) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        // What is done never starts again: it could not be cleared, and others would wait for it.
        if entry.progress.state.ended() || entry.progress.done(task) {
            return;
        }
        // One that has outlived a start is not the cause; but a list that was held up on its
        // way may have shown it alive, so alone it counts.
        if among > 1 && entry.survived_start.contains(&entry.slot(key(task))) {
            return;
        }
        let known = entry.progress.crashes(&entry.job, task);
        let crashes = entry.progress.crash(&entry.job, task, run);
        if crashes == known {
            return;
        }
        entry.exonerated.remove(&entry.slot(key(task)));
        entry.crash_unrecorded = true;
        entry.reservations.remove(&(task.occurrence, task.step));
        let detail = format!(
            "{task} run {run} at {name}, one of {among} just started there: {crashes} of {CRASHES}"
        );
        self.log("crash suspected", &task.job, detail);
        self.mark_dirty(&task.job, true);
        if crashes >= CRASHES {
            self.end_job(&task.job, State::Failed, self.now);
        }
    }

    /// The record of a job was written: crashes under its tasks are not forgotten any more.
    pub(crate) fn note_recorded(&mut self, id: &str) {
        let newer = self.dirty.contains(id);
        if let Some(entry) = self.jobs.get_mut(id).filter(|entry| entry.crash_unrecorded && !newer)
        {
            entry.crash_unrecorded = false;
            self.replan = true;
        }
    }

    /// A worker answered, by its agent's clock at `stamp`: nothing has crashed it, and what
    /// it has listed for a while has outlived its start.
    pub(crate) fn clear_suspects(
        &mut self,
        name: &str,
        worker: &Incarnation,
        running: &[Run],
        stamp: u64,
    ) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.crash = None;
        }
        for run in running {
            let Some(entry) = self.jobs.get_mut(&run.task.job) else { continue };
            let Some(placed) = entry.runs.get_mut(&key(&run.task)) else { continue };
            if placed.worker != *worker || placed.run != run.number || placed.survived_start {
                continue;
            }
            // An agent's clock begins anew with its machine.
            let first = placed.first_listed_at.map_or(stamp, |first| first.min(stamp));
            placed.first_listed_at = Some(first);
            placed.survived_start = stamp >= first + APART;
            if placed.survived_start && entry.gang_survived_start(key(&run.task)) {
                self.outlived(&run.task);
            }
        }
    }

    /// A task outlived its start, and so did its gang: it crashes no workers, as one that does
    /// crashes each.
    pub(crate) fn outlived(&mut self, task: &Task) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        entry.survived_start.insert(entry.slot(key(task)));
        self.clear_suspect(task, "it outlived its start");
    }

    /// A task is no suspect any more.
    fn clear_suspect(&mut self, task: &Task, why: &str) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        if entry.consecutive_crashes(&task.job, key(task)) == 0 {
            return;
        }
        entry.progress.clear(&entry.job, task);
        self.replan = true;
        self.log("crash cleared", &task.job, format!("{task}: {why}"));
        self.mark_dirty(&task.job, false);
    }

    /// Starts a suspect where the least is lost with the worker that it may crash: at as few
    /// of the least used workers as hold it. Returns the places that it leaves to others.
    pub(crate) fn try_suspect(
        &mut self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        (snapshot, barred): (&mut Snapshot, &[usize]),
        time: (u64, u64),
    ) -> Vec<usize> {
        let mut order = snapshot.least_used();
        order.retain(|place| !barred.contains(place));
        let mut most = 1;
        loop {
            let open: BTreeSet<usize> = order.iter().take(most).copied().collect();
            let closed: Vec<usize> =
                (0..snapshot.spots.len()).filter(|place| !open.contains(place)).collect();
            let spared = self.place_elsewhere(candidate, (step, pool), (snapshot, &closed), time);
            if self.unplaced_tasks(candidate) == 0 || most >= order.len() {
                return spared;
            }
            most *= 2;
        }
    }

    /// The places at which a candidate must not start now, lest a crash there be blamed on
    /// it or on what has just started there: for a suspect all at which anything has, for
    /// others those at which a suspect has.
    pub(crate) fn kept_apart(&self, candidate: &Candidate, snapshot: &Snapshot) -> Vec<usize> {
        let kept = |fresh: Fresh| candidate.suspect || fresh == Fresh::Suspect;
        let fresh = snapshot.recent_starts.iter().filter(|(_, fresh)| kept(**fresh));
        fresh.map(|(place, _)| *place).collect()
    }
}

/// What has just started at a worker.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fresh {
    /// Tasks of which nothing is known.
    Any,
    /// A task that may have crashed a worker before.
    Suspect,
}

impl Fresh {
    /// Takes note of a start at a place.
    pub fn note(self, fresh: &mut BTreeMap<usize, Fresh>, place: usize) {
        let known = fresh.entry(place).or_insert(self);
        *known = self.max(*known);
    }

    /// Which it is, if the run has just started.
    pub fn of(id: &str, entry: &Entry, key: Key, placed: &Placement, now: u64) -> Option<Fresh> {
        if placed.survived_start || now >= placed.confirmed_at.unwrap_or(now) + APART {
            return None;
        }
        Some(if entry.consecutive_crashes(id, key) > 0 { Fresh::Suspect } else { Fresh::Any })
    }
}

/// The tasks of a step that may start now, in groups, and whether a group is suspected.
///
/// Of a job with a suspect that one comes first, and by itself: tasks of one job are alike,
/// and each of them would cost a worker. The others wait until it has outlived its start, or
/// another task is found to be the cause; those of other steps, which may find room where it
/// does not, no longer than [`PATIENCE`].
pub(crate) fn one_by_one(
    id: &str,
    entry: &Entry,
    (occurrence, step): (u32, u32),
    tasks: Vec<u32>,
    now: u64,
) -> Vec<(Vec<u32>, bool)> {
    if !entry.progress.suspected() {
        return vec![(tasks, false)];
    }
    let slot = |index: u32| entry.slot((occurrence, step, index));
    let open = |slot: &Key| !entry.exonerated.contains(slot);
    let under_way = |(key, placed): (&Key, &Placement)| {
        open(&entry.slot(*key)) && Fresh::of(id, entry, *key, placed, now) == Some(Fresh::Suspect)
    };
    if entry.crash_unrecorded || entry.runs.iter().any(under_way) {
        return Vec::new();
    }
    let crashed = |index: &u32| entry.consecutive_crashes(id, slot(*index)) > 0;
    let (suspects, others): (Vec<u32>, Vec<u32>) = tasks.into_iter().partition(crashed);
    let gang = entry.job.steps.get(step as usize).is_some_and(|step| step.gang);
    let mut groups = match gang && !suspects.is_empty() {
        true => vec![(suspects, true)],
        false => apart(suspects, |index| open(&slot(index))),
    };
    if !others.is_empty() && !waits_for_suspect(entry, (occurrence, step), now) {
        groups.push((others, false));
    }
    groups
}

/// Suspects that may be tried at once, each by itself: the first, and all that another task
/// seems to have been the cause for.
fn apart(suspects: Vec<u32>, open: impl Fn(u32) -> bool) -> Vec<(Vec<u32>, bool)> {
    let first = suspects.iter().copied().find(|index| open(*index));
    let tried = suspects.into_iter().filter(|index| first == Some(*index) || !open(*index));
    tried.map(|index| (vec![index], true)).collect()
}

/// True if tasks of the step wait for a suspect of their job that has not been tried again.
fn waits_for_suspect(entry: &Entry, step: (u32, u32), now: u64) -> bool {
    let runs = |slot: &Key| entry.runs.keys().any(|key| entry.slot(*key) == *slot);
    let untried = |slot: &Key| !entry.exonerated.contains(slot) && !runs(slot);
    let patient = entry.idle_since.is_none_or(|since| now < since + PATIENCE);
    let holds = |slot: Key| patient || (slot.0, slot.1) == step;
    entry.progress.suspects().filter(untried).any(holds)
}

/// Other steps of a job of which nothing runs wait no longer than this for a place for a
/// suspect, in milliseconds: a job must not stand still beside idle workers.
const PATIENCE: u64 = 1500;
