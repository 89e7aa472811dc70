//! Telling why work whose turn has come does not start.
//!
//! Decisions are made only when something changes, and note then what keeps
//! each step from starting. Lines are written when time passes, so also where
//! nothing changes any more.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Id, Step, Worker};
use quincewheel_place::{Protection, Request, WorkerState};

use crate::candidate::Candidate;
use crate::cause::Cause;
use crate::entry::Entry;
use crate::owner::Owner;
use crate::plan::{held, pending};
use crate::snapshot::Snapshot;
use crate::tally::{Bar, Tally};
use crate::waits::Group;

impl Owner {
    /// How many steps have waited for long, by cause.
    pub fn long_waits(&self) -> BTreeMap<Cause, usize> {
        let mut counts = BTreeMap::new();
        let long = self.waits.long(self.now).filter(|(group, _)| is_open(&self.jobs, &group.0));
        long.for_each(|(_, cause)| *counts.entry(cause).or_default() += 1);
        counts
    }

    /// Takes note of a step that waits for room that is being made, if it does.
    /// False if no room is.
    pub(crate) fn record_reserved_wait(&mut self, candidate: &Candidate, now: u64) -> bool {
        let place = (candidate.occurrence, candidate.step);
        let reserved = |entry: &Entry| entry.reservations.contains_key(&place);
        if !self.jobs.get(&candidate.id).is_some_and(reserved) {
            return false;
        }
        let wait = (self.unplaced_tasks(candidate), Cause::Reserved);
        self.waits.note(group(candidate), wait, (0, 0), now);
        true
    }

    /// Takes note of what keeps tasks of a candidate from starting, if any still
    /// wait. `bars` are those of the snapshot's workers.
    pub(crate) fn record_wait(
        &mut self,
        candidate: &Candidate,
        snapshot: &Snapshot,
        bars: &[Bar],
        now: u64,
    ) {
        let left = self.unplaced_tasks(candidate);
        if left == 0 || self.record_reserved_wait(candidate, now) {
            return;
        }
        let key = group(candidate);
        let Some((cause, room)) = self.cause(&key, left, &snapshot.spots, bars) else { return };
        self.waits.note(key, (left, cause), room, now);
    }

    /// Why so many tasks of a step do not start on these workers, how many fit
    /// now, and how many would if nothing ran.
    pub(crate) fn cause(
        &self,
        (id, occurrence, number): &Group,
        tasks: usize,
        spots: &[WorkerState],
        bars: &[Bar],
    ) -> Option<(Cause, (u64, u64))> {
        let entry = self.jobs.get(id)?;
        let step = entry.job.steps.get(*number as usize)?;
        let pool = &self.pool_of(entry);
        let held = match entry.has_runs(*occurrence, *number) {
            true => &held(entry, (*occurrence, *number), spots)[..],
            false => &[],
        };
        let count = tasks as u32;
        let ask = Request {
            step,
            pool,
            count,
            waits_for_rack: true,
            preempts: Protection::Lower,
            ignores_ending: false,
            tasks_by_worker: held,
        };
        let tally = Tally::open(spots, bars, &ask);
        let unconfigured = entry.job.queue.priority == 0 && self.config.version == 0;
        let cause = match tally.cause() {
            Cause::Few => self.closed(&ask, &tally),
            Cause::Room if unconfigured => Cause::Unconfigured,
            cause => cause,
        };
        Some((cause, tally.room()))
    }

    /// Takes note of steps that are no candidates, though their turn has come.
    pub(crate) fn note_held_back(&mut self, now: u64, wall: u64) {
        for (group, wait) in self.held_back(wall) {
            self.waits.note(group, wait, (0, 0), now);
        }
    }

    /// Tells what had waited, and for what, once it waits no more.
    pub(crate) fn tell_waited(&mut self, now: u64) {
        for (group, wait) in self.waits.end(now) {
            let (id, occurrence, step) = &group;
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

    /// Writes the lines that are due.
    pub(crate) fn log_waits(&mut self, now: u64, wall: u64) {
        self.log_unsettled(now, wall);
        self.review_waits(now);
        if !self.waits.is_due(now) {
            return;
        }
        let jobs = &self.jobs;
        self.waits.retain(|group, _| is_open(jobs, &group.0));
        let (told, left) = self.waits.take(now);
        for (group, wait) in told {
            let (id, occurrence, step) = &group;
            let name = format!("{id}.{occurrence}.{step}, {} tasks", wait.tasks);
            let (ms, cause) = (now - wait.since, wait.cause.name());
            let detail = self.wait_detail(&group, &wait, now);
            self.log("waits", id, format!("{name}, {ms} ms: {cause}: {detail}"));
        }
        if !left.is_empty() {
            self.log("waits left out", "", left_out(&left));
        }
    }

    /// Forgets steps that a new owner held back and that turned out to run.
    /// Returns how many it still holds back.
    pub(crate) fn refresh_held_back(&mut self, wall: u64) -> usize {
        let held: BTreeSet<Group> = self
            .held_back(wall)
            .into_iter()
            .filter(|(_, (_, cause))| *cause == Cause::Unsettled)
            .map(|(group, _)| group)
            .collect();
        self.waits.retain(|group, wait| wait.cause != Cause::Unsettled || held.contains(group));
        held.len()
    }

    /// Steps that wait for members of a new owner, or for what is left of a
    /// former start.
    fn held_back(&self, wall: u64) -> Vec<(Group, (usize, Cause))> {
        let mut found = Vec::new();
        for (id, entry) in self.jobs.iter().filter(|(_, entry)| !entry.progress.state.is_final()) {
            let older = !self.settled && entry.version <= self.claim_version;
            if !older && entry.runs.is_empty() {
                continue;
            }
            for (occurrence, number, step) in due_steps(entry, wall) {
                let wait = match older {
                    true => {
                        let open = pending(entry, occurrence, number, step, id);
                        (open.len(), Cause::Unsettled)
                    }
                    false => (remains(entry, occurrence, number, step), Cause::Remains),
                };
                if wait.0 > 0 {
                    found.push(((id.clone(), occurrence, number), wait));
                }
            }
        }
        found
    }

    /// Why the open workers could not hold tasks if nothing ran.
    fn closed(&self, ask: &Request<'_>, tally: &Tally<'_>) -> Cause {
        let label = &ask.step.label;
        let pool = || {
            let known = self.agents.values().filter(|agent| agent.worker.is_some());
            known.filter(|agent| agent.worker.as_ref().is_some_and(|w| w.pool == ask.pool))
        };
        let labelled = |worker: &&Worker| label.is_empty() || worker.labels.contains(label);
        let shut = pool().filter(|agent| !agent.accepts_runs(&self.settings, self.now));
        let shut = shut.filter_map(|agent| agent.worker.as_ref()).filter(labelled);
        let more = shut.map(|worker| ask.max_tasks(usize::MAX, &worker.capacity)).sum();
        if pool().next().is_none() {
            return Cause::Pool;
        }
        if !pool().filter_map(|agent| agent.worker.as_ref()).any(|worker| labelled(&worker)) {
            return Cause::Label;
        }
        if tally.would_hold(more) { Cause::Closed } else { Cause::Few }
    }
}

/// The steps of all occurrences whose time has come.
fn due_steps(entry: &Entry, wall: u64) -> impl Iterator<Item = (u32, u32, &Step)> {
    let schedule = entry.job.schedule;
    let due = move |occurrence: &u32| schedule.is_none_or(|s| s.due(*occurrence) <= wall);
    let steps = move |occurrence| {
        let steps = (0u32..).zip(&entry.job.steps);
        steps.map(move |(number, step)| (occurrence, number, step))
    };
    (0..entry.job.occurrences()).take_while(due).flat_map(steps)
}

/// Tasks of a gang that cannot start since others of it may still run.
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

fn group(candidate: &Candidate) -> Group {
    (candidate.id.clone(), candidate.occurrence, candidate.step)
}

fn left_out(left: &BTreeMap<Cause, usize>) -> String {
    let all: usize = left.values().sum();
    let causes: Vec<String> =
        left.iter().map(|(cause, count)| format!("{count} {}", cause.name())).collect();
    format!("{all} more wait and were not told this second: {}", causes.join(", "))
}
