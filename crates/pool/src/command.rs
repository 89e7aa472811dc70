//! Commands: they change the pool.

use std::time::Duration;

use crate::cell;
use crate::decision::Decision;
use crate::demand::Demand;
use crate::guarantee;
use crate::plan;
use crate::pool::{Claim, Holding, Pool};
use crate::shape::Shape;
use crate::share::Share;
use crate::worker::{Condition, Worker};
use crate::{JobId, Placement};

/// How much dearer it is to stop work that may not run again.
const FINAL_LOSS: u128 = 1_000_000;

impl Pool {
    /// Adds a worker, or takes note that it changed. What it holds stays.
    pub fn put_worker(
        &mut self,
        name: &str,
        zone: &str,
        rack: &str,
        accelerators: u32,
        slots: u32,
    ) {
        let worker = self.workers.entry(name.to_owned()).or_insert_with(|| Worker {
            zone: String::new(),
            rack: String::new(),
            accelerators: 0,
            slots: 0,
            condition: Condition::Serving,
            held: Default::default(),
            tasks: 0,
        });
        worker.zone = zone.to_owned();
        worker.rack = rack.to_owned();
        worker.accelerators = accelerators;
        worker.slots = slots;
    }

    /// Forgets a worker and what it holds.
    pub fn remove_worker(&mut self, name: &str) {
        self.workers.remove(name);
        self.strikes.remove(name);
        self.drop_claims_on(name);
    }

    /// Says whether a worker may be given new work.
    pub fn set_condition(&mut self, name: &str, condition: Condition) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.condition = condition;
        if condition != Condition::Serving {
            self.drop_claims_on(name);
        }
    }

    /// Claims on a worker that is gone would wait for ever: their jobs plan anew.
    fn drop_claims_on(&mut self, name: &str) {
        self.claims.retain(|_, claim| claim.placement.iter().all(|(worker, _)| worker != name));
    }

    /// Sets a team's quota.
    pub fn put_team(&mut self, team: &str, quota: u32) {
        self.teams.entry(team.to_owned()).or_default().quota = quota;
    }

    /// Sets a team's guaranteed shapes. Ask [`Pool::misfit`] first.
    pub fn put_shares(&mut self, team: &str, shares: Vec<Share>) {
        self.teams.entry(team.to_owned()).or_default().shares = shares;
    }

    /// Puts a job into its team's queue.
    pub fn enqueue(&mut self, job: JobId, demand: Demand) {
        self.waiting.insert(job, demand);
    }

    /// Takes a job out of its queue. False if it was not waiting.
    pub fn withdraw(&mut self, job: JobId) -> bool {
        self.claims.remove(&job);
        self.waiting.remove(&job).is_some()
    }

    /// Notes a job found running at `worker`, as after a takeover.
    pub fn adopt(
        &mut self,
        job: JobId,
        team: &str,
        shape: Shape,
        restartable: bool,
        place: (&str, u64),
        now: Duration,
    ) {
        let (worker, mask) = place;
        let share = match self.holdings.get(&job) {
            Some(holding) => holding.share,
            None => self.share_for(team, &shape),
        };
        let holding = self.holdings.entry(job).or_insert_with(|| Holding {
            team: team.to_owned(),
            shape,
            since: now,
            restartable,
            share,
            reclaimed: false,
            places: Vec::new(),
        });
        let place = (worker.to_owned(), mask);
        if holding.places.contains(&place) {
            return;
        }
        holding.places.push(place);
        self.hold(job, worker, mask);
    }

    fn hold(&mut self, job: JobId, worker: &str, mask: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            *worker.held.entry(job).or_default() |= mask;
            worker.tasks += 1;
        }
    }

    /// Gives back what a job holds on `worker`.
    pub fn release(&mut self, job: JobId, worker: &str) {
        let Some(holding) = self.holdings.get_mut(&job) else { return };
        let before = holding.places.len();
        holding.places.retain(|(name, _)| name != worker);
        let tasks = (before - holding.places.len()) as u32;
        if holding.places.is_empty() {
            self.holdings.remove(&job);
        }
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.held.remove(&job);
            worker.tasks = worker.tasks.saturating_sub(tasks);
        }
    }

    /// Notes that a job ended well on a worker, or that it failed there.
    /// A worker on which distinct jobs fail in a row is quarantined: it would
    /// otherwise attract work, since what fails at once frees its place at once.
    pub fn report(&mut self, job: JobId, worker: &str, good: bool) {
        if good {
            self.strikes.remove(worker);
            return;
        }
        let strikes = self.strikes.entry(worker.to_owned()).or_default();
        if !strikes.contains(&job) {
            strikes.push(job);
        }
        if strikes.len() >= self.limits.strikes {
            self.set_condition(worker, Condition::Quarantined);
        }
    }

    /// Starts what can start and asks borrowed work to give way where a
    /// guaranteed job cannot start otherwise.
    pub fn decide(&mut self, now: Duration) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut stuck: Vec<Shape> = Vec::new();
        for job in self.order() {
            let demand = self.waiting[&job].clone();
            // Equal shapes fail alike; this keeps a long queue linear.
            let fresh = demand.avoid.is_empty();
            if fresh && stuck.contains(&demand.shape) && !self.covered(job, &demand) {
                continue;
            }
            if !self.try_start(job, &demand, now, &mut decisions) {
                if fresh {
                    stuck.push(demand.shape);
                }
                if now.saturating_sub(demand.arrived) >= self.limits.patience {
                    // An old job that does not fit stops the queue behind it,
                    // or narrower jobs would take each place that falls free.
                    break;
                }
            }
        }
        decisions
    }

    /// Waiting jobs: guaranteed and urgent first, then by what teams hold.
    fn order(&self) -> Vec<JobId> {
        let key = |(job, demand): (&JobId, &Demand)| {
            let guaranteed = self.covered(*job, demand);
            let rank = match (guaranteed, demand.urgent) {
                (true, true) => 0,
                (true, false) => 1,
                (false, true) => 2,
                (false, false) => 3,
            };
            (rank, self.held_by(&demand.team), demand.arrived, *job)
        };
        let mut keys: Vec<_> = self.waiting.iter().map(key).collect();
        keys.sort();
        keys.into_iter().map(|(.., job)| job).collect()
    }

    fn covered(&self, job: JobId, demand: &Demand) -> bool {
        self.claims.contains_key(&job) || self.share_for(&demand.team, &demand.shape).is_some()
    }

    fn try_start(
        &mut self,
        job: JobId,
        demand: &Demand,
        now: Duration,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let quota = self.teams.get(&demand.team).map_or(0, |team| team.quota);
        if quota > 0 && self.held_by(&demand.team) + demand.shape.total() > quota {
            return true;
        }
        if let Some(claim) = self.claims.get(&job) {
            let free = claim.placement.iter().all(|(worker, mask)| {
                self.workers.get(worker).is_some_and(|w| w.free() & mask == *mask)
            });
            if !free {
                return true;
            }
            let claim = self.claims.remove(&job).expect("present above");
            self.start(job, demand, claim.placement, Some(claim.share), now, decisions);
            return true;
        }
        let share = self.share_for(&demand.team, &demand.shape);
        if let Some(placement) = plan::take(&mut self.vacant(&demand.avoid), &demand.shape) {
            // A borrowed job may sit anywhere, since it can be reclaimed. A
            // guaranteed one may not break what other teams are still owed.
            if share.is_none_or(|share| self.harmless(&placement, &demand.team, share)) {
                self.start(job, demand, placement, share, now, decisions);
                return true;
            }
        }
        match share {
            Some(share) => self.claim(job, demand, share, now, decisions),
            None => false,
        }
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
            for (_, mask) in placement.iter().filter(|(worker, _)| *worker == spot.worker) {
                spot.free &= !mask;
                spot.slots = spot.slots.saturating_sub(1);
            }
        }
        guarantee::pack(tally, &mut self.unused(Some((team, share)))).is_none()
    }

    /// Finds cells that borrowed work holds and asks it to leave. Slots that
    /// the victims fill do not count against the claimant.
    fn claim(
        &mut self,
        job: JobId,
        demand: &Demand,
        share: Shape,
        now: Duration,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let mut tally = self.reclaimable(&demand.avoid);
        for at in 0..tally.spots().len() {
            let spot = tally.spot(at);
            let worker = &self.workers[&spot.worker];
            let borrowed = worker
                .held
                .keys()
                .filter(|job| self.holdings.get(job).is_none_or(|holding| holding.share.is_none()));
            spot.slots += borrowed.count() as u32;
        }
        let Some(placement) = self.cheapest(&tally, &demand.shape, now) else { return false };
        if !self.harmless(&placement, &demand.team, share) {
            return false;
        }
        let victims = self.victims(&placement);
        for victim in victims {
            let Some(holding) = self.holdings.get_mut(&victim) else { continue };
            if !holding.reclaimed {
                holding.reclaimed = true;
                decisions.push(Decision::Reclaim { job: victim, claimant: job });
            }
        }
        self.claims.insert(job, Claim { placement, share });
        true
    }

    /// Jobs that hold any accelerator of `placement`.
    fn victims(&self, placement: &Placement) -> Vec<JobId> {
        let mut victims: Vec<JobId> = Vec::new();
        for (worker, mask) in placement {
            let held = &self.workers[worker].held;
            victims.extend(held.iter().filter(|(_, m)| *m & mask != 0).map(|(job, _)| *job));
        }
        victims.sort();
        victims.dedup();
        victims
    }

    /// The place whose borrowers lose the least work: accelerators times the
    /// time they have run.
    fn cheapest(
        &self,
        tally: &crate::tally::Tally,
        shape: &Shape,
        now: Duration,
    ) -> Option<Placement> {
        let loss = |worker: &str, mask: u64| -> u128 {
            let held = self.workers[worker].held.iter().filter(|(_, m)| *m & mask != 0);
            let holdings = held.filter_map(|(job, _)| self.holdings.get(job));
            holdings
                .map(|h| {
                    let ran = now.saturating_sub(h.since).as_millis() + 1;
                    let weight = if h.restartable { 1 } else { FINAL_LOSS };
                    u128::from(h.shape.total()) * ran * weight
                })
                .sum()
        };
        let size = shape.cell();
        let mut best: Option<(u128, Placement)> = None;
        for domain in tally.domains(shape.adjacency) {
            let mut cells: Vec<(u128, &str, u64)> = Vec::new();
            for at in domain {
                let spot = &tally.spots()[at];
                let mut here: Vec<_> = cell::within(spot.free, size)
                    .map(|mask| (loss(&spot.worker, mask), spot.worker.as_str(), mask))
                    .collect();
                here.sort();
                here.truncate(spot.slots as usize);
                cells.extend(here);
            }
            if cells.len() < shape.tasks as usize {
                continue;
            }
            cells.sort();
            cells.truncate(shape.tasks as usize);
            let total = cells.iter().map(|(loss, ..)| loss).sum();
            if best.as_ref().is_none_or(|(least, _)| total < *least) {
                let placement = cells.iter().map(|(_, w, mask)| ((*w).to_owned(), *mask));
                best = Some((total, placement.collect()));
            }
        }
        best.map(|(_, placement)| placement)
    }
}
