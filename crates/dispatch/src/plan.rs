//! What starts next, and what gives way to it.

use std::collections::BTreeMap;

use quincewheel_job::{Id, Incarnation, Resources, Step};
use quincewheel_place::{Protection, Request, WorkerState, pack};
use quincewheel_policy::{
    Guarantees, Rank, START_ISOLATION_MS, core_weight, is_half_free, release_whole_workers,
    reserve_whole_workers,
};
use quincewheel_wire::Order;

use crate::candidate::Candidate;
use crate::entry::{Entry, Phase, Placement};
use crate::guide::Guide;
use crate::owner::{Owner, task};
use crate::snapshot::{Barred, Snapshot};
use crate::suspects::{RecentStart, isolate_suspects};

impl Owner {
    /// Decides what starts now.
    pub(crate) fn plan(&mut self, now: u64, wall: u64) {
        for (id, entry) in &mut self.jobs {
            if entry.job.queue.priority == 0 {
                entry.update_has_begun(id);
            }
            entry.idle_since = entry.runs.is_empty().then(|| entry.idle_since.unwrap_or(now));
        }
        let mut candidates = self.candidates(wall);
        // Guaranteed work whose room is being made comes first: else what ranks before it would
        // take that room, and both would be late in turn.
        candidates.sort_by_key(|candidate| (!self.is_promised(candidate), candidate.rank));
        let mut snapshot = self.snapshot(now);
        self.waits.begin();
        for candidate in &candidates {
            self.serve(candidate, &mut snapshot, now, wall);
        }
        // What waits for a suspect to outlive its start is decided by time alone.
        if snapshot.recent_starts.values().any(|fresh| *fresh == RecentStart::Suspect) {
            self.schedule_replan(wall + START_ISOLATION_MS);
        }
        self.note_held_back(now, wall);
        self.tell_waited(now);
    }

    /// Everything whose turn has come.
    fn candidates(&mut self, wall: u64) -> Vec<Candidate> {
        let (settled, now) = (self.settled, self.now);
        let mut guarantees = self.guaranteed_use();
        let mut next_due: Option<u64> = None;
        let mut found = Vec::new();
        let pools = self.pools();
        let guide = Guide { times: &self.times, pools: &pools };
        let mut jobs: Vec<(&Id, &Entry)> = self.jobs.iter().collect();
        jobs.sort_by_key(|(_, entry)| entry.version);
        for (id, entry) in jobs {
            // What a former owner may have started is known only once all
            // agents were heard.
            if entry.progress.state.is_final() || (!settled && entry.version <= self.claim_version)
            {
                continue;
            }
            for occurrence in 0..entry.job.occurrences() {
                if let Some(schedule) = entry.job.schedule {
                    let due = schedule.due(occurrence);
                    if due > wall {
                        next_due = Some(next_due.map_or(due, |known| known.min(due)));
                        break;
                    }
                }
                let goal = guide.goal(entry, occurrence);
                for (number, step) in (0u32..).zip(&entry.job.steps) {
                    let tasks = pending(entry, occurrence, number, step, id);
                    if tasks.is_empty() {
                        continue;
                    }
                    for group in isolate_suspects(id, entry, (occurrence, number), tasks, now) {
                        let need = step.need.accelerators * group.0.len() as u64;
                        // One that has begun and gave way comes after those that have not: it
                        // would take the room back that was made for them.
                        let covered = entry.job.queue.priority == 0
                            && !entry.guarantee_preempted
                            && guarantees.try_use(&entry.job.team, need);
                        let rank = Rank {
                            borrowed: !covered,
                            priority: entry.job.queue.priority,
                            lateness: goal.lateness(wall),
                            latest_start: goal.latest_start(),
                            version: entry.version,
                        };
                        let work = core_weight(step) * guide.expect(entry, number, step);
                        found.push(Candidate::open(id, (occurrence, number), group, rank, work));
                    }
                }
            }
        }
        drop(guarantees);
        self.replan_at = next_due;
        found
    }

    /// True if room is being made for it that it is guaranteed.
    fn is_promised(&self, candidate: &Candidate) -> bool {
        let place = (candidate.occurrence, candidate.step);
        let entry = self.jobs.get(&candidate.id);
        candidate.guaranteed() && entry.is_some_and(|entry| entry.reservations.contains_key(&place))
    }

    /// What the workers of each pool have in all.
    pub(crate) fn pools(&self) -> BTreeMap<String, Resources> {
        let mut pools: BTreeMap<String, Resources> = BTreeMap::new();
        for worker in self.agents.values().filter_map(|agent| agent.worker.as_ref()) {
            pools.entry(worker.pool.clone()).or_default().add(&worker.capacity);
        }
        pools
    }

    /// True once nothing that a former owner started can be unknown: each agent
    /// was heard, or what was granted to it has lapsed.
    ///
    /// A former owner that does not know that it was replaced grants on while
    /// it speaks to most agents, and misses them soon after most follow this owner.
    pub(crate) fn check_settled(&mut self, now: u64) -> bool {
        let heard = self.agents.values().filter(|agent| agent.reconciled).count();
        if self.majority_since.is_none() && heard * 2 >= self.agents.len() {
            self.majority_since = Some(now);
        }
        let (last, lease) = self.predecessor_grants();
        self.agents.values().all(|agent| agent.is_clear_of_predecessors(last, lease, now))
    }

    /// When a former owner granted its last lease at the latest, and how long
    /// that holds.
    pub(crate) fn predecessor_grants(&self) -> (u64, u64) {
        let last = match self.majority_since {
            None => self.claimed_at + self.settings.grants_stop_after,
            Some(_) if self.predecessor_ended => self.claimed_at,
            // It grants to all until the table has not confirmed it for a while, and then
            // for as long as it takes to miss the agents that follow this owner now.
            Some(since) => {
                (since + self.settings.quorum_age).max(self.claimed_at + self.settings.quorum_after)
            }
        };
        (last, self.settings.lease + self.settings.lease_margin)
    }

    /// Agents whose workers may still run what a former owner started.
    pub(crate) fn unreconciled_agents(&self) -> impl Iterator<Item = &str> {
        self.agents.iter().filter(|(_, agent)| !agent.reconciled).map(|(name, _)| name.as_str())
    }

    /// Accelerators that each team's jobs of priority 0 hold.
    fn guaranteed_use(&self) -> Guarantees<impl Fn(&str) -> u64> {
        let mut guarantees = self.guarantees();
        for entry in self.jobs.values().filter(|entry| entry.job.queue.priority == 0) {
            for key in entry.runs.keys() {
                let need = entry.step(*key).map_or(0, |step| step.need.accelerators);
                guarantees.record_use(&entry.job.team, need);
            }
        }
        guarantees
    }

    /// Starts what it can of one candidate, or makes room for it.
    fn serve(&mut self, candidate: &Candidate, snapshot: &mut Snapshot, now: u64, wall: u64) {
        let Some(entry) = self.jobs.get(&candidate.id) else { return };
        let place = (candidate.occurrence, candidate.step);
        if let Some(reservation) = entry.reservations.get(&place).cloned() {
            if self.redeem(candidate, &reservation, snapshot, now) {
                self.record_reserved_wait(candidate, now);
                return;
            }
            if let Some(entry) = self.jobs.get_mut(&candidate.id) {
                entry.reservations.remove(&place);
            }
        }
        let Some(entry) = self.jobs.get(&candidate.id) else { return };
        let Some(step) = entry.job.steps.get(candidate.step as usize).cloned() else { return };
        let pool = self.pool_of(entry);
        let barred = Barred {
            uncleared: self.uncleared(candidate, snapshot, now),
            avoided: self.avoided_places(candidate, snapshot, now),
            apart: self.excluded_places(candidate, snapshot),
        };
        let places = barred.places();
        let spared = match candidate.suspect {
            true => self.place_suspect(candidate, (&step, &pool), (snapshot, &places), (now, wall)),
            false => {
                self.place_elsewhere(candidate, (&step, &pool), (snapshot, &places), (now, wall))
            }
        };
        if self.unplaced_tasks(candidate) == 0 {
            return;
        }
        if !barred.apart.is_empty() {
            self.schedule_replan(wall + START_ISOLATION_MS);
        }
        if !barred.uncleared.is_empty() {
            self.request_clearance(
                candidate,
                roomiest(&barred.uncleared, snapshot, &pool, &step.label),
                now,
            );
        }
        let bars = snapshot.bars(&spared, &barred);
        self.record_wait(candidate, snapshot, &bars, now);
    }

    /// Starts what it can of one candidate on the workers at other places than these.
    pub(crate) fn place_elsewhere(
        &mut self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        (snapshot, barred): (&mut Snapshot, &[usize]),
        time: (u64, u64),
    ) -> Vec<usize> {
        let hidden = snapshot.hide(barred);
        let spared = self.place(candidate, step, pool, snapshot, time);
        snapshot.show(hidden);
        spared
    }

    /// Tasks of it that have no place yet.
    pub(crate) fn unplaced_tasks(&self, candidate: &Candidate) -> usize {
        let Some(entry) = self.jobs.get(&candidate.id) else { return 0 };
        let key = |index: u32| (candidate.occurrence, candidate.step, index);
        candidate.tasks.iter().filter(|&&index| !entry.runs.contains_key(&key(index))).count()
    }

    /// The places whose workers the step is not cleared for; none on a queue
    /// that needs no clearance.
    fn uncleared(&self, candidate: &Candidate, snapshot: &Snapshot, now: u64) -> Vec<usize> {
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        if entry.job.queue.advice.is_none() {
            return Vec::new();
        }
        let key = (candidate.occurrence, candidate.step, 0);
        let cleared = |spot: &WorkerState| entry.ticket(key, &spot.incarnation, now).is_some();
        let places = snapshot.spots.iter().enumerate();
        places.filter(|(_, spot)| !cleared(spot)).map(|(place, _)| place).collect()
    }

    /// Starts what it can of one candidate on the workers that are not hidden,
    /// or makes room for it there. Returns the places that it leaves to others.
    fn place(
        &mut self,
        candidate: &Candidate,
        step: &Step,
        pool: &str,
        snapshot: &mut Snapshot,
        (now, wall): (u64, u64),
    ) -> Vec<usize> {
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        let held = held(entry, (candidate.occurrence, candidate.step), &snapshot.spots);
        let count = candidate.tasks.len() as u32;
        let begin = entry.job.schedule.map_or(entry.job.accepted, |s| s.due(candidate.occurrence));
        let patient = wall < begin + PATIENCE;
        let ask = Request {
            step,
            pool,
            count,
            waits_for_rack: patient,
            preempts: Protection::Lower,
            ignores_ending: false,
            tasks_by_worker: &held,
        };
        let waits_until =
            self.waits_until(candidate, is_half_free(&snapshot.spots, pool), (now, wall));
        let spared = waits_until
            .map(|_| reserve_whole_workers(&mut snapshot.spots, pool))
            .unwrap_or_default();
        let choices = pack(&snapshot.spots, &ask);
        let spared = release_whole_workers(&mut snapshot.spots, spared);
        let started = choices.len();
        if started < candidate.tasks.len() {
            // Time alone gives it places that it leaves to others now.
            let patience = Some(begin + PATIENCE).filter(|_| patient);
            for at in [waits_until, patience].into_iter().flatten() {
                self.schedule_replan(at);
            }
        }
        let pairs: Vec<(u32, usize)> =
            candidate.tasks.iter().copied().zip(choices.iter().copied()).collect();
        self.start_tasks(candidate, step, &pairs, snapshot, now);
        // Nobody gives way to what may crash the worker that is cleared for it.
        let takes = candidate.rank.may_preempt() && !candidate.suspect;
        if takes && started < candidate.tasks.len() {
            self.make_room(candidate, step, pool, started, snapshot, (now, wall));
        }
        spared
    }

    /// Until when the candidate leaves whole workers to work that has less time,
    /// in milliseconds since 1970; none if it does not.
    ///
    /// A job of which nothing runs does so only for a short while where much of
    /// the pool is free: urgent work finds room there anyway, and a job that
    /// stood still beside idle workers until its time pressed would not be
    /// understood.
    fn waits_until(
        &self,
        candidate: &Candidate,
        half_free: bool,
        (now, wall): (u64, u64),
    ) -> Option<u64> {
        let until = candidate.rank.yields_workers_until().filter(|&until| until > wall)?;
        let idle = self.jobs.get(&candidate.id).and_then(|entry| entry.idle_since);
        match idle.filter(|_| half_free) {
            Some(since) if now >= since + IDLE => None,
            Some(since) => Some(until.min(wall + since + IDLE - now)),
            None => Some(until),
        }
    }

    /// Sees to it that the next round is no later than this time of day.
    pub(crate) fn schedule_replan(&mut self, at: u64) {
        self.replan_at = Some(self.replan_at.map_or(at, |due| due.min(at)));
    }

    /// The pool that runs a job now: a configuration may have moved its queue.
    pub(crate) fn pool_of(&self, entry: &Entry) -> String {
        let queue = self.config.queues.get(&entry.job.queue.name);
        queue.unwrap_or(&entry.job.queue).pool.clone()
    }

    /// Orders the start of tasks on the chosen workers.
    pub(crate) fn start_tasks(
        &mut self,
        candidate: &Candidate,
        step: &Step,
        pairs: &[(u32, usize)],
        snapshot: &mut Snapshot,
        now: u64,
    ) {
        let need = step.resources();
        let gang_unit = self.next_unit;
        for &(index, place) in pairs {
            let spot = &mut snapshot.spots[place];
            spot.free.subtract(&need);
            snapshot.actual_free[place].subtract(&need);
            let name = spot.name.clone();
            let fresh = if candidate.suspect { RecentStart::Suspect } else { RecentStart::Any };
            fresh.record(&mut snapshot.recent_starts, place);
            let Some(worker) = self.agents.get(&name).and_then(|agent| agent.worker.as_ref())
            else {
                continue;
            };
            let worker = worker.incarnation();
            let key = (candidate.occurrence, candidate.step, index);
            let unit = if step.gang { gang_unit } else { self.next_unit };
            self.next_unit = self.next_unit.max(unit) + 1;
            let first = pairs.first().is_some_and(|pair| pair.0 == index);
            let Some(entry) = self.jobs.get_mut(&candidate.id) else { return };
            let slot = entry.slot(key);
            let base = (self.epoch - 1) * RUNS_PER_EPOCH;
            let number = entry.run_numbers.entry(slot).or_insert(base);
            *number = (*number).max(base);
            if first || !step.gang {
                *number += 1;
            }
            let run = *number;
            let saved = entry.saved.get(&slot).cloned().unwrap_or_default();
            let spec = entry.job.spec.clone();
            let ticket = entry.ticket(key, &worker, now).unwrap_or_default().to_owned();
            let placed = Placement {
                agent: name.clone(),
                worker: worker.clone(),
                run,
                phase: Phase::Starting,
                updated_at: now,
                started_at: now,
                unit,
                percent: 0,
                confirmed_at: None,
                progressed_at: now,
                pace: 100,
                from_scratch: saved.is_empty(),
                first_listed_at: None,
                survived_start: false,
                preempted_by: None,
            };
            entry.runs.insert(key, placed);
            let task = task(&candidate.id, key);
            self.log("start", &candidate.id, format!("{task} run {run} at {name}"));
            self.send_to_agent(
                &name,
                Order::Start { worker, task, run, spec, saved, ticket, again: false },
            );
        }
    }
}

/// Numbers of runs that each epoch has for one task. An owner numbers runs
/// from its epoch on, so that they rise over a takeover without a record of
/// each start; no task starts so often under one owner.
const RUNS_PER_EPOCH: u64 = 1000;

/// The tasks of a step that wait for a place: all of a gang or none.
pub(crate) fn pending(
    entry: &Entry,
    occurrence: u32,
    number: u32,
    step: &Step,
    id: &str,
) -> Vec<u32> {
    let progress = &entry.progress;
    if progress.is_step_done(occurrence, number, step)
        || !progress.is_step_ready(&entry.job, occurrence, step)
        || (step.gang && entry.has_runs(occurrence, number))
    {
        return Vec::new();
    }
    let open = |index: &u32| {
        let key = (occurrence, number, *index);
        !entry.runs.contains_key(&key) && !progress.is_done(&task(id, key))
    };
    (0..step.count).filter(open).collect()
}

/// The workers at these places that could run a step, those with the most room
/// first.
fn roomiest(places: &[usize], snapshot: &Snapshot, pool: &str, label: &String) -> Vec<Incarnation> {
    let fits = |spot: &&WorkerState| {
        spot.pool == pool && (label.is_empty() || spot.labels.contains(label))
    };
    let mut spots: Vec<&WorkerState> =
        places.iter().map(|&place| &snapshot.spots[place]).filter(fits).collect();
    spots.sort_by_key(|spot| std::cmp::Reverse(spot.free.accelerators));
    spots.into_iter().map(|spot| spot.incarnation.clone()).collect()
}

/// Tasks of the step that each worker has.
pub(crate) fn held(
    entry: &Entry,
    (occurrence, step): (u32, u32),
    spots: &[WorkerState],
) -> Vec<u32> {
    let range = (occurrence, step, 0)..=(occurrence, step, u32::MAX);
    let mut held = vec![0; spots.len()];
    for (_, placed) in entry.runs.range(range) {
        if let Some(place) = spots.iter().position(|spot| spot.name == placed.agent) {
            held[place] += 1;
        }
    }
    held
}

/// A job of which nothing runs leaves whole workers to urgent work for so many
/// milliseconds while half of the pool is free.
const IDLE: u64 = 1500;

/// A gang that wants one rack waits for it for so many milliseconds while half
/// of the pool is free. A stop takes up to 900, so room that is made for it
/// comes sooner.
const PATIENCE: u64 = 2000;
