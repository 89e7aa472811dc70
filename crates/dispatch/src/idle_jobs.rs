//! The bound on waits of a job of which nothing runs, while under half of its pool is in use.
//!
//! The owner holds ready tasks back for several reasons, each of which suits a full pool: a sound
//! worker or a single rack may become free, other work may need the capacity more, a worker may fail
//! the task again. Beside idle workers the reasons add up to waits that nobody understands. So there
//! all of them end together.

use quincewheel_job::Step;
use quincewheel_place::{Protection, Request};
use quincewheel_trust::Grade;

use crate::candidate::Candidate;
use crate::owner::Owner;
use crate::plan::tasks_per_worker;
use crate::snapshot::Snapshot;
use crate::suspects::RecentStart;
use crate::trust::NEW_TRIAL_MS;

/// How long a job of which nothing runs is held back while under half of its pool is in use. Below 2 s
/// by the delay of a round of planning and of a start.
pub(crate) const MAX_IDLE_WAIT_MS: u64 = 1500;

/// How long a perpetual task is held back, however much of its pool is in use. Users count it as lost
/// 9 s after its last run if there is capacity for it.
const MAX_LASTING_WAIT_MS: u64 = 6000;

/// How much longer workers that a gang has claimed are left to it. The claim itself empties the pool, and
/// the gang would never start if others took its workers just before. Users count a job as lost that is held
/// back for 3 s beside idle workers.
const CLAIMED_WAIT_MS: u64 = 1000;

impl Owner {
    /// Starts tasks that the ordinary attempt has held back, if nothing of their job has run for
    /// [`MAX_IDLE_WAIT_MS`] and under half of the pool has been in use for as long; else plans again
    /// when that time is over. Perpetual tasks are also started if others of their job run, and in
    /// any pool after [`MAX_LASTING_WAIT_MS`]. Returns whether any started.
    ///
    /// Only closed workers, capacity, labels, limits per worker, clearance, the isolation of
    /// suspects and new trials still apply, and claims of gangs for [`CLAIMED_WAIT_MS`] more.
    /// Workers that the tasks avoid and doubtful ones are used if no others hold them, for one task
    /// where the tasks may start one by one. Workers at which only other starts are too recent for a
    /// suspect take no more of them in this round.
    pub(crate) fn start_idle_job(
        &mut self,
        candidate: &Candidate,
        snapshot: &mut Snapshot,
        (now, wall): (u64, u64),
    ) -> bool {
        let Some(entry) = self.jobs.get(&candidate.id) else { return false };
        let Some(step) = entry.job.steps.get(candidate.step as usize).cloned() else {
            return false;
        };
        let pool = self.pool_of(entry);
        let Some(ends_at) =
            self.idle_wait_ends_at(candidate, (&step, &pool), snapshot, (now, wall))
        else {
            return false;
        };
        if now < ends_at {
            self.schedule_replan(wall + ends_at - now);
            return false;
        }
        let mut candidate = candidate.clone();
        if step.perpetual && !step.gang {
            let under_half = self.under_half_since(&pool, &step, snapshot);
            let since = |index: &u32| self.lasting_since(&candidate, *index, now);
            let is_due = |index: &u32| idle_bound(&step, since(index), under_half) <= Some(now);
            let due: Vec<u32> = candidate.tasks.iter().copied().filter(is_due).collect();
            candidate.tasks = due;
        }
        let candidate = &candidate;
        let claims_end_at = ends_at + CLAIMED_WAIT_MS;
        let claimed =
            if now < claims_end_at { self.claimed_indexes(candidate) } else { Vec::new() };
        if !claimed.is_empty() {
            self.schedule_replan(wall + claims_end_at - now);
        }
        let mut barred = self.uncleared(candidate, snapshot, now);
        barred.extend(claimed);
        if !snapshot.new_trials.is_empty() {
            barred.extend(&snapshot.new_trials);
            self.schedule_replan(wall + NEW_TRIAL_MS);
        }
        let without_apart = barred.clone();
        barred.extend(self.excluded_indexes(candidate, snapshot));
        let mut unwanted = self.avoided_indexes(candidate, snapshot, now);
        let standings = snapshot.standings.iter().enumerate();
        let doubtful = standings.filter(|(_, standing)| standing.grade == Grade::Doubtful);
        unwanted.extend(doubtful.map(|(index, _)| index));
        let without_unwanted = [&barred[..], &unwanted].concat();
        let last_choice =
            [&self.admission(candidate, (&step, &pool), snapshot, now).excluded[..], &unwanted]
                .concat();
        let former = snapshot.deprioritize(&last_choice);
        let mut chosen = self.find_room(candidate, (&step, &pool), snapshot, without_unwanted);
        if chosen.is_empty() && !unwanted.is_empty() {
            chosen = self.find_room(candidate, (&step, &pool), snapshot, barred);
            chosen.truncate(if step.gang { chosen.len() } else { 1 });
        }
        if chosen.is_empty() && candidate.suspect {
            let kept = self.find_room(candidate, (&step, &pool), snapshot, without_apart);
            for index in kept {
                RecentStart::Suspect.record(&mut snapshot.recent_starts, index);
            }
        }
        for (index, deprioritized) in former.into_iter().rev() {
            snapshot.workers[index].deprioritized = deprioritized;
        }
        let pairs: Vec<(u32, usize)> = candidate.tasks.iter().copied().zip(chosen).collect();
        if step.perpetual {
            self.keep_lasting_since(candidate, &pairs, now);
        }
        self.start_tasks(candidate, &step, &pairs, snapshot, now);
        !pairs.is_empty()
    }

    /// Returns whether a candidate is a suspect that is held back no longer.
    pub(crate) fn is_overdue_suspect(
        &self,
        candidate: &Candidate,
        snapshot: &Snapshot,
        (now, wall): (u64, u64),
    ) -> bool {
        let entry = self.jobs.get(&candidate.id).filter(|_| candidate.suspect);
        let ends_at = entry.and_then(|entry| {
            let step = entry.job.steps.get(candidate.step as usize)?;
            let pool = self.pool_of(entry);
            self.idle_wait_ends_at(candidate, (step, &pool), snapshot, (now, wall))
        });
        ends_at.is_some_and(|at| at <= now)
    }

    /// Records which pools are under half in use, and since when.
    pub(crate) fn update_under_half(&mut self, snapshot: &Snapshot, now: u64) {
        let former = std::mem::take(&mut self.under_half_since);
        for (pool, load) in &snapshot.loads {
            for accelerated in [false, true].into_iter().filter(|a| load.is_under_half(*a)) {
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
        load.is_under_half(accelerated).then_some(*since)
    }

    /// Returns when a candidate's tasks are held back no longer, the first of them if they are
    /// perpetual; none while that is not known.
    fn idle_wait_ends_at(
        &self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        snapshot: &Snapshot,
        (now, wall): (u64, u64),
    ) -> Option<u64> {
        let since = match step.perpetual {
            true => {
                let tasks = candidate.tasks.iter();
                let since = tasks.map(|index| self.lasting_since(candidate, *index, now));
                if step.gang { since.max() } else { since.min() }
            }
            false => self.idle_waiting_since(candidate, (now, wall)),
        };
        idle_bound(step, since?, self.under_half_since(pool, step, snapshot))
    }

    /// Returns since when a candidate's tasks have waited; none while anything of its job runs.
    fn idle_waiting_since(&self, candidate: &Candidate, (now, wall): (u64, u64)) -> Option<u64> {
        let entry = self.jobs.get(&candidate.id)?;
        let overdue = wall.saturating_sub(entry.begins_at(candidate.occurrence));
        Some(entry.idle_since()?.max(now.saturating_sub(overdue)))
    }

    /// Returns since when a perpetual task of a candidate has waited, whatever else of its job runs:
    /// each of them is worth something by itself.
    fn lasting_since(&self, candidate: &Candidate, index: u32, now: u64) -> u64 {
        let step_key = (candidate.id.clone(), candidate.occurrence, candidate.step);
        let key = (candidate.occurrence, candidate.step, index);
        let entry = self.jobs.get(&candidate.id);
        let vacated_at = entry.and_then(|entry| entry.lasting_vacated_at.get(&key).copied());
        vacated_at.or_else(|| self.waits.waiting_since(&step_key)).unwrap_or(now)
    }

    /// Keeps since when perpetual tasks have waited that start now, as a start may be refused.
    fn keep_lasting_since(&mut self, candidate: &Candidate, pairs: &[(u32, usize)], now: u64) {
        for (index, _) in pairs {
            let since = self.lasting_since(candidate, *index, now);
            if let Some(entry) = self.jobs.get_mut(&candidate.id) {
                let key = (candidate.occurrence, candidate.step, *index);
                entry.lasting_vacated_at.insert(key, since);
            }
        }
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

/// Returns when tasks of a step that have waited since then are held back no longer, in a pool of
/// which under half has been in use since `under_half`; none while that is not known.
fn idle_bound(step: &Step, since: u64, under_half: Option<u64>) -> Option<u64> {
    let bound = under_half.map(|from| since.max(from) + MAX_IDLE_WAIT_MS);
    let lasting_bound = step.perpetual.then_some(since + MAX_LASTING_WAIT_MS);
    bound.into_iter().chain(lasting_bound).min()
}
