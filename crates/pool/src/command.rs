//! Commands, which change the pool.

use std::time::Duration;

use crate::JobId;
use crate::demand::Demand;
use crate::pool::{Holding, Pool};
use crate::shape::Shape;
use crate::share::Share;
use crate::worker::{Condition, Worker};

impl Pool {
    /// Adds a worker or updates its place and size. Its jobs stay.
    pub fn put_worker(
        &mut self,
        name: &str,
        zone: &str,
        rack: &str,
        accelerators: u32,
        slots: u32,
    ) {
        let worker = self.workers.entry(name.to_owned()).or_insert_with(|| Worker::new(name));
        worker.zone = zone.to_owned();
        worker.rack = rack.to_owned();
        worker.accelerators = accelerators;
        worker.slots = slots;
        worker.refresh();
        self.layout = None;
    }

    /// Removes a worker and the accelerators that jobs hold on it.
    pub fn remove_worker(&mut self, name: &str) {
        self.workers.remove(name);
        self.layout = None;
        self.strikes.remove(name);
        self.drop_claims_on(name);
    }

    /// Sets the condition of a worker. One that stops serving loses the claims on it.
    pub fn set_condition(&mut self, name: &str, condition: Condition) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.condition = condition;
        if condition != Condition::Serving {
            self.drop_claims_on(name);
        }
    }

    /// Drops claims that include a worker that no longer serves. They would wait forever, so their
    /// jobs are planned again.
    fn drop_claims_on(&mut self, name: &str) {
        self.claims.retain(|_, claim| claim.placement.iter().all(|(worker, _)| worker != name));
    }

    /// Sets a team's quota.
    pub fn put_team(&mut self, team: &str, quota: u32) {
        self.teams.entry(team.to_owned()).or_default().quota = quota;
    }

    /// Sets a team's guaranteed shapes. Check them with [`Pool::unsatisfiable_share`] first.
    pub fn put_shares(&mut self, team: &str, shares: Vec<Share>) {
        self.teams.entry(team.to_owned()).or_default().shares = shares;
    }

    /// Puts a job into its team's queue.
    pub fn enqueue(&mut self, job: JobId, demand: Demand) {
        self.waiting.insert(job, demand);
    }

    /// Removes a job from its queue. False if it was not waiting.
    pub fn withdraw(&mut self, job: JobId) -> bool {
        self.claims.remove(&job);
        self.waiting.remove(&job).is_some()
    }

    /// Records a job that was found running on a worker, as after a takeover of ownership. `place`
    /// is the worker and the mask of accelerators.
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
            ends: now,
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

    pub(crate) fn hold(&mut self, job: JobId, worker: &str, mask: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            *worker.held.entry(job).or_default() |= mask;
            worker.tasks += 1;
            worker.refresh();
        }
    }

    /// Releases the accelerators that a job holds on `worker`.
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
            worker.refresh();
        }
    }

    /// Records how long a job of this team and shape ran, to correct later declarations.
    pub fn record_duration(
        &mut self,
        team: &str,
        shape: &Shape,
        declared: Duration,
        ran: Duration,
    ) {
        self.estimates.record(team, shape.total_accelerators(), declared, ran);
    }

    /// Records that a job succeeded on a worker, or failed there. A worker on which distinct jobs
    /// fail in a row is quarantined: it would otherwise attract work, since jobs that fail at once
    /// free their accelerators at once.
    pub fn record_outcome(&mut self, job: JobId, worker: &str, succeeded: bool) {
        if succeeded {
            self.strikes.remove(worker);
            return;
        }
        let strikes = self.strikes.entry(worker.to_owned()).or_default();
        if !strikes.contains(&job) {
            strikes.push(job);
        }
        if strikes.len() >= self.limits.quarantine_threshold {
            self.set_condition(worker, Condition::Quarantined);
        }
    }
}
