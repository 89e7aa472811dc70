use std::time::Duration;

use quincewheel_pool::{Decision, Demand, Limits, Pool};

use crate::baseline::Baseline;
use crate::stream::{Job, Site, Stream, TEAMS};

/// A scheduler under trial.
pub enum Policy {
    /// The product's decision core.
    Core(Box<Pool>),
    /// A simple scheduler.
    Simple(Baseline),
}

impl Policy {
    /// The product's core for a site and its guarantees.
    pub fn core(site: Site, stream: &Stream, weighing: u32) -> Policy {
        let limits = Limits {
            max_queued: usize::MAX,
            failure_reserve: 1,
            fragmentation_weight: weighing,
            ..Limits::default()
        };
        let mut pool = Pool::new(limits);
        for index in 0..site.workers {
            let rack = index / site.rack;
            let (zone, rack) = (format!("z{}", rack % site.zones), format!("r{rack}"));
            pool.put_worker(&format!("w{index:05}"), &zone, &rack, 8, 8);
        }
        for team in TEAMS {
            pool.put_team(team, 0);
        }
        for (team, shares) in &stream.shares {
            assert_eq!(pool.unsatisfiable_share(team, shares), None, "the guarantees fit");
            pool.put_shares(team, shares.clone());
        }
        Policy::Core(Box::new(pool))
    }

    /// Puts a job into the queue.
    pub fn enqueue(&mut self, job: &Job, now: Duration) {
        match self {
            Policy::Core(pool) => pool.enqueue(job.id, demand(job, now)),
            Policy::Simple(baseline) => baseline.enqueue(job),
        }
    }

    /// What to start and what to stop now.
    pub fn decide(&mut self, now: Duration) -> Vec<Decision> {
        match self {
            Policy::Core(pool) => pool.decide(now),
            Policy::Simple(baseline) => baseline.decide(now),
        }
    }

    /// A job has left its accelerators.
    pub fn release(&mut self, job: &Job, workers: &[String]) {
        match self {
            Policy::Core(pool) => workers.iter().for_each(|worker| pool.release(job.id, worker)),
            Policy::Simple(baseline) => baseline.release(job.id),
        }
    }

    /// A job ran to its end, or failed, on these workers after this time.
    pub fn report(&mut self, job: &Job, workers: &[String], good: bool, ran: Duration) {
        if let Policy::Core(pool) = self {
            workers.iter().for_each(|worker| pool.record_outcome(job.id, worker, good));
            if good {
                pool.record_duration(&job.team, &job.shape, job.declared, ran);
            }
        }
    }

    /// A waiting job was cancelled.
    pub fn withdraw(&mut self, job: u64) {
        match self {
            Policy::Core(pool) => drop(pool.withdraw(job)),
            Policy::Simple(baseline) => baseline.withdraw(job),
        }
    }

    /// A worker is lost, or back.
    pub fn set_worker(&mut self, worker: &str, up: bool) {
        use quincewheel_pool::Condition::{Serving, Suspect};
        match self {
            Policy::Core(pool) => pool.set_condition(worker, if up { Serving } else { Suspect }),
            Policy::Simple(baseline) => baseline.set_worker(worker, up),
        }
    }
}

fn demand(job: &Job, now: Duration) -> Demand {
    Demand {
        team: job.team.clone(),
        shape: job.shape,
        urgent: job.urgent,
        restartable: true,
        arrived_at: now,
        declared_duration: job.declared,
        avoided_workers: Vec::new(),
    }
}
