//! The command that starts and reclaims.

use std::time::Duration;

use crate::cell;
use crate::decision::Decision;
use crate::demand::Demand;
use crate::guarantee;
use crate::plan;
use crate::pool::{Claim, Holding, Pool};
use crate::shape::Shape;
use crate::tally::Tally;
use crate::{JobId, Placement};

/// How much dearer it is to stop work that may not run again.
const FINAL_LOSS: u128 = 1_000_000;
/// What a checkpoint and a restart from it cost, as far as decisions go.
const MOVE: Duration = Duration::from_secs(60);
/// Places that are kept at once for waiting jobs until their holders end.
const DRAINS: usize = 1;
/// Places that are looked at for one reclaim.
const TRIES: usize = 16;
/// Waiting jobs looked at in one decision, once so many did not fit.
const MISSES: usize = 64;

impl Pool {
    /// Starts what can start and asks borrowed work to give way where a
    /// guaranteed job cannot start otherwise.
    pub fn decide(&mut self, now: Duration) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.layout = Some(self.layout());
        // What is free and kept for nobody, for all jobs of this decision.
        let mut spare = None;
        let mut stuck: Vec<(Shape, bool)> = Vec::new();
        let mut misses = 0;
        for job in self.order(now) {
            let demand = self.waiting[&job].clone();
            let covered = self.covered(job, &demand);
            // Equal shapes fail alike; this keeps a long queue linear.
            let alike = (demand.shape, covered);
            let fresh = demand.avoided_workers.is_empty() && !self.claims.contains_key(&job);
            if fresh && stuck.contains(&alike) {
                continue;
            }
            if self.try_start(job, &demand, now, &mut spare, &mut decisions) {
                continue;
            }
            if self.make_room(job, &demand, now, &mut decisions) {
                spare = None;
            }
            if fresh {
                stuck.push(alike);
            }
            misses += 1;
            if misses >= MISSES {
                break;
            }
        }
        decisions
    }

    fn covered(&self, job: JobId, demand: &Demand) -> bool {
        self.claims.get(&job).is_some_and(|claim| claim.share.is_some())
            || self.share_for(&demand.team, &demand.shape).is_some()
    }

    /// Starts the job, or sees that its place is being freed. False if there is
    /// no place for it.
    fn try_start(
        &mut self,
        job: JobId,
        demand: &Demand,
        now: Duration,
        spare: &mut Option<Tally>,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let quota = self.teams.get(&demand.team).map_or(0, |team| team.quota);
        if quota > 0 && self.held_by(&demand.team) + demand.shape.total_accelerators() > quota {
            return true;
        }
        if let Some(claim) = self.claims.get(&job) {
            if self.is_free(&claim.placement) {
                let claim = self.claims.remove(&job).expect("present above");
                self.start(job, demand, claim.placement, claim.share, now, decisions);
                return true;
            }
            let freeing = claim.ready.is_none()
                && (claim.share.is_some() || self.being_freed(&claim.placement));
            if freeing {
                return true;
            }
            if claim.ready.is_none() {
                // A guaranteed job took part of the place meanwhile.
                self.claims.remove(&job);
            }
        }
        let share = self.share_for(&demand.team, &demand.shape);
        // A guaranteed job sits as its share says, or the share would not fit
        // any more while it runs.
        let shape = share.unwrap_or(demand.shape);
        if let Some(placement) = self.find(demand, &shape, now, spare) {
            if share.is_none() && self.spoils(&placement, demand, now) {
                *spare = None;
                return false;
            }
            // A borrowed job may sit anywhere, since it can be reclaimed. A
            // guaranteed one may not break what other teams are still owed.
            if share.is_none_or(|share| self.harmless(&placement, &demand.team, share)) {
                self.claims.remove(&job);
                self.start(job, demand, placement, share, now, decisions);
                return true;
            }
            *spare = None;
        }
        match share {
            Some(share) => {
                *spare = None;
                self.reclaim(job, demand, share, now, decisions)
            }
            None => self.claims.contains_key(&job),
        }
    }

    /// Finds a place among what is free and takes it out of `spare`. Places
    /// that are kept until their holders end are tried last.
    fn find(
        &self,
        demand: &Demand,
        shape: &Shape,
        now: Duration,
        spare: &mut Option<Tally>,
    ) -> Option<Placement> {
        if demand.avoided_workers.is_empty() {
            let spare = spare.get_or_insert_with(|| self.spare());
            if let Some(placement) = plan::take(spare, shape) {
                return Some(placement);
            }
            if self.claims.values().all(|claim| claim.ready.is_none()) {
                return None;
            }
        }
        let placement = plan::take(&mut self.vacant(demand, now), shape)?;
        *spare = None;
        Some(placement)
    }

    fn is_free(&self, placement: &Placement) -> bool {
        placement.iter().all(|(name, mask)| {
            let tasks = placement.iter().filter(|(other, _)| other == name).count() as u32;
            self.workers.get(name).is_some_and(|worker| {
                worker.free() & mask == *mask && worker.tasks + tasks <= worker.slots
            })
        })
    }

    /// True if a small job would break into a wholly free worker while it may
    /// still wait for a cell elsewhere: the patience for each point of weighing.
    fn spoils(&self, placement: &Placement, demand: &Demand, now: Duration) -> bool {
        let bound = self.limits.bypass_limit * self.limits.fragmentation_weight.min(100);
        if demand.urgent || now.saturating_sub(demand.arrived_at) >= bound {
            return false;
        }
        placement.iter().any(|(name, mask)| {
            let whole = cell::full(self.workers[name].accelerators);
            self.workers[name].free() == whole && *mask != whole
        })
    }

    fn being_freed(&self, placement: &Placement) -> bool {
        let leaving = |id: &JobId| self.holdings.get(id).is_some_and(|holding| holding.reclaimed);
        self.victims(placement).iter().all(leaving)
    }

    fn start(
        &mut self,
        job: JobId,
        demand: &Demand,
        placement: Placement,
        share: Option<Shape>,
        now: Duration,
        decisions: &mut Vec<Decision>,
    ) {
        self.waiting.remove(&job);
        for (worker, mask) in &placement {
            self.hold(job, worker, *mask);
        }
        let holding = Holding {
            team: demand.team.clone(),
            shape: demand.shape,
            since: now,
            ends: now + self.estimates.expect(demand),
            restartable: demand.restartable,
            share,
            reclaimed: false,
            places: placement.clone(),
        };
        self.holdings.insert(job, holding);
        decisions.push(Decision::Start { job, placement, guaranteed: share.is_some() });
    }

    /// True if all other unused guarantees still fit beside `placement`.
    fn harmless(&self, placement: &Placement, team: &str, share: Shape) -> bool {
        let mut tally = self.reclaimable(&[]);
        for at in 0..tally.spots().len() {
            let spot = tally.spot(at);
            for (_, mask) in placement.iter().filter(|(worker, _)| **worker == *spot.worker) {
                spot.free &= !mask;
                spot.slots = spot.slots.saturating_sub(1);
            }
        }
        guarantee::pack(tally, &mut self.unused(Some((team, share)))).is_none()
    }

    /// Finds cells that borrowed work holds and asks it to leave.
    fn reclaim(
        &mut self,
        job: JobId,
        demand: &Demand,
        share: Shape,
        now: Duration,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let tally = self.reclaimable(&demand.avoided_workers);
        let loss = |worker: &str, mask: u64| self.loss(worker, mask, now);
        // The cheapest place may be one that another guarantee needs.
        let found = cheapest(&tally, &share, loss).into_iter().take(TRIES);
        let mut found = found.filter(|place| self.harmless(place, &demand.team, share));
        let Some(placement) = found.next() else { return false };
        drop(found);
        // A place kept for a job without a guarantee would start it there.
        self.claims.retain(|_, claim| claim.share.is_some() || !overlap(claim, &placement));
        if self.is_free(&placement) {
            self.start(job, demand, placement, Some(share), now, decisions);
            return true;
        }
        self.evict(job, &placement, decisions);
        self.claims.insert(job, Claim { placement, share: Some(share), ready: None });
        true
    }

    /// Asks all that hold any accelerator of `placement` to leave.
    fn evict(&mut self, claimant: JobId, placement: &Placement, decisions: &mut Vec<Decision>) {
        for victim in self.victims(placement) {
            let Some(holding) = self.holdings.get_mut(&victim) else { continue };
            if !holding.reclaimed {
                holding.reclaimed = true;
                decisions.push(Decision::Reclaim { job: victim, claimant });
            }
        }
    }

    /// Jobs that must leave for `placement`: those that hold its accelerators,
    /// and borrowers that fill the slots it needs, the latest first.
    fn victims(&self, placement: &Placement) -> Vec<JobId> {
        let mut victims = self.holders(placement);
        for (name, _) in placement {
            let Some(worker) = self.workers.get(name) else { continue };
            let wanted = placement.iter().filter(|(other, _)| other == name).count() as u32;
            let leaving: u32 = victims.iter().map(|job| self.tasks_of(*job, name)).sum();
            let mut excess = (worker.tasks + wanted).saturating_sub(leaving + worker.slots);
            let borrowed = |job: &&JobId| {
                let holding = self.holdings.get(*job);
                holding.is_some_and(|h| h.share.is_none()) && !victims.contains(job)
            };
            let mut others: Vec<JobId> = worker.held.keys().filter(borrowed).copied().collect();
            others.sort_by_key(|job| self.holdings[job].since);
            while excess > 0 {
                let Some(job) = others.pop() else { break };
                excess = excess.saturating_sub(self.tasks_of(job, name));
                victims.push(job);
            }
        }
        victims
    }

    /// Jobs that hold any accelerator of `placement`.
    fn holders(&self, placement: &Placement) -> Vec<JobId> {
        let mut holders: Vec<JobId> = Vec::new();
        for (worker, mask) in placement {
            let held = &self.workers[worker].held;
            holders.extend(held.iter().filter(|(_, m)| *m & mask != 0).map(|(job, _)| *job));
        }
        holders.sort();
        holders.dedup();
        holders
    }

    /// Work that is lost if the holders of a cell are stopped: accelerators
    /// times the time they have run.
    fn loss(&self, worker: &str, mask: u64, now: Duration) -> u128 {
        let held = self.workers[worker].held.iter().filter(|(_, m)| *m & mask != 0);
        let holdings = held.filter_map(|(job, _)| self.holdings.get(job));
        let lost = holdings.map(|holding| {
            let ran = now.saturating_sub(holding.since).as_millis() + 1;
            let weight = if holding.restartable { 1 } else { FINAL_LOSS };
            u128::from(holding.shape.total_accelerators()) * ran * weight
        });
        lost.sum()
    }

    /// A job that has waited long and does not fit gets a place made for it:
    /// by moving others where that pays, else by keeping a place until its
    /// holders end. Otherwise narrower jobs would take each cell that falls free.
    /// True if a place is kept from now on.
    fn make_room(
        &mut self,
        job: JobId,
        demand: &Demand,
        now: Duration,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let waited = now.saturating_sub(demand.arrived_at);
        if demand.shape.total_accelerators() < 2 || waited < self.limits.bypass_limit {
            return false;
        }
        if self.compact(job, demand, waited, now, decisions) {
            return true;
        }
        let drains = self.claims.values().filter(|claim| claim.ready.is_some()).count();
        if drains >= DRAINS {
            return false;
        }
        let ends = |worker: &str, mask: u64| {
            let held = self.workers[worker].held.iter().filter(|(_, m)| *m & mask != 0);
            let ends = held.filter_map(|(job, _)| self.holdings.get(job)).map(|h| h.ends.max(now));
            ends.max().unwrap_or(now).as_millis()
        };
        let mut tally = self.whole(&demand.avoided_workers);
        for at in 0..tally.spots().len() {
            let spot = tally.spot(at);
            spot.slots = self.workers[&*spot.worker].slots;
        }
        let found = cheapest(&tally, &demand.shape, ends).into_iter().next();
        let Some(placement) = found else { return false };
        let ready = placement.iter().map(|(worker, mask)| ends(worker, *mask)).max();
        let ready = ready.map(|ms| Duration::from_millis(ms as u64));
        self.claims.insert(job, Claim { placement, share: None, ready });
        true
    }

    /// Moves borrowed work off a nearly free place to other free cells, if what
    /// that costs is less than what the wide job's wait is worth.
    fn compact(
        &mut self,
        job: JobId,
        demand: &Demand,
        waited: Duration,
        now: Duration,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let tally = self.reclaimable(&demand.avoided_workers);
        let loss = |worker: &str, mask: u64| self.loss(worker, mask, now);
        let found = cheapest(&tally, &demand.shape, loss).into_iter().next();
        let Some(placement) = found else { return false };
        let holders = self.victims(&placement);
        let movable = |id: &JobId| {
            self.holdings
                .get(id)
                .is_some_and(|h| h.restartable && !h.reclaimed && h.share.is_none())
        };
        if !holders.iter().all(movable) {
            return false;
        }
        let mut spare = self.spare();
        for (worker, mask) in &placement {
            spare.without(worker, *mask);
        }
        let mut cost = Duration::ZERO;
        for id in &holders {
            let holding = &self.holdings[id];
            if holding.shape.total_accelerators() * 2 > demand.shape.total_accelerators()
                || plan::take(&mut spare, &holding.shape).is_none()
            {
                return false;
            }
            cost += MOVE * holding.shape.total_accelerators();
        }
        let lean = 1 + self.limits.fragmentation_weight.min(100) / 25;
        if waited * demand.shape.total_accelerators() * lean < cost * 2 {
            return false;
        }
        self.evict(job, &placement, decisions);
        self.claims.insert(job, Claim { placement, share: None, ready: None });
        true
    }
}

fn overlap(claim: &Claim, placement: &Placement) -> bool {
    let hits = |(worker, mask): &(String, u64)| {
        claim.placement.iter().any(|(other, kept)| other == worker && kept & mask != 0)
    };
    placement.iter().any(hits)
}

/// Places by rising cost, one per domain. The cost is summed over the cells.
fn cheapest(tally: &Tally, shape: &Shape, cost: impl Fn(&str, u64) -> u128) -> Vec<Placement> {
    let size = shape.cell_size();
    let mut found: Vec<(u128, Placement)> = Vec::new();
    for domain in tally.domains(shape.adjacency) {
        let room: u32 = domain.iter().map(|at| tally.spots()[*at].room(size)).sum();
        if room < shape.tasks {
            continue;
        }
        let mut cells: Vec<(u128, &str, u64)> = Vec::new();
        for at in domain {
            let spot = &tally.spots()[*at];
            let mut here: Vec<_> = cell::within(spot.free, size)
                .map(|mask| (cost(&spot.worker, mask), &*spot.worker, mask))
                .collect();
            here.sort();
            here.truncate(spot.slots as usize);
            cells.extend(here);
        }
        cells.sort();
        cells.truncate(shape.tasks as usize);
        let total = cells.iter().map(|(cost, ..)| cost).sum();
        let placement = cells.iter().map(|(_, w, mask)| ((*w).to_owned(), *mask));
        found.push((total, placement.collect()));
    }
    found.sort();
    found.into_iter().map(|(_, placement)| placement).collect()
}
