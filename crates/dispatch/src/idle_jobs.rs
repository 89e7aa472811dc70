//! The bound on waits of a job of which nothing runs, while under half of its pool is in use.
//!
//! The owner holds ready tasks back for several reasons, each of which suits a full pool: a sound
//! worker or a single rack may become free, other work may need the capacity more, a worker may fail
//! the task again. Beside idle workers the reasons add up to waits that nobody understands. So there
//! all of them end together. Only closed workers, capacity, labels, limits per worker, clearance, the
//! isolation of suspects and trials that run still apply, and claims of gangs for a while longer.

use quincewheel_job::Step;
use quincewheel_place::{Protection, Request};
use quincewheel_trust::Grade;

use crate::candidate::Candidate;
use crate::owner::Owner;
use crate::plan::tasks_per_worker;
use crate::snapshot::Snapshot;

/// How long a job of which nothing runs is held back while under half of its pool is in use. Below 2 s
/// by the delay of a round of planning and of a start.
pub(crate) const MAX_IDLE_WAIT_MS: u64 = 1500;

/// How much longer workers that a gang has claimed are left to it. The claim itself empties the pool, and
/// the gang would never start if others took its workers just before. Users count a job as lost that is held
/// back for 3 s beside idle workers.
const CLAIMED_WAIT_MS: u64 = 1000;

impl Owner {
    /// Starts tasks that the ordinary attempt has held back, if nothing of their job has run for
    /// [`MAX_IDLE_WAIT_MS`] and under half of the pool has been in use for as long; else plans again
    /// when that time is over. Returns whether any started.
    pub(crate) fn start_idle_job(
        &mut self,
        candidate: &Candidate,
        snapshot: &mut Snapshot,
        (now, wall): (u64, u64),
    ) -> bool {
        let Some(waiting_since) = self.idle_waiting_since(candidate, now) else { return false };
        let Some(entry) = self.jobs.get(&candidate.id) else { return false };
        let Some(step) = entry.job.steps.get(candidate.step as usize).cloned() else {
            return false;
        };
        let pool = self.pool_of(entry);
        let Some(since) = self.under_half_since(&pool, &step, snapshot) else { return false };
        let ends_at = waiting_since.max(since) + MAX_IDLE_WAIT_MS;
        if now < ends_at {
            self.schedule_replan(wall + ends_at - now);
            return false;
        }
        if !has_room(candidate, (&step, &pool), snapshot) {
            return false;
        }
        let mut barred = self.claimed_for_now(candidate, ends_at, (now, wall));
        barred.extend(self.uncleared(candidate, snapshot, now));
        let standings = snapshot.standings.iter().enumerate();
        barred.extend(standings.filter(|(_, standing)| standing.on_trial).map(|(index, _)| index));
        let apart = self.excluded_indexes(candidate, snapshot);
        let all_barred = [&barred[..], &apart].concat();
        let chosen = self.find_idle_room(candidate, (&step, &pool), (snapshot, all_barred), now);
        if chosen.is_empty() && candidate.suspect && !apart.is_empty() {
            let others = snapshot.kept_for_suspects.iter();
            let others = others.filter(|(_, job)| **job != candidate.id).map(|(index, _)| *index);
            barred.extend(others);
            let kept = self.find_idle_room(candidate, (&step, &pool), (snapshot, barred), now);
            self.keep_for_suspect(candidate, snapshot, (kept, now));
        }
        self.record_broken_claims(candidate, &chosen, now);
        let pairs: Vec<(u32, usize)> = candidate.tasks.iter().copied().zip(chosen).collect();
        self.start_tasks(candidate, &step, &pairs, snapshot, now);
        !pairs.is_empty()
    }

    /// Returns the indexes of claimed workers that are left to their gangs, by an idle job that has
    /// been held back up to `ends_at`, and plans again when they no longer are.
    fn claimed_for_now(
        &mut self,
        candidate: &Candidate,
        ends_at: u64,
        (now, wall): (u64, u64),
    ) -> Vec<usize> {
        let claims_end_at = ends_at + CLAIMED_WAIT_MS;
        let (claimed, ends_at) = match now < claims_end_at {
            true => (self.claimed_indexes(candidate), Some(claims_end_at)),
            false => self.protected_indexes(candidate, now),
        };
        if let Some(at) = ends_at.filter(|_| !claimed.is_empty()) {
            self.schedule_replan(wall + at - now);
        }
        claimed
    }

    /// Returns a worker for each task of an idle candidate that fits now, other than the `barred`.
    /// Workers that the tasks avoid and doubtful ones are used if no others hold them, for one task
    /// where the tasks may start one by one.
    fn find_idle_room(
        &mut self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        (snapshot, barred): (&mut Snapshot, Vec<usize>),
        now: u64,
    ) -> Vec<usize> {
        let mut unwanted = self.avoided_indexes(candidate, snapshot, now);
        let standings = snapshot.standings.iter().enumerate();
        let doubtful = standings.filter(|(_, standing)| standing.grade == Grade::Doubtful);
        unwanted.extend(doubtful.map(|(index, _)| index));
        let without_unwanted = [&barred[..], &unwanted].concat();
        let admission = self.admission(candidate, (step, pool), snapshot, now);
        let former = snapshot.deprioritize(&[&admission.excluded[..], &unwanted].concat());
        let mut chosen = self.find_room(candidate, (step, pool), snapshot, without_unwanted);
        if chosen.is_empty() && !unwanted.is_empty() {
            chosen = self.find_room(candidate, (step, pool), snapshot, barred);
            chosen.truncate(if step.gang { chosen.len() } else { 1 });
        }
        for (index, deprioritized) in former.into_iter().rev() {
            snapshot.workers[index].deprioritized = deprioritized;
        }
        chosen
    }

    /// Records which pools are under half in use, and since when.
    pub(crate) fn update_under_half(&mut self, snapshot: &Snapshot, now: u64) {
        let former = std::mem::take(&mut self.under_half_since);
        for (pool, load) in &snapshot.loads {
            for accelerated in [false, true].into_iter().filter(|a| load.is_under_half_used(*a)) {
                let key = (pool.clone(), accelerated);
                let since = former.get(&key).copied().unwrap_or(now);
                self.under_half_since.insert(key, since);
            }
        }
    }

    /// Returns since when under half of a pool is in use of what tasks of the step need most; none
    /// if more is.
    fn under_half_since(&self, pool: &str, step: &Step, snapshot: &Snapshot) -> Option<u64> {
        let accelerated = step.need.accelerators > 0;
        let since = self.under_half_since.get(&(pool.to_owned(), accelerated))?;
        let load = snapshot.loads.get(pool)?;
        load.is_under_half_used(accelerated).then_some(*since)
    }

    /// Returns since when a candidate's tasks have waited; none while anything of its job runs.
    fn idle_waiting_since(&self, candidate: &Candidate, now: u64) -> Option<u64> {
        let entry = self.jobs.get(&candidate.id).filter(|entry| entry.runs.is_empty())?;
        let key = (candidate.id.clone(), candidate.occurrence, candidate.step);
        let waiting_since = self.waits.waiting_since(&key).unwrap_or(now);
        Some(entry.idle_since?.max(waiting_since))
    }

    /// Returns a worker for each task of a candidate that fits now, other than the `excluded`. For
    /// a suspect these are as few of the least used workers as can hold it.
    fn find_room(
        &mut self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        snapshot: &mut Snapshot,
        mut excluded: Vec<usize>,
    ) -> Vec<usize> {
        excluded.sort_unstable();
        excluded.dedup();
        if !candidate.suspect {
            return self.pack_now(candidate, (step, pool), snapshot, &excluded);
        }
        let mut order = snapshot.least_used();
        order.retain(|index| excluded.binary_search(index).is_err());
        let mut worker_count = 1;
        loop {
            let closed = order.iter().skip(worker_count).chain(&excluded).copied();
            let closed: Vec<usize> = closed.collect();
            let chosen = self.pack_now(candidate, (step, pool), snapshot, &closed);
            if !chosen.is_empty() || worker_count >= order.len() {
                return chosen;
            }
            worker_count *= 2;
        }
    }

    /// Returns a worker for each task of a candidate that fits now beside the workers at the
    /// `excluded` indexes. A gang that needs one rack is spread if no rack holds it now.
    fn pack_now(
        &mut self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        snapshot: &mut Snapshot,
        excluded: &[usize],
    ) -> Vec<usize> {
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        let at = (candidate.occurrence, candidate.step);
        let tasks_by_worker = tasks_per_worker(entry, at, &snapshot.workers);
        let hidden = snapshot.hide(excluded);
        let mut request = Request {
            step,
            pool,
            count: candidate.tasks.len() as u32,
            waits_for_rack: true,
            preempts: Protection::Lower,
            ignores_ending: false,
            tasks_by_worker: &tasks_by_worker,
        };
        let mut chosen = self.pack_by_speed(candidate, &request, snapshot);
        let spread = Step { same_rack: false, ..step.clone() };
        if chosen.is_empty() && step.gang && step.same_rack {
            request.step = &spread;
            chosen = self.pack_by_speed(candidate, &request, snapshot);
        }
        snapshot.show(hidden);
        chosen
    }
}

/// Returns whether the open workers could hold tasks of a candidate if nothing were barred: all of a
/// gang, one of other steps. What follows is expensive with many jobs that wait for room.
fn has_room(candidate: &Candidate, (step, pool): (&Step, &str), snapshot: &Snapshot) -> bool {
    let request = Request {
        step,
        pool,
        count: if step.gang { candidate.tasks.len() as u32 } else { 1 },
        waits_for_rack: false,
        preempts: Protection::Lower,
        ignores_ending: false,
        tasks_by_worker: &[],
    };
    let mut left = u64::from(request.count);
    for (index, worker) in snapshot.workers.iter().enumerate() {
        if request.is_eligible(worker) {
            left = left.saturating_sub(request.max_tasks(index, &worker.free));
        }
        if left == 0 {
            return true;
        }
    }
    false
}
