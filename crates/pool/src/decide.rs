//! The command that starts jobs and reclaims borrowed accelerators.

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

/// Factor on the loss of stopping a job that can't run again.
const UNRESTARTABLE_LOSS_FACTOR: u128 = 1_000_000;
/// Assumed cost per accelerator of moving a job: a checkpoint and a restart from it.
const MOVE_COST: Duration = Duration::from_secs(60);
/// Maximum number of placements kept at a time for waiting jobs until the holders end.
const MAX_WAITING_CLAIMS: usize = 1;
/// Maximum number of placements considered for one reclaim.
const MAX_RECLAIM_CANDIDATES: usize = 16;
/// A decision ends after this many waiting jobs that did not fit.
const MAX_MISSES: usize = 64;

impl Pool {
    /// Starts all jobs that can start, and reclaims borrowed accelerators where a guaranteed job
    /// can't start otherwise.
    pub fn decide(&mut self, now: Duration) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.layout = Some(self.layout());
        // Free and unclaimed accelerators, computed once for all jobs of this decision.
        let mut spare = None;
        let mut unplaceable: Vec<(Shape, bool)> = Vec::new();
        let mut misses = 0;
        for job in self.order(now) {
            let demand = self.waiting[&job].clone();
            let covered = self.is_covered(job, &demand);
            // Skip shapes that did not fit before, so that the time is linear in the queue.
            let alike = (demand.shape, covered);
            let fresh = demand.avoided_workers.is_empty() && !self.claims.contains_key(&job);
            if fresh && unplaceable.contains(&alike) {
                continue;
            }
            if self.try_start(job, &demand, now, &mut spare, &mut decisions) {
                continue;
            }
            if self.make_room(job, &demand, now, &mut decisions) {
                spare = None;
            }
            if fresh {
                unplaceable.push(alike);
            }
            misses += 1;
            if misses >= MAX_MISSES {
                break;
            }
        }
        decisions
    }

    fn is_covered(&self, job: JobId, demand: &Demand) -> bool {
        self.claims.get(&job).is_some_and(|claim| claim.share.is_some())
            || self.share_for(&demand.team, &demand.shape).is_some()
    }

    /// Starts the job if possible. Also true if its placement is being freed or its team is at its
    /// quota; false if there is no placement for it.
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
                && (claim.share.is_some() || self.is_being_freed(&claim.placement));
            if freeing {
                return true;
            }
            if claim.ready.is_none() {
                // A guaranteed job took part of the placement in the meantime.
                self.claims.remove(&job);
            }
        }
        let share = self.share_for(&demand.team, &demand.shape);
        // A guaranteed job is placed with the shape of its share. Otherwise the share might not fit
        // while it runs.
        let shape = share.unwrap_or(demand.shape);
        if let Some(placement) = self.find_placement(demand, &shape, now, spare) {
            if share.is_none() && self.splits_free_worker(&placement, demand, now) {
                *spare = None;
                return false;
            }
            // A borrowing job may run anywhere, since it can be reclaimed. A guaranteed one must
            // leave the unused guarantees of other teams satisfiable.
            if share.is_none_or(|share| self.keeps_guarantees(&placement, &demand.team, share)) {
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

    /// Finds a placement among free accelerators and removes it from `spare`. Accelerators that are
    /// claimed until their holders end are tried last.
    fn find_placement(
        &self,
        demand: &Demand,
        shape: &Shape,
        now: Duration,
        spare: &mut Option<Tally>,
    ) -> Option<Placement> {
        if demand.avoided_workers.is_empty() {
            let spare = spare.get_or_insert_with(|| self.unclaimed());
            if let Some(placement) = plan::take(spare, shape) {
                return Some(placement);
            }
            if self.claims.values().all(|claim| claim.ready.is_none()) {
                return None;
            }
        }
        let placement = plan::take(&mut self.available_to(demand, now), shape)?;
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

    /// True if a small job would split a wholly free worker while it may still wait for a cell
    /// elsewhere. It may wait for the bypass limit times the weight of fragmentation.
    fn splits_free_worker(&self, placement: &Placement, demand: &Demand, now: Duration) -> bool {
        let bound = self.limits.bypass_limit * self.limits.fragmentation_weight.min(100);
        if demand.urgent || now.saturating_sub(demand.arrived_at) >= bound {
            return false;
        }
        placement.iter().any(|(name, mask)| {
            let whole = cell::full(self.workers[name].accelerators);
            self.workers[name].free() == whole && *mask != whole
        })
    }

    fn is_being_freed(&self, placement: &Placement) -> bool {
        let leaving = |id: &JobId| self.holdings.get(id).is_some_and(|holding| holding.reclaimed);
        self.blockers(placement).iter().all(leaving)
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
            ends: now + self.estimates.expected_duration(demand),
            restartable: demand.restartable,
            share,
            reclaimed: false,
            places: placement.clone(),
        };
        self.holdings.insert(job, holding);
        decisions.push(Decision::Start { job, placement, guaranteed: share.is_some() });
    }

    /// True if all other unused guarantees still fit next to `placement`.
    fn keeps_guarantees(&self, placement: &Placement, team: &str, share: Shape) -> bool {
        let mut tally = self.reclaimable(&[]);
        for index in 0..tally.workers().len() {
            let cells = tally.worker_mut(index);
            for (_, mask) in placement.iter().filter(|(worker, _)| **worker == *cells.worker) {
                cells.free &= !mask;
                cells.slots = cells.slots.saturating_sub(1);
            }
        }
        guarantee::pack(tally, &mut self.unused_shares(Some((team, share)))).is_none()
    }

    /// Finds cells that borrowing jobs hold and asks these to stop. False if there are none.
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
        // The cheapest placement may be needed by another guarantee.
        let found =
            cheapest_placements(&tally, &share, loss).into_iter().take(MAX_RECLAIM_CANDIDATES);
        let mut found = found.filter(|place| self.keeps_guarantees(place, &demand.team, share));
        let Some(placement) = found.next() else { return false };
        drop(found);
        // An overlapping claim without a guarantee would start its job there.
        self.claims.retain(|_, claim| claim.share.is_some() || !overlaps(claim, &placement));
        if self.is_free(&placement) {
            self.start(job, demand, placement, Some(share), now, decisions);
            return true;
        }
        self.request_stops(job, &placement, decisions);
        self.claims.insert(job, Claim { placement, share: Some(share), ready: None });
        true
    }

    /// Asks all jobs that block `placement` to stop, except those that were asked before.
    fn request_stops(
        &mut self,
        claimant: JobId,
        placement: &Placement,
        decisions: &mut Vec<Decision>,
    ) {
        for victim in self.blockers(placement) {
            let Some(holding) = self.holdings.get_mut(&victim) else { continue };
            if !holding.reclaimed {
                holding.reclaimed = true;
                decisions.push(Decision::Reclaim { job: victim, claimant });
            }
        }
    }

    /// The jobs that block `placement`: those that hold its accelerators, and borrowing jobs that use
    /// the task slots it needs, the last started first.
    fn blockers(&self, placement: &Placement) -> Vec<JobId> {
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

    /// The work that is lost if the holders of a cell are stopped: accelerators times run time in
    /// milliseconds.
    fn loss(&self, worker: &str, mask: u64, now: Duration) -> u128 {
        let held = self.workers[worker].held.iter().filter(|(_, m)| *m & mask != 0);
        let holdings = held.filter_map(|(job, _)| self.holdings.get(job));
        let lost = holdings.map(|holding| {
            let ran = now.saturating_sub(holding.since).as_millis() + 1;
            let weight = if holding.restartable { 1 } else { UNRESTARTABLE_LOSS_FACTOR };
            u128::from(holding.shape.total_accelerators()) * ran * weight
        });
        lost.sum()
    }

    /// Makes room for a job that has waited long and does not fit: by moving other jobs where that is
    /// worth the cost, else by claiming a placement until its holders end. Otherwise narrower jobs
    /// would take each cell that becomes free. True if a placement is claimed.
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
        if self.move_blockers(job, demand, waited, now, decisions) {
            return true;
        }
        let waiting_claims = self.claims.values().filter(|claim| claim.ready.is_some()).count();
        if waiting_claims >= MAX_WAITING_CLAIMS {
            return false;
        }
        let ends = |worker: &str, mask: u64| {
            let held = self.workers[worker].held.iter().filter(|(_, m)| *m & mask != 0);
            let ends = held.filter_map(|(job, _)| self.holdings.get(job)).map(|h| h.ends.max(now));
            ends.max().unwrap_or(now).as_millis()
        };
        let mut tally = self.unclaimed_or_held(&demand.avoided_workers);
        for index in 0..tally.workers().len() {
            let cells = tally.worker_mut(index);
            cells.slots = self.workers[&*cells.worker].slots;
        }
        let found = cheapest_placements(&tally, &demand.shape, ends).into_iter().next();
        let Some(placement) = found else { return false };
        let ready = placement.iter().map(|(worker, mask)| ends(worker, *mask)).max();
        let ready = ready.map(|ms| Duration::from_millis(ms as u64));
        self.claims.insert(job, Claim { placement, share: None, ready });
        true
    }

    /// Moves borrowing jobs from a nearly free placement to other free cells, if that costs less than
    /// the wait of the wide job is worth.
    fn move_blockers(
        &mut self,
        job: JobId,
        demand: &Demand,
        waited: Duration,
        now: Duration,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let tally = self.reclaimable(&demand.avoided_workers);
        let loss = |worker: &str, mask: u64| self.loss(worker, mask, now);
        let found = cheapest_placements(&tally, &demand.shape, loss).into_iter().next();
        let Some(placement) = found else { return false };
        let holders = self.blockers(&placement);
        let movable = |id: &JobId| {
            self.holdings
                .get(id)
                .is_some_and(|h| h.restartable && !h.reclaimed && h.share.is_none())
        };
        if !holders.iter().all(movable) {
            return false;
        }
        let mut spare = self.unclaimed();
        for (worker, mask) in &placement {
            spare.remove(worker, *mask);
        }
        let mut cost = Duration::ZERO;
        for id in &holders {
            let holding = &self.holdings[id];
            if holding.shape.total_accelerators() * 2 > demand.shape.total_accelerators()
                || plan::take(&mut spare, &holding.shape).is_none()
            {
                return false;
            }
            cost += MOVE_COST * holding.shape.total_accelerators();
        }
        let weight = 1 + self.limits.fragmentation_weight.min(100) / 25;
        if waited * demand.shape.total_accelerators() * weight < cost * 2 {
            return false;
        }
        self.request_stops(job, &placement, decisions);
        self.claims.insert(job, Claim { placement, share: None, ready: None });
        true
    }
}

fn overlaps(claim: &Claim, placement: &Placement) -> bool {
    let hits = |(worker, mask): &(String, u64)| {
        claim.placement.iter().any(|(other, kept)| other == worker && kept & mask != 0)
    };
    placement.iter().any(hits)
}

/// Returns the cheapest placement of each domain, by rising cost. The cost is summed over the cells.
fn cheapest_placements(
    tally: &Tally,
    shape: &Shape,
    cost: impl Fn(&str, u64) -> u128,
) -> Vec<Placement> {
    let size = shape.cell_size();
    let mut found: Vec<(u128, Placement)> = Vec::new();
    for domain in tally.domains(shape.adjacency) {
        let room: u32 =
            domain.iter().map(|index| tally.workers()[*index].task_capacity(size)).sum();
        if room < shape.tasks {
            continue;
        }
        let mut cells: Vec<(u128, &str, u64)> = Vec::new();
        for index in domain {
            let on_worker = &tally.workers()[*index];
            let mut here: Vec<_> = cell::within(on_worker.free, size)
                .map(|mask| (cost(&on_worker.worker, mask), &*on_worker.worker, mask))
                .collect();
            here.sort();
            here.truncate(on_worker.slots as usize);
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
