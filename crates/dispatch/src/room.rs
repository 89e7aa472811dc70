//! Preemption: stopping work to make room for a step, and reserving that room until it is free.

use std::collections::BTreeSet;

use quincewheel_job::Step;
use quincewheel_place::{Protection, Request, plan_preemption};
use quincewheel_policy::{borrowed_reclaim_at, guaranteed_reclaim_at, is_worth_preempting};

use crate::candidate::Candidate;
use crate::entry::Reservation;
use crate::owner::Owner;
use crate::plan::tasks_per_worker;
use crate::snapshot::Snapshot;
use crate::suspects::RecentStart;

impl Owner {
    /// Starts a step on the room reserved for it, or keeps the reservation if the room is not
    /// free yet. Returns false if the reservation is void.
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
        let places: Vec<usize> = reservation
            .agents
            .iter()
            .filter_map(|name| snapshot.spots.iter().position(|spot| spot.name == *name))
            .collect();
        let cleared = |place: &usize| {
            let worker = &snapshot.spots[*place].incarnation;
            let key = (candidate.occurrence, candidate.step, 0);
            entry.job.queue.advice.is_none() || entry.ticket(key, worker, now).is_some()
        };
        let until = reservation.made_at + self.settings.reservation_ttl;
        // A reservation stays valid while its worker is in a pause after a refusal. If it were
        // void, work on yet another worker would be stopped as well.
        let paused =
            |name: &String| self.agents.get(name).is_some_and(|agent| agent.refusals.until > 0);
        let trial =
            |place: &usize| snapshot.recent_starts.get(place) == Some(&RecentStart::Suspect);
        if now < until && (reservation.agents.iter().any(paused) || places.iter().any(trial)) {
            self.track_reservation_end(until);
            return true;
        }
        let valid =
            places.len() == candidate.tasks.len() && places.iter().all(cleared) && now < until;
        if !valid {
            return false;
        }
        let need = step.resources();
        let mut actual = snapshot.actual_free.clone();
        let whole = places.iter().all(|&place| {
            let fits = need.fits(&actual[place]);
            actual[place].subtract(&need);
            fits
        });
        if !whole {
            let mut spots = snapshot.spots.clone();
            let promised = places.iter().all(|&place| {
                let fits = need.fits(&spots[place].available_soon(false));
                spots[place].reserve(&need);
                fits
            });
            // Otherwise a candidate with a better rank has taken the room.
            if promised {
                snapshot.spots = spots;
                self.track_reservation_end(until);
            }
            return promised;
        }
        if let Some(entry) = self.jobs.get_mut(&candidate.id) {
            entry.reservations.remove(&(candidate.occurrence, candidate.step));
        }
        let pairs: Vec<(u32, usize)> = candidate.tasks.iter().copied().zip(places).collect();
        self.start_tasks(candidate, &step, &pairs, snapshot, now);
        true
    }

    /// Ensures that the next round of planning is no later than the end of a reservation.
    fn track_reservation_end(&mut self, until: u64) {
        self.reservation_ends_at =
            Some(self.reservation_ends_at.map_or(until, |known| known.min(until)));
    }

    /// Stops work that the candidate may preempt, and reserves the room for its tasks from index
    /// `started` on. Does nothing if no such work makes enough room or if the loss is too high.
    pub(crate) fn make_room(
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
        let held = tasks_per_worker(entry, (candidate.occurrence, candidate.step), &snapshot.spots);
        let begin = entry.job.schedule.map_or(entry.job.accepted, |s| s.due(candidate.occurrence));
        let promised =
            borrowed_reclaim_at(begin, self.settings.reclaim_deadline, self.settings.stop_timeout);
        let guaranteed = candidate.guaranteed();
        let due = guaranteed && wall >= promised;
        let count = rest.len() as u32;
        let over = if due { Protection::Borrowed } else { Protection::Lower };
        let ask = Request {
            step,
            pool,
            count,
            waits_for_rack: true,
            preempts: over,
            ignores_ending: guaranteed,
            tasks_by_worker: &held,
        };
        let last = guaranteed_reclaim_at(
            begin,
            self.settings.reclaim_deadline,
            self.settings.stop_timeout,
        );
        let claim = plan_preemption(&snapshot.spots, &ask).or_else(|| {
            let others = Request { preempts: Protection::Guaranteed, ignores_ending: false, ..ask };
            let pressing = due && wall >= last && !entry.has_begun;
            pressing.then(|| plan_preemption(&snapshot.spots, &others)).flatten()
        });
        let Some(claim) = claim else {
            if guaranteed {
                let next = [promised, last].into_iter().find(|at| *at > wall);
                next.into_iter().for_each(|at| self.schedule_replan(at));
            }
            return;
        };
        if !is_worth_preempting(claim.loss, candidate.work, guaranteed) {
            return;
        }
        let need = step.resources();
        let firm: BTreeSet<u64> = (snapshot.spots.iter().flat_map(|spot| &spot.preemptible))
            .filter(|holder| holder.protection == Protection::Guaranteed)
            .map(|holder| holder.unit)
            .collect();
        for spot in &mut snapshot.spots {
            for holder in
                spot.preemptible.iter().filter(|holder| claim.victims.contains(&holder.unit))
            {
                spot.stopping.add(&holder.need);
            }
            spot.preemptible.retain(|holder| !claim.victims.contains(&holder.unit));
        }
        for &place in &claim.workers {
            snapshot.spots[place].reserve(&need);
        }
        let agents =
            claim.workers.iter().map(|&place| snapshot.spots[place].name.clone()).collect();
        let reservation = Reservation { agents, made_at: now };
        self.track_reservation_end(now + self.settings.reservation_ttl);
        if let Some(entry) = self.jobs.get_mut(&candidate.id) {
            entry.reservations.insert((candidate.occurrence, candidate.step), reservation);
        }
        let kind = if guaranteed { "guaranteed" } else { "borrowed" };
        let (units, loss, work) = (claim.victims.len(), claim.loss / 1000, candidate.work / 1000);
        let detail = format!("{kind}: {units} units stop, losing {loss} core-s for {work}");
        self.log("room reclaimed", &candidate.id, detail);
        for unit in claim.victims {
            for (id, key) in snapshot.units.get(&unit).cloned().unwrap_or_default() {
                self.stop_run(&id, key, now);
                let Some(entry) = self.jobs.get_mut(&id) else { continue };
                entry.guarantee_preempted |= firm.contains(&unit);
                if let Some(placed) = entry.runs.get_mut(&key) {
                    placed.preempted_by = Some(candidate.id.clone());
                }
            }
        }
    }
}
