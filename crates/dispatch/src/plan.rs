//! What starts next, and what gives way to it.

use std::collections::BTreeMap;

use quincewheel_job::{Id, Incarnation, Resources, Step};
use quincewheel_place::{Protection, Request, WorkerState, pack};
use quincewheel_policy::{
    Guarantees, Rank, START_ISOLATION_MS, core_weight, is_half_free, release_whole_workers,
    reserve_whole_workers,
};
use quincewheel_wire::Order;

use crate::board::{Barred, Board};
use crate::candidate::Candidate;
use crate::entry::{Entry, Phase, Placed};
use crate::guide::Guide;
use crate::owner::{Owner, task};
use crate::suspects::{Fresh, one_by_one};

impl Owner {
    /// Decides what starts now.
    pub(crate) fn plan(&mut self, now: u64, wall: u64) {
        for (id, entry) in &mut self.jobs {
            if entry.job.queue.priority == 0 {
                entry.note_begun(id);
            }
            entry.idle = entry.runs.is_empty().then(|| entry.idle.unwrap_or(now));
        }
        let mut candidates = self.candidates(wall);
        // Guaranteed work whose room is being made comes first: else what ranks before it would
        // take that room, and both would be late in turn.
        candidates.sort_by_key(|candidate| (!self.is_promised(candidate), candidate.rank));
        let mut board = self.board(now);
        self.waits.begin();
        for candidate in &candidates {
            self.serve(candidate, &mut board, now, wall);
        }
        // What waits for a suspect to outlive its start is decided by time alone.
        if board.fresh.values().any(|fresh| *fresh == Fresh::Suspect) {
            self.look_again(wall + START_ISOLATION_MS);
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
                    for group in one_by_one(id, entry, (occurrence, number), tasks, now) {
                        let need = step.need.accelerators * group.0.len() as u64;
                        // One that has begun and gave way comes after those that have not: it
                        // would take the room back that was made for them.
                        let covered = entry.job.queue.priority == 0
                            && !entry.gave_way
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
        self.next_due = next_due;
        found
    }

    /// True if room is being made for it that it is guaranteed.
    fn is_promised(&self, candidate: &Candidate) -> bool {
        let place = (candidate.occurrence, candidate.step);
        let entry = self.jobs.get(&candidate.id);
        candidate.guaranteed() && entry.is_some_and(|entry| entry.reserved.contains_key(&place))
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
    pub(crate) fn settled(&mut self, now: u64) -> bool {
        let heard = self.agents.values().filter(|agent| agent.heard).count();
        if self.followed.is_none() && heard * 2 >= self.agents.len() {
            self.followed = Some(now);
        }
        let (last, lease) = self.former_grants();
        self.agents.values().all(|agent| agent.clear(last, lease, now))
    }

    /// When a former owner granted its last lease at the latest, and how long
    /// that holds.
    pub(crate) fn former_grants(&self) -> (u64, u64) {
        let last = match self.followed {
            None => self.claimed + self.settings.autonomy,
            Some(_) if self.former_gone => self.claimed,
            // It grants to all until the table has not confirmed it for a while, and then
            // for as long as it takes to miss the agents that follow this owner now.
            Some(since) => {
                (since + self.settings.fresh).max(self.claimed + self.settings.unconfirmed)
            }
        };
        (last, self.settings.lease + self.settings.margin)
    }

    /// Agents whose workers may still run what a former owner started.
    pub(crate) fn unheard(&self) -> impl Iterator<Item = &str> {
        self.agents.iter().filter(|(_, agent)| !agent.heard).map(|(name, _)| name.as_str())
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
    fn serve(&mut self, candidate: &Candidate, board: &mut Board, now: u64, wall: u64) {
        let Some(entry) = self.jobs.get(&candidate.id) else { return };
        let place = (candidate.occurrence, candidate.step);
        if let Some(reservation) = entry.reserved.get(&place).cloned() {
            if self.redeem(candidate, &reservation, board, now) {
                self.note_reserved(candidate, now);
                return;
            }
            if let Some(entry) = self.jobs.get_mut(&candidate.id) {
                entry.reserved.remove(&place);
            }
        }
        let Some(entry) = self.jobs.get(&candidate.id) else { return };
        let Some(step) = entry.job.steps.get(candidate.step as usize).cloned() else { return };
        let pool = self.pool(entry);
        let barred = Barred {
            uncleared: self.uncleared(candidate, board, now),
            avoided: self.avoided(candidate, board, now),
            apart: self.kept_apart(candidate, board),
        };
        let places = barred.places();
        let spared = match candidate.suspect {
            true => self.try_suspect(candidate, (&step, &pool), (board, &places), (now, wall)),
            false => self.place_on_rest(candidate, (&step, &pool), (board, &places), (now, wall)),
        };
        if self.unplaced(candidate) == 0 {
            return;
        }
        if !barred.apart.is_empty() {
            self.look_again(wall + START_ISOLATION_MS);
        }
        if !barred.uncleared.is_empty() {
            self.ask(candidate, roomiest(&barred.uncleared, board, &pool, &step.label), now);
        }
        let bars = board.bars(&spared, &barred);
        self.note_wait(candidate, board, &bars, now);
    }

    /// Starts what it can of one candidate on the workers at other places than these.
    pub(crate) fn place_on_rest(
        &mut self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        (board, barred): (&mut Board, &[usize]),
        time: (u64, u64),
    ) -> Vec<usize> {
        let hidden = board.hide(barred);
        let spared = self.place(candidate, step, pool, board, time);
        board.show(hidden);
        spared
    }

    /// Tasks of it that have no place yet.
    pub(crate) fn unplaced(&self, candidate: &Candidate) -> usize {
        let Some(entry) = self.jobs.get(&candidate.id) else { return 0 };
        let key = |index: u32| (candidate.occurrence, candidate.step, index);
        candidate.tasks.iter().filter(|&&index| !entry.runs.contains_key(&key(index))).count()
    }

    /// The places whose workers the step is not cleared for; none on a queue
    /// that needs no clearance.
    fn uncleared(&self, candidate: &Candidate, board: &Board, now: u64) -> Vec<usize> {
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        if entry.job.queue.advice.is_none() {
            return Vec::new();
        }
        let key = (candidate.occurrence, candidate.step, 0);
        let cleared = |spot: &WorkerState| entry.ticket(key, &spot.incarnation, now).is_some();
        let places = board.spots.iter().enumerate();
        places.filter(|(_, spot)| !cleared(spot)).map(|(place, _)| place).collect()
    }

    /// Starts what it can of one candidate on the workers that are not hidden,
    /// or makes room for it there. Returns the places that it leaves to others.
    fn place(
        &mut self,
        candidate: &Candidate,
        step: &Step,
        pool: &str,
        board: &mut Board,
        (now, wall): (u64, u64),
    ) -> Vec<usize> {
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        let held = held(entry, (candidate.occurrence, candidate.step), &board.spots);
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
            self.waits_until(candidate, is_half_free(&board.spots, pool), (now, wall));
        let spared =
            waits_until.map(|_| reserve_whole_workers(&mut board.spots, pool)).unwrap_or_default();
        let choices = pack(&board.spots, &ask);
        let spared = release_whole_workers(&mut board.spots, spared);
        let started = choices.len();
        if started < candidate.tasks.len() {
            // Time alone gives it places that it leaves to others now.
            let patience = Some(begin + PATIENCE).filter(|_| patient);
            for at in [waits_until, patience].into_iter().flatten() {
                self.look_again(at);
            }
        }
        let pairs: Vec<(u32, usize)> =
            candidate.tasks.iter().copied().zip(choices.iter().copied()).collect();
        self.start(candidate, step, &pairs, board, now);
        // Nobody gives way to what may crash the worker that is cleared for it.
        let takes = candidate.rank.may_preempt() && !candidate.suspect;
        if takes && started < candidate.tasks.len() {
            self.make_room(candidate, step, pool, started, board, (now, wall));
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
        let idle = self.jobs.get(&candidate.id).and_then(|entry| entry.idle);
        match idle.filter(|_| half_free) {
            Some(since) if now >= since + IDLE => None,
            Some(since) => Some(until.min(wall + since + IDLE - now)),
            None => Some(until),
        }
    }

    /// Sees to it that the next round is no later than this time of day.
    pub(crate) fn look_again(&mut self, at: u64) {
        self.next_due = Some(self.next_due.map_or(at, |due| due.min(at)));
    }

    /// The pool that runs a job now: a configuration may have moved its queue.
    pub(crate) fn pool(&self, entry: &Entry) -> String {
        let queue = self.config.queues.get(&entry.job.queue.name);
        queue.unwrap_or(&entry.job.queue).pool.clone()
    }

    /// Orders the start of tasks on the chosen workers.
    pub(crate) fn start(
        &mut self,
        candidate: &Candidate,
        step: &Step,
        pairs: &[(u32, usize)],
        board: &mut Board,
        now: u64,
    ) {
        let need = step.resources();
        let gang_unit = self.next_unit;
        for &(index, place) in pairs {
            let spot = &mut board.spots[place];
            spot.free.subtract(&need);
            board.actual[place].subtract(&need);
            let name = spot.name.clone();
            let fresh = if candidate.suspect { Fresh::Suspect } else { Fresh::Any };
            fresh.note(&mut board.fresh, place);
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
            let slot = entry.key(key);
            let base = (self.epoch - 1) * RUNS_PER_EPOCH;
            let number = entry.numbers.entry(slot).or_insert(base);
            *number = (*number).max(base);
            if first || !step.gang {
                *number += 1;
            }
            let run = *number;
            let saved = entry.saved.get(&slot).cloned().unwrap_or_default();
            let spec = entry.job.spec.clone();
            let ticket = entry.ticket(key, &worker, now).unwrap_or_default().to_owned();
            let placed = Placed {
                agent: name.clone(),
                worker: worker.clone(),
                run,
                phase: Phase::Starting,
                since: now,
                began: now,
                unit,
                percent: 0,
                confirmed: None,
                moved: now,
                pace: 100,
                whole: saved.is_empty(),
                listed: None,
                outlived: false,
                yields_to: None,
            };
            entry.runs.insert(key, placed);
            let task = task(&candidate.id, key);
            self.log("start", &candidate.id, format!("{task} run {run} at {name}"));
            self.order(
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
        || (step.gang && entry.placed(occurrence, number))
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
fn roomiest(places: &[usize], board: &Board, pool: &str, label: &String) -> Vec<Incarnation> {
    let fits = |spot: &&WorkerState| {
        spot.pool == pool && (label.is_empty() || spot.labels.contains(label))
    };
    let mut spots: Vec<&WorkerState> =
        places.iter().map(|&place| &board.spots[place]).filter(fits).collect();
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
