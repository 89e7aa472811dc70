//! Diagnosis and logging of why ready work does not start.
//!
//! Planning happens only when something changes, and records then what keeps each step from
//! starting. The log lines are written by ticks, so that they appear even if nothing changes any
//! more.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Id, Step, Worker};
use quincewheel_place::{Protection, Request, WorkerState};

use crate::candidate::Candidate;
use crate::cause::Cause;
use crate::entry::Entry;
use crate::owner::Owner;
use crate::plan::{pending_tasks, tasks_per_worker};
use crate::snapshot::Snapshot;
use crate::suspects::isolate_suspects;
use crate::tally::{Restriction, Tally};
use crate::waits::StepKey;

impl Owner {
    /// Returns how many steps have waited for at least a second, by cause.
    pub fn long_waits(&self) -> BTreeMap<Cause, usize> {
        let mut counts = BTreeMap::new();
        let long = self
            .waits
            .long_waits(self.now)
            .filter(|(step_key, _)| is_open(&self.jobs, &step_key.0));
        long.for_each(|(_, cause)| *counts.entry(cause).or_default() += 1);
        counts
    }

    /// Records that a step waits for its reserved capacity. Returns false if it has none.
    pub(crate) fn record_reserved_wait(&mut self, candidate: &Candidate, now: u64) -> bool {
        let occurrence_step = (candidate.occurrence, candidate.step);
        let reserved = |entry: &Entry| entry.reservations.contains_key(&occurrence_step);
        if !self.jobs.get(&candidate.id).is_some_and(reserved) {
            return false;
        }
        let wait = (self.unplaced_tasks(candidate), Cause::Reserved);
        self.waits.record(step_key_of(candidate), wait, (0, 0), now);
        true
    }

    /// Records what keeps tasks of a candidate from starting, if any still wait. `limits` holds
    /// the restriction on each worker of the snapshot; empty if there are none.
    pub(crate) fn record_wait(
        &mut self,
        candidate: &Candidate,
        snapshot: &Snapshot,
        limits: &[Restriction],
        now: u64,
    ) {
        let left = self.unplaced_tasks(candidate);
        if left == 0 || self.record_reserved_wait(candidate, now) {
            return;
        }
        let key = step_key_of(candidate);
        let Some((cause, room)) = self.cause(&key, left, &snapshot.workers, limits) else { return };
        let cause = self.cause_with_share(candidate, cause);
        self.waits.record(key, (left, cause), room, now);
    }

    /// Returns why this number of tasks of a step does not start on `workers`, how many of
    /// them fit now, and how many would fit if nothing ran.
    pub(crate) fn cause(
        &self,
        (id, occurrence, number): &StepKey,
        tasks: usize,
        workers: &[WorkerState],
        restrictions: &[Restriction],
    ) -> Option<(Cause, (u64, u64))> {
        let entry = self.jobs.get(id)?;
        let step = entry.job.steps.get(*number as usize)?;
        let pool = &self.pool_of(entry);
        let tasks_by_worker = match entry.has_runs(*occurrence, *number) {
            true => &tasks_per_worker(entry, (*occurrence, *number), workers)[..],
            false => &[],
        };
        let count = tasks as u32;
        let request = Request {
            step,
            pool,
            count,
            waits_for_rack: true,
            preempts: Protection::Lower,
            ignores_ending: false,
            tasks_by_worker,
        };
        let tally = Tally::count(workers, restrictions, &request);
        let unconfigured = entry.job.queue.priority == 0 && self.config.version == 0;
        let cause = match tally.cause() {
            Cause::Few => self.closed_or_too_few(&request, &tally),
            Cause::Room if unconfigured => Cause::Unconfigured,
            cause => cause,
        };
        Some((cause, tally.room()))
    }

    /// Records waits of steps that are ready but are not candidates yet.
    pub(crate) fn record_held_back(&mut self, now: u64) {
        for (step_key, wait) in self.held_back() {
            self.waits.record(step_key, wait, (0, 0), now);
        }
    }

    /// Logs the steps that have started after waiting, and what they had waited for.
    pub(crate) fn log_ended_waits(&mut self, now: u64) {
        for (step_key, wait) in self.waits.end_round(now) {
            let (id, occurrence, step) = &step_key;
            let begun = |entry: &Entry| entry.has_runs(*occurrence, *step);
            if !self.jobs.get(id).is_some_and(begun) {
                continue;
            }
            let spent: Vec<String> =
                wait.spent().map(|(cause, ms)| format!("{} {ms} ms", cause.name())).collect();
            let spent = spent.join(", ");
            self.log("waited", id, format!("{id}.{occurrence}.{step}: {spent}"));
        }
    }

    /// Writes the log lines that are due.
    pub(crate) fn log_waits(&mut self, now: u64) {
        self.log_unsettled(now);
        self.review_waits(now);
        if !self.waits.has_due_lines(now) {
            return;
        }
        let jobs = &self.jobs;
        self.waits.retain(|step_key, _| is_open(jobs, &step_key.0));
        let (due, omitted) = self.waits.take_due_lines(now);
        for (step_key, wait) in due {
            let (id, occurrence, step) = &step_key;
            let name = format!("{id}.{occurrence}.{step}, {} tasks", wait.tasks);
            let (ms, cause) = (now - wait.waiting_since, wait.cause.name());
            let detail = self.wait_detail(&step_key, &wait, now);
            self.log("waits", id, format!("{name}, {ms} ms: {cause}: {detail}"));
        }
        if !omitted.is_empty() {
            self.log("waits left out", "", left_out(&omitted));
        }
    }

    /// Drops the waits of unsettled steps that have turned out to run. Returns how many steps are
    /// still unsettled.
    pub(crate) fn prune_held_back(&mut self) -> usize {
        let held_back: BTreeSet<StepKey> = self
            .held_back()
            .into_iter()
            .filter(|(_, (_, cause))| *cause == Cause::Unsettled)
            .map(|(step_key, _)| step_key)
            .collect();
        self.waits.retain(|step_key, wait| {
            wait.cause != Cause::Unsettled || held_back.contains(step_key)
        });
        held_back.len()
    }

    /// Returns steps that a round of planning leaves out, or whose gang may still have runs of an
    /// earlier start.
    fn held_back(&self) -> Vec<(StepKey, (usize, Cause))> {
        let mut found = Vec::new();
        for (id, entry) in self.jobs.iter().filter(|(_, entry)| !entry.progress.state.is_final()) {
            let candidate = self.is_accounted_for(entry) && !entry.progress.has_suspects();
            if candidate && entry.runs.is_empty() && entry.refused_starts.is_empty() {
                continue;
            }
            for (occurrence, number, step) in due_steps(entry) {
                let at = (occurrence, number);
                let open = pending_tasks(entry, occurrence, number, step, id);
                let count = open.len();
                let wait = match self.held_cause(id, entry, at, open) {
                    Some(cause) if count > 0 || cause == Cause::Unsettled => (count, cause),
                    _ => (remains(entry, occurrence, number, step), Cause::Remains),
                };
                if wait.0 > 0 {
                    found.push(((id.clone(), occurrence, number), wait));
                }
            }
        }
        found
    }

    /// Returns why a round of planning leaves out these tasks of a step; none if it finds them.
    pub(crate) fn held_cause(
        &self,
        id: &str,
        entry: &Entry,
        at: (u32, u32),
        tasks: Vec<u32>,
    ) -> Option<Cause> {
        if self.awaits_predecessors(entry) && !self.is_step_accounted_for(entry, at) {
            return Some(Cause::Unsettled);
        }
        if self.awaits_confirmation(entry) {
            return Some(Cause::Unconfirmed);
        }
        if entry.is_step_refused(at, self.now) {
            return Some(Cause::Refused);
        }
        let held = !tasks.is_empty() && isolate_suspects(id, entry, at, tasks, self.now).is_empty();
        held.then_some(if entry.crash_unrecorded { Cause::Unrecorded } else { Cause::Suspect })
    }

    /// Returns whether a round of planning is due and cannot begin.
    pub(crate) fn is_planning_paused(&self, now: u64) -> bool {
        self.replan && (self.superseded || self.operators_overdue(now).is_some())
    }

    /// Records the steps that have become ready since planning was paused.
    pub(crate) fn record_paused(&mut self, now: u64) {
        let mut found = Vec::new();
        for (id, entry) in self.jobs.iter().filter(|(_, entry)| !entry.progress.state.is_final()) {
            for (occurrence, number, step) in due_steps(entry) {
                let tasks = pending_tasks(entry, occurrence, number, step, id).len();
                let step_key = (id.clone(), occurrence, number);
                if tasks > 0 && self.waits.get(&step_key).is_none() {
                    found.push((step_key, (tasks, Cause::Paused)));
                }
            }
        }
        for (step_key, wait) in found {
            self.waits.record(step_key, wait, (0, 0), now);
        }
    }

    /// Returns why the open workers could not hold the tasks even if nothing else ran.
    fn closed_or_too_few(&self, request: &Request<'_>, tally: &Tally<'_>) -> Cause {
        let label = &request.step.label;
        let pool = || {
            let known = self.agents.values().filter(|agent| agent.worker.is_some());
            known.filter(|agent| agent.worker.as_ref().is_some_and(|w| w.pool == request.pool))
        };
        let labelled = |worker: &&Worker| label.is_empty() || worker.labels.contains(label);
        let closed = pool().filter(|agent| !agent.accepts_runs(&self.settings, self.now));
        let closed = closed.filter_map(|agent| agent.worker.as_ref()).filter(labelled);
        let more = closed.map(|worker| request.max_tasks(usize::MAX, &worker.capacity)).sum();
        if pool().next().is_none() {
            return Cause::Pool;
        }
        if !pool().filter_map(|agent| agent.worker.as_ref()).any(|worker| labelled(&worker)) {
            return Cause::Label;
        }
        if tally.would_hold(more) { Cause::Closed } else { Cause::Few }
    }
}

/// Returns the steps of all occurrences that are due.
pub(crate) fn due_steps(entry: &Entry) -> impl Iterator<Item = (u32, u32, &Step)> {
    let steps = move |occurrence| {
        let steps = (0u32..).zip(&entry.job.steps);
        steps.map(move |(number, step)| (occurrence, number, step))
    };
    (0..entry.due_occurrences()).flat_map(steps)
}

/// Returns the number of a gang's tasks that cannot start because other members may still run.
fn remains(entry: &Entry, occurrence: u32, number: u32, step: &Step) -> usize {
    if !step.gang || !entry.has_runs(occurrence, number) {
        return 0;
    }
    if entry.progress.is_step_done(occurrence, number, step) {
        return 0;
    }
    let key = |index| (occurrence, number, index);
    (0..step.count).filter(|&index| !entry.runs.contains_key(&key(index))).count()
}

fn is_open(jobs: &BTreeMap<Id, Entry>, id: &str) -> bool {
    jobs.get(id).is_some_and(|entry| !entry.progress.state.is_final())
}

fn step_key_of(candidate: &Candidate) -> StepKey {
    (candidate.id.clone(), candidate.occurrence, candidate.step)
}

fn left_out(omitted: &BTreeMap<Cause, usize>) -> String {
    let all: usize = omitted.values().sum();
    let causes: Vec<String> =
        omitted.iter().map(|(cause, count)| format!("{count} {}", cause.name())).collect();
    format!("{all} more wait and were not told this second: {}", causes.join(", "))
}
