//! Trust in workers, applied to planning.
//!
//! The ends of runs are passed to [`quincewheel_trust::Trust`], which grades the workers. A round of
//! planning asks it which workers the tasks of a candidate may use, by the attempts they have left.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{End, How, Id, Incarnation, Resources, Step};
use quincewheel_place::{Protection, Request, WorkerState, pack};
use quincewheel_trust::{Admission, Attempt, Change, Demand, Grade, Member, Outcome, Standing};
use quincewheel_trust::{Record, Trust};

use crate::candidate::Candidate;
use crate::entry::{Entry, Key};
use crate::owner::Owner;
use crate::placement::Placement;
use crate::plan::tasks_per_worker;
use crate::snapshot::{Exclusions, Snapshot};
use crate::starts::RUNS_PER_EPOCH;
use crate::wait_detail::list;
use crate::waits::StepKey;

/// What the owner keeps beside the records: it is not needed by a later owner.
#[derive(Debug, Default)]
pub(crate) struct Doubts {
    /// The time of day less the owner's time, as of the first tick. Records use the time of day,
    /// which the next owner shares, but must not follow a clock that is set.
    clock_offset: Option<u64>,
    /// Ends of runs that the records do not contain yet, with the agent and the time.
    outcomes: Vec<(String, Outcome, u64)>,
    /// Since when last attempts could have started on a worker that is not sound.
    waiting: BTreeMap<Id, BTreeMap<Key, u64>>,
}

impl Owner {
    /// Notes the end of a run for the trust in its worker. Ends that are no verdict on the worker,
    /// and failures that a previous owner has counted already, are left out.
    pub(crate) fn record_outcome(
        &mut self,
        name: &str,
        from: &Incarnation,
        end: &End,
        run: Option<&Placement>,
        now: u64,
    ) {
        let success = end.how == How::Done;
        if self.settings.doubt == 0 || (!success && end.how != How::Failed) {
            return;
        }
        let Some(entry) = self.jobs.get(&end.task.job) else { return };
        let counted = || entry.progress.has_failed(&entry.job, &end.task, end.run);
        if !success && run.is_none() && counted() {
            return;
        }
        // When a previous owner's run started is not known.
        let own = |run: &&Placement| run.run > (self.epoch - 1) * RUNS_PER_EPOCH;
        let run = run.filter(own);
        // The work of a gang begins with the start of its last member.
        let confirmed = |run: &Placement| {
            let unit = entry.runs.values().filter(|other| other.unit == run.unit);
            let begun = unit.filter_map(|other| other.confirmed_at).chain(run.confirmed_at).max();
            now.saturating_sub(begun.unwrap_or(now))
        };
        let outcome = Outcome {
            worker: from.clone(),
            job: end.task.job.clone(),
            started: run.map_or(0, |run| run.started_at),
            ran: run.map(confirmed),
            success,
        };
        self.doubts.outcomes.push((name.to_owned(), outcome, now));
    }

    /// Applies the ends of runs to the records, and lets tasks return to workers that they avoided.
    pub(crate) fn update_trust(&mut self, now: u64, wall: u64) {
        self.end_avoidance(now);
        if self.doubts.clock_offset.is_none() {
            self.doubts.clock_offset = Some(wall.saturating_sub(now));
            self.trust.get_mut().clamp(wall);
        }
        for (name, outcome, at) in std::mem::take(&mut self.doubts.outcomes) {
            let (doubt, time) = (self.settings.doubt, self.trust_time(at));
            let started = if outcome.started > 0 { self.trust_time(outcome.started) } else { 0 };
            let outcome = Outcome { started, ..outcome };
            let failures =
                |trust: &Trust| trust.get(&outcome.worker).map_or(0, |record| record.failures);
            let before = failures(self.trust.get());
            let changes = self.trust.get_mut().record(&outcome, doubt, time);
            if failures(self.trust.get()) != before || !changes.is_empty() {
                self.trust.mark_changed();
            }
            self.replan |= !changes.is_empty();
            changes
                .into_iter()
                .for_each(|change| self.log_change(&name, &outcome.job, change, time));
        }
    }

    /// Drops what is known of an incarnation of a worker that has ended.
    pub(crate) fn forget_worker(&mut self, worker: &Incarnation) {
        self.doubts.outcomes.retain(|(_, outcome, _)| outcome.worker != *worker);
        if self.trust.get().get(worker).is_some_and(|record| record.failures > 0) {
            self.trust.mark_changed();
        }
        self.trust.get_mut().forget(worker);
    }

    /// Returns what a later owner should know of workers, if it is to be recorded now.
    pub(crate) fn due_trust(&mut self) -> Option<Trust> {
        let (doubt, time) = (self.settings.doubt, self.trust_time(self.now));
        self.trust.take_due(self.now).map(|trust| trust.for_row(doubt, time))
    }

    /// Returns the number of workers of each grade; empty while failures do not count against workers.
    pub fn worker_grades(&self) -> BTreeMap<Grade, usize> {
        let mut counts = BTreeMap::new();
        if self.settings.doubt == 0 {
            return counts;
        }
        let time = self.trust_time(self.now);
        for worker in self.agents.values().filter_map(|agent| agent.worker.as_ref()) {
            let grade = self.trust.get().grade(&worker.incarnation(), self.settings.doubt, time);
            *counts.entry(grade).or_default() += 1;
        }
        counts
    }

    /// Returns the standing of each worker of a snapshot; empty if the part is off.
    pub(crate) fn standings(&self, workers: &[WorkerState], now: u64) -> Vec<Standing> {
        if self.settings.doubt == 0 {
            return Vec::new();
        }
        let time = self.trust_time(now);
        let named = workers.iter().map(|worker| (&worker.incarnation, worker.pool.as_str()));
        let mut standings = self.trust.get().standings(named, self.settings.doubt, time);
        let doubtful: BTreeMap<&str, usize> = (standings.iter().zip(workers).enumerate())
            .filter(|(_, (standing, _))| standing.grade == Grade::Doubtful)
            .map(|(index, (_, worker))| (worker.name.as_str(), index))
            .collect();
        if doubtful.is_empty() {
            return standings;
        }
        for placed in self.jobs.values().flat_map(|entry| entry.runs.values()) {
            let Some(&index) = doubtful.get(placed.agent.as_str()) else { continue };
            let standing = &mut standings[index];
            standing.on_trial |= self.trust_time(placed.started_at) >= standing.doubted_at;
        }
        standings
    }

    /// Returns the indexes of doubtful workers at which a task started less than [`NEW_TRIAL_MS`]
    /// ago, or is starting.
    pub(crate) fn new_trials(
        &self,
        workers: &[WorkerState],
        standings: &[Standing],
        now: u64,
    ) -> BTreeSet<usize> {
        let tried = (standings.iter().zip(workers).enumerate())
            .filter(|(_, (standing, _))| standing.on_trial)
            .map(|(index, (_, worker))| (worker.name.as_str(), index));
        let tried: BTreeMap<&str, usize> = tried.collect();
        if tried.is_empty() {
            return BTreeSet::new();
        }
        let runs = self.jobs.values().flat_map(|entry| entry.runs.values());
        let new = runs.filter(|run| now < run.confirmed_at.unwrap_or(now) + NEW_TRIAL_MS);
        new.filter_map(|run| tried.get(run.agent.as_str()).copied()).collect()
    }

    /// Splits tasks that may start by what they can afford, last attempts first: their siblings
    /// must not take the sound workers from them. A gang counts as one task.
    pub(crate) fn split_attempts(
        &self,
        id: &Id,
        entry: &Entry,
        (occurrence, step): (u32, u32),
        (tasks, suspect): (Vec<u32>, bool),
    ) -> Vec<(Vec<u32>, bool)> {
        let gang = entry.job.steps.get(step as usize).is_some_and(|step| step.gang);
        if self.settings.doubt == 0 || gang || !entry.progress.has_failures() {
            return vec![(tasks, suspect)];
        }
        let mut groups: BTreeMap<Attempt, Vec<u32>> = BTreeMap::new();
        for index in tasks {
            let attempt = self.attempt_of(id, entry, (occurrence, step, index), self.now);
            groups.entry(attempt).or_default().push(index);
        }
        groups.into_values().rev().map(|tasks| (tasks, suspect)).collect()
    }

    /// Returns which workers a candidate may use, going by their standing.
    pub(crate) fn admission(
        &self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        snapshot: &Snapshot,
        now: u64,
    ) -> Admission {
        let attempt = self.attempt(candidate, now);
        let doubtful = |standing: &Standing| standing.grade == Grade::Doubtful;
        if snapshot.standings.is_empty()
            || (attempt == Attempt::Spare && !snapshot.standings.iter().any(doubtful))
        {
            return Admission::default();
        }
        let request = request(candidate, step, pool, &[]);
        let workers = snapshot.workers.iter().zip(&snapshot.standings).enumerate();
        let (count, gang, same_rack) = (u64::from(request.count), step.gang, step.same_rack);
        let demand = Demand { count, gang, same_rack };
        // For single tasks with attempts to spare, which are the most, only doubtful workers matter.
        let all = attempt != Attempt::Spare || demand.is_joint();
        let relevant = workers.filter(|(_, (_, standing))| all || doubtful(standing));
        let eligible = relevant.filter(|(_, (worker, _))| request.is_eligible(worker));
        let members: Vec<Member<'_>> = eligible
            .map(|(index, (worker, standing))| {
                let holds = request.max_tasks(index, &worker.capacity);
                Member { index, rack: &worker.rack, holds, standing: *standing }
            })
            .collect();
        Admission::decide(&members, &demand, attempt, self.trust_time(now))
    }

    /// Returns whether a worker of a reservation must not be used any more.
    pub(crate) fn is_doubted(
        &self,
        candidate: &Candidate,
        step: &Step,
        indexes: &[usize],
        snapshot: &Snapshot,
        now: u64,
    ) -> bool {
        let Some(entry) = self.jobs.get(&candidate.id) else { return false };
        let pool = self.pool_of(entry);
        let admission = self.admission(candidate, (step, &pool), snapshot, now);
        indexes.iter().any(|index| admission.excluded.contains(index))
    }

    /// Plans again when a doubt, a backoff or a wait for a sound worker ends, and begins such waits.
    /// For a candidate of which tasks were not placed.
    pub(crate) fn track_doubts(
        &mut self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        (snapshot, excluded, admission): (&mut Snapshot, &Exclusions, &Admission),
        (now, wall): (u64, u64),
    ) {
        let time = self.trust_time(now);
        let doubted = admission.excluded.iter().chain(&admission.trials);
        let changes = doubted.filter_map(|&index| snapshot.standings[index].changes_at(time));
        if let Some(at) = changes.min() {
            self.schedule_replan(wall + at - time);
        }
        if admission.unknown.is_empty() {
            return;
        }
        if self.fits_on_unknown(candidate, (step, pool), (snapshot, excluded, admission)) {
            for slot in self.unplaced_slots(candidate) {
                let waiting = self.doubts.waiting.entry(candidate.id.clone()).or_default();
                waiting.entry(slot).or_insert(now);
            }
        }
        let slots = self.unplaced_slots(candidate);
        let since = slots.into_iter().filter_map(|slot| self.waits_since(&candidate.id, slot));
        if let Some(since) = since.min() {
            self.schedule_replan(wall + Attempt::wait_ends(since).saturating_sub(now));
        }
    }

    /// Drops the waits of last attempts that have started or whose job has ended.
    pub(crate) fn prune_sound_waits(&mut self) {
        let jobs = &self.jobs;
        self.doubts.waiting.retain(|id, slots| {
            let entry = jobs.get(id).filter(|entry| !entry.progress.state.is_final());
            slots.retain(|slot, _| entry.is_some_and(|entry| !entry.runs.contains_key(slot)));
            !slots.is_empty()
        });
    }

    /// Formats which workers a step must not use, and for how long a last attempt of it could have
    /// started on an unknown one.
    pub(crate) fn doubted_detail(&self, entry: &Entry, step_key: &StepKey, now: u64) -> String {
        let (pool, time) = (self.pool_of(entry), self.trust_time(now));
        let mut doubtful = Vec::new();
        let mut sound = 0;
        for (name, agent) in &self.agents {
            let Some(worker) = agent.worker.as_ref().filter(|worker| worker.pool == pool) else {
                continue;
            };
            match self.trust.get().grade(&worker.incarnation(), self.settings.doubt, time) {
                Grade::Doubtful => doubtful.push(name.clone()),
                Grade::Sound => sound += 1,
                Grade::Unknown => {}
            }
        }
        let doubtful = if doubtful.is_empty() { "none".to_owned() } else { list(doubtful) };
        let (id, occurrence, step) = step_key;
        let slots = (*occurrence, *step, 0)..=(*occurrence, *step, u32::MAX);
        let waiting = self.doubts.waiting.get(id);
        let since = waiting.and_then(|waiting| waiting.range(slots).map(|(_, at)| *at).min());
        let unknown = match since {
            Some(at) => format!("; an unknown one had room {} ms ago", now.saturating_sub(at)),
            None => String::new(),
        };
        format!("{sound} sound; doubtful: {doubtful}{unknown}")
    }

    /// Classifies the start of a candidate's tasks, which are alike in this. Guaranteed work is due
    /// within a fixed time, so it does not wait for a sound worker.
    fn attempt(&self, candidate: &Candidate, now: u64) -> Attempt {
        let entry = self.jobs.get(&candidate.id);
        let (Some(entry), Some(&index)) = (entry, candidate.tasks.first()) else {
            return Attempt::Spare;
        };
        let key = (candidate.occurrence, candidate.step, index);
        match self.attempt_of(&candidate.id, entry, key, now) {
            Attempt::Last if candidate.guaranteed() => Attempt::Urgent,
            attempt => attempt,
        }
    }

    /// Classifies the next start of a task. Failures of perpetual tasks are not counted.
    fn attempt_of(&self, id: &Id, entry: &Entry, key: Key, now: u64) -> Attempt {
        if entry.step(key).is_none_or(|step| step.perpetual) {
            return Attempt::Spare;
        }
        let slot = entry.slot(key);
        let failures = entry.progress.failures(slot);
        let waited = self.waits_since(id, slot).map(|since| now.saturating_sub(since));
        Attempt::classify(entry.job.queue.attempts, failures, waited)
    }

    fn waits_since(&self, id: &Id, slot: Key) -> Option<u64> {
        self.doubts.waiting.get(id)?.get(&slot).copied()
    }

    /// Returns the slots of a candidate's tasks that have no run.
    fn unplaced_slots(&self, candidate: &Candidate) -> Vec<Key> {
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        let keys =
            candidate.tasks.iter().map(|&index| (candidate.occurrence, candidate.step, index));
        keys.filter(|key| !entry.runs.contains_key(key)).map(|key| entry.slot(key)).collect()
    }

    /// Returns whether more of a candidate's tasks could start now if it used unknown workers.
    fn fits_on_unknown(
        &self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        (snapshot, excluded, admission): (&mut Snapshot, &Exclusions, &Admission),
    ) -> bool {
        let Some(entry) = self.jobs.get(&candidate.id) else { return false };
        let tasks_by_worker =
            tasks_per_worker(entry, (candidate.occurrence, candidate.step), &snapshot.workers);
        let doubted = admission.excluded.iter().filter(|index| !admission.unknown.contains(index));
        let doubted = doubted.copied().collect();
        let others = Exclusions { doubted, ..excluded.clone() };
        let count = self.unplaced_tasks(candidate) as u32;
        let request = Request { count, ..request(candidate, step, pool, &tasks_by_worker) };
        let hidden = snapshot.hide(&others.indexes());
        let fits = !pack(&snapshot.workers, &request).is_empty();
        snapshot.show(hidden);
        fits
    }

    /// Returns the time in the records that corresponds to a time of this owner.
    fn trust_time(&self, now: u64) -> u64 {
        now + self.doubts.clock_offset.unwrap_or(0)
    }

    fn log_change(&mut self, name: &str, id: &str, change: Change, time: u64) {
        match change {
            Change::Doubted(record) => {
                let (facts, backoff) = (facts(&record, time), record.backoff());
                let detail =
                    format!("{name}: a run of {id} failed; {facts}; next trial in {backoff} ms");
                self.log("worker doubted", name, detail);
            }
            Change::SoundAgain(record) => {
                let facts = facts(&record, time);
                let detail = format!("{name}: a run of {id} succeeded; before: {facts}");
                self.log("worker sound again", name, detail);
            }
            Change::Attributed(job, workers) => {
                let detail = format!("other jobs succeed at workers {}", list(workers));
                self.log("failures attributed", &job, detail);
            }
        }
    }
}

/// Formats a record's failures and their age.
fn facts(record: &Record, time: u64) -> String {
    let age = |at: u64| time.saturating_sub(at);
    let Record { failures, immediate, .. } = record;
    let success = match record.last_success {
        Some(at) => format!("last success {} ms ago", age(at)),
        None => "no success".to_owned(),
    };
    format!(
        "{failures} failures in a row, {immediate} at once, of {} jobs, the first {} ms ago, the \
         last {} ms ago; {success}",
        record.jobs(),
        age(record.first_failure),
        age(record.last_failure),
    )
}

/// How long a trial of a doubtful worker counts as new. Faulty workers fail most runs at once, after
/// 500 ms at most.
pub(crate) const NEW_TRIAL_MS: u64 = 1000;

/// Returns the request to place a candidate's tasks.
fn request<'a>(
    candidate: &Candidate,
    step: &'a Step,
    pool: &'a str,
    tasks_by_worker: &'a [u32],
) -> Request<'a> {
    Request {
        step,
        pool,
        count: candidate.tasks.len() as u32,
        waits_for_rack: true,
        preempts: Protection::Lower,
        ignores_ending: false,
        tasks_by_worker,
    }
}

/// Limits of a worker while one step is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit {
    index: usize,
    deprioritized: bool,
    /// Its free capacity without the limit.
    free: Resources,
    /// Its free capacity with the limit.
    limited: Resources,
}

impl Snapshot {
    /// Limits doubtful workers that are due for a trial to one task of this step, and makes the
    /// workers that are the last choice such. [`Snapshot::lift_limits`] must follow.
    pub fn limit(&mut self, admission: &Admission, step: &Step) -> Vec<Limit> {
        let need = step.resources();
        let mut limits = Vec::new();
        for &index in &admission.least {
            let worker = &mut self.workers[index];
            let (deprioritized, free) = (worker.deprioritized, worker.free);
            worker.deprioritized = true;
            if admission.trials.contains(&index) && need.fits(&free) {
                worker.free = need;
            }
            limits.push(Limit { index, deprioritized, free, limited: worker.free });
        }
        limits
    }

    /// Lifts the limits again, except on workers whose trial has started.
    pub fn lift_limits(&mut self, limits: Vec<Limit>) {
        for Limit { index, deprioritized, free, limited } in limits {
            let on_trial = self.standings[index].on_trial;
            let worker = &mut self.workers[index];
            worker.deprioritized = deprioritized;
            let mut taken = limited;
            taken.subtract(&worker.free);
            worker.free = if on_trial { Resources::default() } else { free };
            worker.free.subtract(&taken);
        }
    }

    /// Records a start at a worker. A doubtful one then takes nothing else.
    pub fn record_trial(&mut self, index: usize) {
        if let Some(standing) = self.standings.get_mut(index) {
            standing.on_trial |= standing.grade == Grade::Doubtful;
            if standing.on_trial {
                self.new_trials.insert(index);
            }
        }
    }
}
