//! Preemption: stopping work to make room for a step, and reserving that capacity until it is free.

use std::collections::BTreeSet;

use quincewheel_job::Step;
use quincewheel_place::{Protection, Request, plan_preemption};
use quincewheel_policy::{borrowed_reclaim_at, guaranteed_reclaim_at, is_worth_preempting};

use crate::candidate::Candidate;
use crate::entry::{Entry, Reservation};
use crate::owner::Owner;
use crate::plan::tasks_per_worker;
use crate::snapshot::Snapshot;
use crate::speeds::plan_preemption_by_speed;
use crate::suspects::RecentStart;

impl Owner {
    /// Starts a step on the capacity reserved for it, or keeps the reservation if that
    /// is not free yet. Returns false if the reservation is void.
    pub(crate) fn use_reservation(
        &mut self,
        candidate: &Candidate,
        reservation: &Reservation,
        snapshot: &mut Snapshot,
        now: u64,
    ) -> bool {
        let Some(entry) = self.jobs.get(&candidate.id) else { return false };
        let Some(step) = entry.job.steps.get(candidate.step as usize).cloned() else {
            return false;
        };
        let indexes: Vec<usize> = reservation
            .agents
            .iter()
            .filter_map(|name| snapshot.workers.iter().position(|worker| worker.name == *name))
            .collect();
        let until = self.reserved_until(entry, reservation);
        let unapproved = self.unapproved(candidate, snapshot);
        let approved = |index: &usize| !unapproved.contains(index);
        let uncleared = self.uncleared(candidate, snapshot, now);
        let is_cleared = !indexes.iter().any(|index| uncleared.contains(index));
        // A reservation stays valid while its worker is in backoff after a refusal. If it were
        // void, work on yet another worker would be stopped as well.
        let backoff =
            |name: &String| self.agents.get(name).is_some_and(|agent| agent.refusals.until > 0);
        let suspect =
            |index: &usize| snapshot.recent_starts.get(index) == Some(&RecentStart::Suspect);
        if now < until && (reservation.agents.iter().any(backoff) || indexes.iter().any(suspect)) {
            self.track_reservation_end(until);
            return true;
        }
        let valid = indexes.len() == candidate.tasks.len()
            && indexes.iter().all(approved)
            && now < until
            && !self.is_doubted(candidate, &step, &indexes, snapshot, now);
        if !valid {
            return false;
        }
        let need = step.resources();
        let mut actual_free = snapshot.actual_free.clone();
        let fits_now = indexes.iter().all(|&index| {
            let fits = need.fits(&actual_free[index]);
            actual_free[index].subtract(&need);
            fits
        });
        if !is_cleared {
            self.request_reserved_clearance(candidate, &indexes, snapshot);
        }
        if !fits_now || !is_cleared {
            let mut workers = snapshot.workers.clone();
            let fits_soon = indexes.iter().all(|&index| {
                let fits = need.fits(&workers[index].available_soon(false));
                workers[index].reserve(&need);
                fits
            });
            // Otherwise a candidate with a better rank has taken the capacity.
            if fits_soon {
                snapshot.workers = workers;
                self.track_reservation_end(until);
            }
            return fits_soon;
        }
        if let Some(entry) = self.jobs.get_mut(&candidate.id) {
            entry.reservations.remove(&(candidate.occurrence, candidate.step));
        }
        let pairs: Vec<(u32, usize)> = candidate.tasks.iter().copied().zip(indexes).collect();
        self.start_tasks(candidate, &step, &pairs, snapshot, now);
        true
    }

    /// Returns when a reservation ends: later where the start needs tickets, which may have expired
    /// when the capacity is free.
    pub(crate) fn reserved_until(&self, entry: &Entry, reservation: &Reservation) -> u64 {
        let advice =
            self.queues.advice(&entry.job).filter(|_| self.queues.needs_tickets(&entry.job));
        let call = advice.map_or(0, |advice| advice.call_ms(reservation.agents.len()));
        (reservation.made_at + self.settings.reservation_ttl).saturating_add(call)
    }

    /// Ensures that the next round of planning is no later than the end of a reservation.
    fn track_reservation_end(&mut self, until: u64) {
        self.reservation_ends_at =
            Some(self.reservation_ends_at.map_or(until, |known| known.min(until)));
    }

    /// Stops work that the candidate may preempt, and reserves the capacity for its tasks from
    /// index `started` on. Does nothing if no such work frees enough capacity or if the loss is too
    /// high.
    pub(crate) fn preempt_for(
        &mut self,
        candidate: &Candidate,
        step: &Step,
        pool: &str,
        started: usize,
        snapshot: &mut Snapshot,
        (now, wall): (u64, u64),
    ) {
        let rest = &candidate.tasks[started..];
        let Some(entry) = self.jobs.get(&candidate.id) else { return };
        let tasks_by_worker =
            tasks_per_worker(entry, (candidate.occurrence, candidate.step), &snapshot.workers);
        let begin = entry.begins_at(candidate.occurrence);
        let borrowed_at =
            borrowed_reclaim_at(begin, self.settings.reclaim_deadline, self.settings.stop_timeout);
        let guaranteed = candidate.guaranteed();
        let due = guaranteed && wall >= borrowed_at;
        let count = rest.len() as u32;
        let preempts = if due { Protection::Borrowed } else { Protection::Lower };
        let request = Request {
            step,
            pool,
            count,
            waits_for_rack: true,
            preempts,
            ignores_ending: guaranteed,
            tasks_by_worker: &tasks_by_worker,
        };
        let guaranteed_at = guaranteed_reclaim_at(
            begin,
            self.settings.reclaim_deadline,
            self.settings.stop_timeout,
        );
        let preemption = plan_preemption_by_speed(snapshot, &request, (candidate.work, guaranteed))
            .or_else(|| {
                let including_guaranteed =
                    Request { preempts: Protection::Guaranteed, ignores_ending: false, ..request };
                let may_preempt_guaranteed = due && wall >= guaranteed_at && !entry.has_begun;
                may_preempt_guaranteed
                    .then(|| plan_preemption(&snapshot.workers, &including_guaranteed))
                    .flatten()
            });
        let Some(preemption) = preemption else {
            if guaranteed {
                let next = [borrowed_at, guaranteed_at].into_iter().find(|at| *at > wall);
                next.into_iter().for_each(|at| self.schedule_replan(at));
            }
            return;
        };
        if !is_worth_preempting(preemption.loss, candidate.work, guaranteed) {
            return;
        }
        let need = step.resources();
        let guaranteed_units: BTreeSet<u64> =
            (snapshot.workers.iter().flat_map(|worker| &worker.preemptible))
                .filter(|holder| holder.protection == Protection::Guaranteed)
                .map(|holder| holder.unit)
                .collect();
        for worker in &mut snapshot.workers {
            for holder in
                worker.preemptible.iter().filter(|holder| preemption.victims.contains(&holder.unit))
            {
                worker.stopping.add(&holder.need);
            }
            worker.preemptible.retain(|holder| !preemption.victims.contains(&holder.unit));
        }
        for &index in &preemption.workers {
            snapshot.workers[index].reserve(&need);
        }
        let agents =
            preemption.workers.iter().map(|&index| snapshot.workers[index].name.clone()).collect();
        let task = rest.first().copied().unwrap_or(0);
        let reservation = Reservation { agents, made_at: now, task };
        self.track_reservation_end(now + self.settings.reservation_ttl);
        if let Some(entry) = self.jobs.get_mut(&candidate.id) {
            entry.reservations.insert((candidate.occurrence, candidate.step), reservation);
        }
        let kind = if guaranteed { "guaranteed" } else { "borrowed" };
        let (units, loss, work) =
            (preemption.victims.len(), preemption.loss / 1000, candidate.work / 1000);
        let slowest = self.preemption_detail(&preemption, snapshot);
        let detail =
            format!("{kind}: {units} units stop, losing {loss} core-s for {work}{slowest}");
        self.log("room reclaimed", &candidate.id, detail);
        for unit in preemption.victims {
            for (id, key) in snapshot.units.get(&unit).cloned().unwrap_or_default() {
                self.stop_run(&id, key, now);
                let Some(entry) = self.jobs.get_mut(&id) else { continue };
                entry.guarantee_preempted |= guaranteed_units.contains(&unit);
                if let Some(placed) = entry.runs.get_mut(&key) {
                    placed.preempted_by = Some(candidate.id.clone());
                }
            }
        }
    }
}
