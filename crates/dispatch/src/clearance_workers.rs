//! The workers that a request for clearance names.
//!
//! A call's time grows with its number of workers, and is not bounded by the validity of the tickets.
//! So a request names workers that would hold the waiting tasks now, and for a gang all that it needs
//! together, as their tickets must be valid at the same time.

use quincewheel_job::{Advice, Incarnation, Step};
use quincewheel_place::{Protection, Request, WorkerState, pack};
use quincewheel_trust::Admission;

use crate::candidate::Candidate;
use crate::clearance::Clearance;
use crate::owner::Owner;
use crate::plan::tasks_per_worker;
use crate::snapshot::{Exclusions, Snapshot};

/// Most workers that one call may name. Source: the service's interface.
const MAX_CALL_WORKERS: usize = 100;
/// Most workers in a request for tasks that may start one by one, or in search of workers.
const MAX_SEARCHED_WORKERS: usize = 12;
/// Longest call in search of workers, unless the service takes most of that for any call. Users count a
/// job as lost that stands for 3 s beside idle workers.
const MAX_SEARCH_MS: u64 = 1500;
/// Allowance for the way of a request and its answer.
const TRANSIT_MS: u64 = 50;
/// Shortest time between requests for a step without room, unless tickets are valid for longer. Doubled
/// with each that was of no use, ...
const MIN_PREFETCH_INTERVAL_MS: u64 = 1000;
/// ... this often at most, to 16 s.
const MAX_PREFETCH_DOUBLINGS: u32 = 4;

impl Owner {
    /// Returns the workers to request for a step for which there is room; none if none is needed now.
    pub(crate) fn workers_to_start_at(
        &mut self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        (excluded, admission): (&Exclusions, &Admission),
        snapshot: &mut Snapshot,
    ) -> Option<Vec<Incarnation>> {
        let clearance = self.clearance_of(candidate);
        let paused = clearance.filter(|it| self.now < it.retry_at && !it.several_requests);
        if let Some(retry_at) = paused.map(|clearance| clearance.retry_at) {
            self.schedule_clearance(retry_at);
            return None;
        }
        let chosen = self.wanted_workers(candidate, (step, pool), (excluded, admission), snapshot);
        if chosen.is_empty() {
            self.revisit_barred(candidate, snapshot);
            return None;
        }
        let mut workers = self.lacking_tickets(candidate, &chosen, step.gang, snapshot)?;
        let most = self.search_limit(candidate);
        if !step.gang {
            workers.truncate(most);
        }
        let clearance = self.clearance_of(candidate);
        let is_known = |worker: &Incarnation| clearance.is_some_and(|it| it.is_approved(worker));
        let fruitless = clearance.map_or(0, |clearance| clearance.fruitless);
        if fruitless > 0 || !workers.iter().all(is_known) {
            // Some may be barred, or unsuitable for a reason that the placement does not know.
            self.add_spare_workers(candidate, (step, pool), most, &mut workers, snapshot);
        }
        Some(workers)
    }

    /// Returns the workers, by index, at which the candidate would start if it had all tickets: those
    /// that are known to be allowed if they suffice, otherwise with others that may turn out to be.
    fn wanted_workers(
        &mut self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        (excluded, admission): (&Exclusions, &Admission),
        snapshot: &mut Snapshot,
    ) -> Vec<usize> {
        let unapproved = self.unapproved(candidate, snapshot);
        let barred = self.barred_indexes(candidate, snapshot);
        let unplaced = self.unplaced_tasks(candidate);
        let others = Exclusions { uncleared: Vec::new(), ..excluded.clone() }.indexes();
        let limits = snapshot.limit(admission, step);
        let withheld = self.withhold_claimed(candidate, step, snapshot, self.now);
        let mut place =
            |hidden: &[usize]| self.find_clearable_room(candidate, (step, pool), hidden, snapshot);
        let known = place(&[&others[..], &unapproved].concat());
        let mut chosen = match known.len() >= unplaced {
            true => known,
            false => {
                let any = place(&[&others[..], &barred].concat());
                if any.len() > known.len() { any } else { known }
            }
        };
        self.return_claimed(candidate, withheld, snapshot);
        snapshot.lift_limits(limits);
        if chosen.is_empty() {
            // A job that has waited for long enough is placed within these limits only.
            let hidden = [&excluded.apart[..], &barred].concat();
            chosen = self.find_clearable_room(candidate, (step, pool), &hidden, snapshot);
        }
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }

    /// Returns where the candidate's tasks without a run would be placed, other than on the `hidden`
    /// workers.
    fn find_clearable_room(
        &self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        hidden: &[usize],
        snapshot: &mut Snapshot,
    ) -> Vec<usize> {
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        let mut hidden = hidden.to_vec();
        hidden.sort_unstable();
        hidden.dedup();
        let tasks_by_worker =
            tasks_per_worker(entry, (candidate.occurrence, candidate.step), &snapshot.workers);
        let request = Request {
            step,
            pool,
            count: self.unplaced_tasks(candidate) as u32,
            waits_for_rack: false,
            preempts: Protection::Lower,
            ignores_ending: false,
            tasks_by_worker: &tasks_by_worker,
        };
        let hidden = snapshot.hide(&hidden);
        let chosen = pack(&snapshot.workers, &request);
        snapshot.show(hidden);
        chosen
    }

    /// Returns those of the workers for which a ticket must be requested now; none if there are none,
    /// or if it is too early. If the tickets are used `together`, these include the workers whose
    /// tickets would expire before the answer arrives.
    pub(crate) fn lacking_tickets(
        &mut self,
        candidate: &Candidate,
        indexes: &[usize],
        together: bool,
        snapshot: &Snapshot,
    ) -> Option<Vec<Incarnation>> {
        let now = self.now;
        let entry = self.jobs.get_mut(&candidate.id)?;
        let advice = self.queues.advice(&entry.job).unwrap_or_default();
        let at = (candidate.occurrence, candidate.step);
        let clearance = entry.clearances.entry(at).or_default();
        clearance.several_requests = together && indexes.len() > MAX_CALL_WORKERS;
        let lacking_at = |at: u64| -> Vec<&Incarnation> {
            let workers = indexes.iter().map(|&index| &snapshot.workers[index].incarnation);
            workers.filter(|worker| clearance.ticket(worker, at).is_none()).collect()
        };
        let mut lacking = lacking_at(now);
        while together && !lacking.is_empty() {
            let named = lacking.len().min(MAX_CALL_WORKERS);
            let then = lacking_at(now.saturating_add(advice.call_ms(named) + TRANSIT_MS));
            if then.len() == lacking.len() {
                break;
            }
            lacking = then;
        }
        let continues = clearance.several_requests && lacking.len() < indexes.len();
        let retry_at = if continues { 0 } else { clearance.retry_at };
        let workers: Vec<Incarnation> =
            lacking.into_iter().take(MAX_CALL_WORKERS).cloned().collect();
        if now < retry_at && !workers.is_empty() {
            self.schedule_clearance(retry_at);
        }
        (now >= retry_at && !workers.is_empty()).then_some(workers)
    }

    /// Returns the workers to request for a step without room: it starts sooner, and room may be made
    /// for it, where it is known to be allowed.
    pub(crate) fn workers_to_prefetch(
        &self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        excluded: &Exclusions,
        snapshot: &Snapshot,
    ) -> Option<Vec<Incarnation>> {
        let entry = self.jobs.get(&candidate.id)?;
        let advice = self.queues.advice(&entry.job).unwrap_or_default();
        let none = Clearance::default();
        let clearance = self.clearance_of(candidate).unwrap_or(&none);
        let doublings = clearance.fruitless.min(MAX_PREFETCH_DOUBLINGS);
        let interval = advice.valid.max(MIN_PREFETCH_INTERVAL_MS).saturating_mul(1 << doublings);
        if self.now < clearance.retry_at {
            return None;
        }
        let is_unknown = |index: &usize| {
            let worker = &snapshot.workers[*index];
            could_run(worker, (step, pool))
                && !clearance.is_barred(&worker.incarnation)
                && !clearance.is_approved(&worker.incarnation)
        };
        let mut indexes: Vec<usize> =
            excluded.uncleared.iter().copied().filter(is_unknown).collect();
        if indexes.is_empty() && self.now >= clearance.requested_at.saturating_add(interval) {
            indexes = excluded.uncleared.clone();
        }
        let mut workers = most_free(&indexes, snapshot, (step, pool));
        workers.retain(|worker| !clearance.is_barred(worker));
        workers.truncate(self.search_limit(candidate));
        (!workers.is_empty()).then_some(workers)
    }

    /// Adds further workers to a request, up to `most`.
    fn add_spare_workers(
        &self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        most: usize,
        workers: &mut Vec<Incarnation>,
        snapshot: &Snapshot,
    ) {
        let none = Clearance::default();
        let clearance = self.clearance_of(candidate).unwrap_or(&none);
        let all: Vec<usize> = (0..snapshot.workers.len()).collect();
        let mut spare = most_free(&all, snapshot, (step, pool));
        spare.retain(|worker| {
            !clearance.is_barred(worker)
                && clearance.ticket(worker, self.now).is_none()
                && !workers.contains(worker)
        });
        if !spare.is_empty() {
            // Each of them has its turn if none of those before leads to a start.
            let begin = clearance.fruitless as usize * most % spare.len();
            spare.rotate_left(begin);
        }
        let room = most.saturating_sub(workers.len());
        workers.extend(spare.into_iter().take(room));
    }

    /// Returns how many workers a request may name in search of some that may run the step, so that the
    /// answer is not long in coming and most of a ticket's validity remains even if that counts from the
    /// beginning of the call.
    fn search_limit(&self, candidate: &Candidate) -> usize {
        let Some(entry) = self.jobs.get(&candidate.id) else { return 1 };
        let Advice { decide, each, valid } = self.queues.advice(&entry.job).unwrap_or_default();
        let longest = if valid == 0 { MAX_SEARCH_MS } else { MAX_SEARCH_MS.min(valid / 2) };
        // Where a call for one worker takes longer already, further ones cost little beside it.
        let for_workers = longest.saturating_sub(decide).max(decide / 2);
        let fitting = for_workers.checked_div(each);
        let most = fitting.map_or(MAX_SEARCHED_WORKERS, |fitting| fitting as usize);
        most.clamp(1, MAX_SEARCHED_WORKERS)
    }

    /// Asks about barred workers again if it is time, since the step fits nowhere else.
    fn revisit_barred(&mut self, candidate: &Candidate, snapshot: &Snapshot) {
        if self.barred_indexes(candidate, snapshot).is_empty() {
            return;
        }
        let now = self.now;
        let at = (candidate.occurrence, candidate.step);
        let entry = self.jobs.get_mut(&candidate.id);
        let Some(clearance) = entry.and_then(|entry| entry.clearances.get_mut(&at)) else { return };
        let revisit_at = clearance.revisit_at;
        if now >= revisit_at {
            clearance.revisit();
            self.replan = true;
        } else {
            self.schedule_clearance(revisit_at);
        }
    }

    /// Returns the indexes of workers for which the step has no ticket. Empty on a queue that needs
    /// none.
    pub(crate) fn uncleared(
        &self,
        candidate: &Candidate,
        snapshot: &Snapshot,
        now: u64,
    ) -> Vec<usize> {
        self.indexes_where(candidate, snapshot, |clearance, worker| {
            clearance.is_none_or(|clearance| clearance.ticket(worker, now).is_none())
        })
    }

    /// Returns the indexes of workers that are not known to be allowed to run the step. Empty on a
    /// queue that needs no tickets.
    pub(crate) fn unapproved(&self, candidate: &Candidate, snapshot: &Snapshot) -> Vec<usize> {
        self.indexes_where(candidate, snapshot, |clearance, worker| {
            clearance.is_none_or(|clearance| !clearance.is_approved(worker))
        })
    }

    fn barred_indexes(&self, candidate: &Candidate, snapshot: &Snapshot) -> Vec<usize> {
        self.indexes_where(candidate, snapshot, |clearance, worker| {
            clearance.is_some_and(|clearance| clearance.is_barred(worker))
        })
    }

    fn indexes_where(
        &self,
        candidate: &Candidate,
        snapshot: &Snapshot,
        wanted: impl Fn(Option<&Clearance>, &Incarnation) -> bool,
    ) -> Vec<usize> {
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        if !self.queues.needs_tickets(&entry.job) {
            return Vec::new();
        }
        let clearance = self.clearance_of(candidate);
        let workers = snapshot.workers.iter().enumerate();
        let found = workers.filter(|(_, worker)| wanted(clearance, &worker.incarnation));
        found.map(|(index, _)| index).collect()
    }
}

/// Returns whether a worker is in the pool and has the label of the step.
fn could_run(worker: &WorkerState, (step, pool): (&Step, &str)) -> bool {
    worker.pool == pool && (step.label.is_empty() || worker.labels.contains(&step.label))
}

/// Returns the workers at these indexes that could run a step: those with room for it first, and of
/// these those with the most free accelerators.
fn most_free(
    indexes: &[usize],
    snapshot: &Snapshot,
    (step, pool): (&Step, &str),
) -> Vec<Incarnation> {
    let need = step.resources();
    let workers = indexes.iter().map(|&index| &snapshot.workers[index]);
    let mut workers: Vec<&WorkerState> =
        workers.filter(|worker| could_run(worker, (step, pool))).collect();
    workers.sort_by_key(|worker| {
        (!need.fits(&worker.free), std::cmp::Reverse(worker.free.accelerators))
    });
    workers.into_iter().map(|worker| worker.incarnation.clone()).collect()
}
