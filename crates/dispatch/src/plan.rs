//! Planning: which waiting tasks start now, in which order, and on which workers.

use std::collections::BTreeMap;

use quincewheel_job::{Id, Resources, Step};
use quincewheel_place::{Protection, Request, WorkerState};
use quincewheel_policy::{
    Guarantees, Rank, START_ISOLATION_MS, core_weight, is_any_resource_half_free,
    release_whole_workers, reserve_whole_workers,
};

use crate::candidate::Candidate;
use crate::entry::{Entry, Reservation};
use crate::idle_jobs::MAX_IDLE_WAIT_MS;
use crate::owner::{Owner, task};
use crate::ownership::MAX_TICK_GAP_MS;
use crate::snapshot::{Exclusions, Snapshot};
use crate::suspects::isolate_suspects;

impl Owner {
    /// Runs one round of planning: starts what fits in order of rank, makes room where that is
    /// allowed, and records why the rest waits.
    pub(crate) fn plan(&mut self, now: u64, wall: u64) {
        self.planned_at = Some(now);
        for (id, entry) in &mut self.jobs {
            if entry.job.queue.priority == 0 {
                entry.update_has_begun(id);
            }
            if entry.runs.is_empty() {
                entry.vacant_since.get_or_insert(now);
            }
        }
        for agent in self.agents.values_mut() {
            agent.planned_open = agent.accepts_runs(&self.settings, now);
        }
        self.replan_at = None;
        self.give_up_suspects();
        self.update_factors(now, wall);
        let mut snapshot = self.snapshot(now);
        self.update_room(&snapshot);
        self.update_under_half(&snapshot, now);
        self.prune_sound_waits();
        self.begin_shares(now, wall);
        let mut candidates = self.candidates(wall);
        // Guaranteed work whose capacity is being freed comes first. Otherwise work that ranks
        // before it would take that capacity, and both would be late in turn. Before it come suspects
        // that have waited for too long, as any start at a worker puts them off there.
        candidates.sort_by_key(|candidate| {
            let is_overdue_suspect = self.is_overdue_suspect(candidate, &snapshot, (now, wall));
            (!is_overdue_suspect, !self.has_reserved_guarantee(candidate), candidate.rank)
        });
        self.waits.begin_round();
        self.plan_claims(&candidates, &snapshot, (now, wall));
        for candidate in &candidates {
            self.start_candidate(candidate, &mut snapshot, now, wall);
        }
        self.update_under_half(&snapshot, now);
        self.request_clearance(&mut snapshot);
        self.end_claims_round();
        self.schedule_suspects(now, wall);
        self.record_held_back(now);
        self.log_ended_waits(now);
        self.end_shares();
    }

    /// Returns the tasks that could start now, grouped by step.
    fn candidates(&self, wall: u64) -> Vec<Candidate> {
        let now = self.now;
        let mut guarantees = self.guaranteed_usage();
        let mut found = Vec::new();
        let pools = self.pools();
        let estimator = self.estimator(&pools);
        let mut jobs: Vec<(&Id, &Entry)> = self.jobs.iter().collect();
        jobs.sort_by_key(|(_, entry)| entry.version);
        for (id, entry) in jobs {
            if entry.progress.state.is_final() || self.awaits_confirmation(entry) {
                continue;
            }
            for occurrence in 0..entry.due_occurrences() {
                let objective = estimator.objective_of(entry, occurrence);
                for (number, step) in (0u32..).zip(&entry.job.steps) {
                    let at = (occurrence, number);
                    if !self.is_step_accounted_for(entry, at) || entry.is_step_refused(at, now) {
                        continue;
                    }
                    let tasks = pending_tasks(entry, occurrence, number, step, id);
                    if tasks.is_empty() {
                        continue;
                    }
                    let time = estimator.estimate(entry, number, step);
                    let groups = isolate_suspects(id, entry, at, tasks, now);
                    let split = |group| self.split_attempts(id, entry, at, group);
                    for group in groups.into_iter().flat_map(split) {
                        let need = step.need.accelerators * group.0.len() as u64;
                        // A job that was preempted for a guarantee is not covered by its own any
                        // more: it would take back the capacity that was freed for the other job.
                        let covered = entry.job.queue.priority == 0
                            && !entry.guarantee_preempted
                            && guarantees.try_use(&entry.job.team, need);
                        let rank = Rank {
                            borrowed: !covered,
                            priority: entry.job.queue.priority,
                            lateness: objective.lateness(
                                wall + self.expected_delay(entry, step, group.0.len(), time),
                            ),
                            level: if covered { 0 } else { self.share_level(entry) },
                            latest_start: objective.latest_start(),
                            version: entry.version,
                        };
                        let size = (core_weight(step) * time, need);
                        found.push(Candidate::new(id, at, group, rank, size));
                    }
                }
            }
        }
        found
    }

    /// Returns whether all runs of a job are known. Tasks of older jobs may run already, started by a
    /// previous owner, which is known only once all agents have reported, or by a later one, until
    /// the table confirms that there is none.
    pub(crate) fn is_accounted_for(&self, entry: &Entry) -> bool {
        !self.awaits_predecessors(entry) && !self.awaits_confirmation(entry)
    }

    /// Returns whether a previous owner may have started tasks of the job unknown to this one.
    pub(crate) fn awaits_predecessors(&self, entry: &Entry) -> bool {
        !self.settled && entry.version <= self.claim_version
    }

    /// Returns whether a later owner may have started tasks of the job, until the table confirms that
    /// there is none.
    pub(crate) fn awaits_confirmation(&self, entry: &Entry) -> bool {
        self.confirmed_at < entry.assumed_over_at
    }

    /// Returns whether all runs of a step are known. Those of a job whose tasks may have crashed
    /// workers are known only with all others of the job.
    pub(crate) fn is_step_accounted_for(&self, entry: &Entry, at: (u32, u32)) -> bool {
        let never_started = || !entry.progress.has_suspects() && entry.follows_unheard_end(at);
        !self.awaits_confirmation(entry) && (!self.awaits_predecessors(entry) || never_started())
    }

    /// Returns whether capacity is reserved for the candidate under its team's guarantee.
    fn has_reserved_guarantee(&self, candidate: &Candidate) -> bool {
        let occurrence_step = (candidate.occurrence, candidate.step);
        let entry = self.jobs.get(&candidate.id);
        candidate.guaranteed()
            && entry.is_some_and(|entry| entry.reservations.contains_key(&occurrence_step))
    }

    /// Returns the total capacity of the workers of each pool.
    pub(crate) fn pools(&self) -> BTreeMap<String, Resources> {
        let mut pools: BTreeMap<String, Resources> = BTreeMap::new();
        for worker in self.agents.values().filter_map(|agent| agent.worker.as_ref()) {
            pools.entry(worker.pool.clone()).or_default().add(&worker.capacity);
        }
        pools
    }

    /// Returns whether every run that a previous owner may have started is accounted for: each
    /// agent's worker is reconciled, or its leases have expired.
    ///
    /// A previous owner that has not detected that it was replaced goes on granting leases while a
    /// majority of agents is connected to it. So this also records when a majority first follows
    /// this owner, since the previous owner stops soon after.
    pub(crate) fn check_settled(&mut self, now: u64) -> bool {
        let reconciled = self.agents.values().filter(|agent| agent.reconciled).count();
        if self.majority_since.is_none() && reconciled * 2 >= self.agents.len() {
            self.majority_since = Some(now);
        }
        let (last, lease) = self.predecessor_grants();
        self.agents.values().all(|agent| agent.is_clear_of_predecessors(last, lease, now))
    }

    /// Returns the latest time at which a previous owner may have granted a lease, and how long
    /// that lease lasts, margin included.
    pub(crate) fn predecessor_grants(&self) -> (u64, u64) {
        let last = match self.majority_since {
            None => self.claimed_at + self.settings.grants_stop_after,
            Some(_) if self.predecessor_ended => self.claimed_at,
            // A previous owner grants leases to all agents until the table has not confirmed it
            // for `quorum_after`. After that it needs a majority of agents, and agents that
            // follow this owner still count for it until their last notice is `quorum_age` old, which
            // it may have processed late by a gap that it does not take for a suspension.
            Some(since) => {
                let counted = since + self.settings.quorum_age + MAX_TICK_GAP_MS;
                counted.max(self.claimed_at + self.settings.quorum_after)
            }
        };
        (last, self.settings.lease + self.settings.lease_margin)
    }

    /// Returns the agents whose workers may still run what a previous owner started.
    pub(crate) fn unreconciled_agents(&self) -> impl Iterator<Item = &str> {
        self.agents.iter().filter(|(_, agent)| !agent.reconciled).map(|(name, _)| name.as_str())
    }

    /// Returns the teams' guarantees, less the accelerators that each team's jobs of priority 0
    /// use now.
    fn guaranteed_usage(&self) -> Guarantees<impl Fn(&str) -> u64> {
        let mut guarantees = self.guarantees();
        for entry in self.jobs.values().filter(|entry| entry.job.queue.priority == 0) {
            for key in entry.runs.keys() {
                let need = entry.step(*key).map_or(0, |step| step.need.accelerators);
                guarantees.record_use(&entry.job.team, need);
            }
        }
        guarantees
    }

    /// Starts as many of a candidate's tasks as it can, makes room for the others if it may, and
    /// records why they wait.
    fn start_candidate(
        &mut self,
        candidate: &Candidate,
        snapshot: &mut Snapshot,
        now: u64,
        wall: u64,
    ) {
        let Some(entry) = self.jobs.get(&candidate.id) else { return };
        let occurrence_step = (candidate.occurrence, candidate.step);
        let own = |reservation: &&Reservation| candidate.tasks.contains(&reservation.task);
        if let Some(reservation) = entry.reservations.get(&occurrence_step).filter(own).cloned() {
            if self.start_idle_job(candidate, snapshot, (now, wall)) {
                self.drop_reservation(candidate);
                self.replan |= self.unplaced_tasks(candidate) > 0;
                return;
            }
            if self.use_reservation(candidate, &reservation, snapshot, now) {
                self.record_reserved_wait(candidate, now);
                return;
            }
            self.drop_reservation(candidate);
        }
        let Some(entry) = self.jobs.get(&candidate.id) else { return };
        let Some(step) = entry.job.steps.get(candidate.step as usize).cloned() else { return };
        let pool = self.pool_of(entry);
        let admission = self.admission(candidate, (&step, &pool), snapshot, now);
        let mut excluded = Exclusions {
            uncleared: self.uncleared(candidate, snapshot, now),
            avoided: self.avoided_indexes(candidate, snapshot, now),
            doubted: admission.excluded.clone(),
            apart: self.excluded_indexes(candidate, snapshot),
        };
        let excluded_indexes = excluded.indexes();
        let limits = snapshot.limit(&admission, &step);
        let withheld = self.withhold_claimed(candidate, &step, snapshot, now);
        let kept_free = match candidate.suspect {
            true => self.place_suspect(
                candidate,
                (&step, &pool),
                (snapshot, &excluded_indexes),
                (now, wall),
            ),
            false => self.place_excluding(
                candidate,
                (&step, &pool),
                (snapshot, &excluded_indexes),
                (now, wall),
            ),
        };
        let claimed = self.return_claimed(candidate, withheld, snapshot);
        snapshot.lift_limits(limits);
        let unplaced = self.unplaced_tasks(candidate);
        // Before room is made: work would be stopped for tasks that start elsewhere.
        if unplaced > 0 && self.start_idle_job(candidate, snapshot, (now, wall)) {
            self.replan |= self.unplaced_tasks(candidate) > 0;
        } else if unplaced > 0 && self.may_make_room(candidate, now) {
            let limits = snapshot.limit(&admission, &step);
            let withheld = self.withhold_claimed(candidate, &step, snapshot, now);
            // A ticket may be requested while the room is made.
            let uncleared = self.unapproved(candidate, snapshot);
            let hidden = snapshot.hide(&Exclusions { uncleared, ..excluded.clone() }.indexes());
            let started = candidate.tasks.len() - unplaced;
            self.preempt_for(candidate, &step, &pool, started, snapshot, (now, wall));
            snapshot.show(hidden);
            self.return_claimed(candidate, withheld, snapshot);
            snapshot.lift_limits(limits);
        }
        if self.unplaced_tasks(candidate) == 0 {
            return;
        }
        let doubts = (&mut *snapshot, &excluded, &admission);
        self.track_doubts(candidate, (&step, &pool), doubts, (now, wall));
        excluded.doubted.extend(&admission.trials);
        if !excluded.apart.is_empty() {
            self.schedule_replan(wall + START_ISOLATION_MS);
        }
        let restrictions = snapshot.restrictions((&kept_free, &claimed), &excluded);
        self.record_wait(candidate, snapshot, &restrictions, now);
        if !excluded.uncleared.is_empty() {
            let restrictions = (&excluded, &admission);
            self.select_clearance_request(candidate, (&step, &pool), restrictions, snapshot);
        }
    }

    /// Returns whether other work may be stopped for a candidate now.
    fn may_make_room(&self, candidate: &Candidate, now: u64) -> bool {
        // Nothing is stopped for a task that may crash the worker that it is given.
        let may_preempt = candidate.rank.may_preempt() && !candidate.suspect;
        // A step has one reservation at a time. If its groups replaced each other's, each of them
        // would stop more work in every round.
        let entry = self.jobs.get(&candidate.id);
        let reserved = entry.is_some_and(|entry| {
            let known = entry.reservations.get(&(candidate.occurrence, candidate.step));
            known.is_some_and(|known| now < self.reserved_until(entry, known))
        });
        may_preempt && !reserved
    }

    /// Drops the reservation for the candidate's tasks.
    fn drop_reservation(&mut self, candidate: &Candidate) {
        if let Some(entry) = self.jobs.get_mut(&candidate.id) {
            let own = |reservation: &Reservation| candidate.tasks.contains(&reservation.task);
            let step = (candidate.occurrence, candidate.step);
            if entry.reservations.get(&step).is_some_and(own) {
                entry.reservations.remove(&step);
            }
        }
    }

    /// Starts as many of a candidate's tasks as it can on workers other than those at the
    /// `excluded` indexes. Returns the indexes of workers that it keeps free for other work.
    pub(crate) fn place_excluding(
        &mut self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        (snapshot, excluded): (&mut Snapshot, &[usize]),
        time: (u64, u64),
    ) -> Vec<usize> {
        let hidden = snapshot.hide(excluded);
        let kept_free = self.place(candidate, step, pool, snapshot, time);
        snapshot.show(hidden);
        kept_free
    }

    /// Returns the number of the candidate's tasks that have not been placed.
    pub(crate) fn unplaced_tasks(&self, candidate: &Candidate) -> usize {
        let Some(entry) = self.jobs.get(&candidate.id) else { return 0 };
        let key = |index: u32| (candidate.occurrence, candidate.step, index);
        candidate.tasks.iter().filter(|&&index| !entry.runs.contains_key(&key(index))).count()
    }

    /// Starts as many of a candidate's tasks as it can on the workers that are not hidden. Returns
    /// the indexes of workers that it keeps free for other work.
    fn place(
        &mut self,
        candidate: &Candidate,
        step: &Step,
        pool: &str,
        snapshot: &mut Snapshot,
        (now, wall): (u64, u64),
    ) -> Vec<usize> {
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        let tasks_by_worker =
            tasks_per_worker(entry, (candidate.occurrence, candidate.step), &snapshot.workers);
        let count = candidate.tasks.len() as u32;
        let begin = entry.begins_at(candidate.occurrence);
        let waits_for_rack = wall < begin + SINGLE_RACK_WAIT_MS;
        let request = Request {
            step,
            pool,
            count,
            waits_for_rack,
            preempts: Protection::Lower,
            ignores_ending: false,
            tasks_by_worker: &tasks_by_worker,
        };
        let deferred_until = self.deferred_until(
            candidate,
            is_any_resource_half_free(&snapshot.workers, pool),
            (now, wall),
        );
        let kept_free = deferred_until
            .map(|_| reserve_whole_workers(&mut snapshot.workers, pool))
            .unwrap_or_default();
        let chosen = self.pack_by_speed(candidate, &request, snapshot);
        let kept_free = release_whole_workers(&mut snapshot.workers, kept_free);
        let started = chosen.len();
        if started < candidate.tasks.len() {
            // At these times the candidate may use workers that it keeps free for other work now.
            let rack_wait_ends_at = Some(begin + SINGLE_RACK_WAIT_MS).filter(|_| waits_for_rack);
            for at in [deferred_until, rack_wait_ends_at].into_iter().flatten() {
                self.schedule_replan(at);
            }
        }
        let pairs: Vec<(u32, usize)> =
            candidate.tasks.iter().copied().zip(chosen.iter().copied()).collect();
        self.start_tasks(candidate, step, &pairs, snapshot, now);
        kept_free
    }

    /// Returns until when the candidate leaves whole workers to more urgent work, in milliseconds
    /// since 1970; none if it may use them now.
    ///
    /// While half of the pool is free, a job of which nothing runs defers for
    /// [`MAX_IDLE_WAIT_MS`] at most. Urgent work finds capacity there anyway, and users would
    /// not understand a job that waits next to idle workers until its deadline is near.
    pub(crate) fn deferred_until(
        &self,
        candidate: &Candidate,
        half_free: bool,
        (now, wall): (u64, u64),
    ) -> Option<u64> {
        let until = candidate.rank.yields_workers_until().filter(|&until| until > wall)?;
        let idle = self.jobs.get(&candidate.id).and_then(Entry::idle_since);
        match idle.filter(|_| half_free) {
            Some(since) if now >= since + MAX_IDLE_WAIT_MS => None,
            Some(since) => Some(until.min(wall + since + MAX_IDLE_WAIT_MS - now)),
            None => Some(until),
        }
    }

    /// Ensures that the next round of planning is no later than `at`, by the owner's clock.
    pub(crate) fn schedule_replan(&mut self, at: u64) {
        self.replan_at = Some(self.replan_at.map_or(at, |due| due.min(at)));
    }

    /// Returns the pool that runs a job.
    pub(crate) fn pool_of(&self, entry: &Entry) -> String {
        self.queues.pool(&entry.job).to_owned()
    }
}

/// Returns the tasks of a step that are ready and have no run: of a gang all or none.
pub(crate) fn pending_tasks(
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

/// Returns how many tasks of the step each worker runs, in the order of `workers`.
pub(crate) fn tasks_per_worker(
    entry: &Entry,
    (occurrence, step): (u32, u32),
    workers: &[WorkerState],
) -> Vec<u32> {
    let range = (occurrence, step, 0)..=(occurrence, step, u32::MAX);
    let mut tasks_by_worker = vec![0; workers.len()];
    for (_, placed) in entry.runs.range(range) {
        if let Some(index) = workers.iter().position(|worker| worker.name == placed.agent) {
            tasks_by_worker[index] += 1;
        }
    }
    tasks_by_worker
}

/// How long a gang that prefers a single rack waits for one while half of the pool is free. A
/// stop takes up to 900 ms, so capacity for the gang becomes free sooner.
const SINGLE_RACK_WAIT_MS: u64 = 2000;
