use std::collections::BTreeMap;
use std::time::Duration;

use crate::demand::Demand;
use crate::shape::Shape;
use crate::tally::{Spot, Tally};
use crate::team::Team;
use crate::worker::Worker;
use crate::{JobId, Placement, cell};

/// Bounds that operators set.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most jobs that wait per team.
    pub queue: usize,
    /// Workers that may fail without breaking a guarantee.
    pub reserve: usize,
    /// After this wait a wide job stops narrower ones from overtaking it.
    pub patience: Duration,
    /// Distinct jobs in a row that fail on a worker before it is quarantined.
    pub strikes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { queue: 1000, reserve: 1, patience: Duration::from_secs(60), strikes: 3 }
    }
}

/// A job that holds accelerators.
#[derive(Clone, Debug)]
pub(crate) struct Holding {
    pub team: String,
    pub shape: Shape,
    pub since: Duration,
    pub restartable: bool,
    /// The share that pays for it, if the team's guarantee does.
    pub share: Option<Shape>,
    /// Set once it was asked to give way.
    pub reclaimed: bool,
    pub places: Placement,
}

/// A place kept for a guaranteed job until its victims have left.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub placement: Placement,
    pub share: Shape,
}

/// All workers, teams and jobs of one shard.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub(crate) limits: Limits,
    pub(crate) workers: BTreeMap<String, Worker>,
    pub(crate) teams: BTreeMap<String, Team>,
    pub(crate) waiting: BTreeMap<JobId, Demand>,
    pub(crate) holdings: BTreeMap<JobId, Holding>,
    pub(crate) claims: BTreeMap<JobId, Claim>,
    /// Distinct jobs that failed in a row, per worker.
    pub(crate) strikes: BTreeMap<String, Vec<JobId>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: Limits) -> Pool {
        Pool { limits, ..Pool::default() }
    }

    /// What a new job may use now: free cells on serving workers, less those
    /// kept for claims.
    pub(crate) fn vacant(&self, avoid: &[String]) -> Tally {
        self.tally(avoid, |worker| worker.free())
    }

    /// What could be had for guarantees: all but what guaranteed jobs hold.
    pub(crate) fn reclaimable(&self, avoid: &[String]) -> Tally {
        self.tally(avoid, |worker| {
            let secure = |job: &JobId| self.holdings.get(job).is_some_and(|h| h.share.is_some());
            let held = worker.held.iter().filter(|(job, _)| secure(job));
            held.fold(cell::full(worker.accelerators), |free, (_, mask)| free & !mask)
        })
    }

    fn tally(&self, avoid: &[String], free: impl Fn(&Worker) -> u64) -> Tally {
        let mut kept: BTreeMap<&str, (u64, u32)> = BTreeMap::new();
        for (worker, mask) in self.claims.values().flat_map(|claim| &claim.placement) {
            let entry = kept.entry(worker).or_default();
            entry.0 |= mask;
            entry.1 += 1;
        }
        let mut tally = Tally::default();
        for (name, worker) in &self.workers {
            if !worker.serving() || avoid.contains(name) {
                continue;
            }
            let (claimed, tasks) = kept.get(name.as_str()).copied().unwrap_or_default();
            let free = free(worker) & !claimed;
            let slots = worker.slots.saturating_sub(worker.tasks + tasks);
            tally.add(&worker.zone, &worker.rack, Spot { worker: name.clone(), free, slots });
        }
        tally
    }

    /// The unused guaranteed shapes of all teams, but for one of `except`.
    pub(crate) fn unused(&self, except: Option<(&str, Shape)>) -> Vec<Shape> {
        let mut shapes = Vec::new();
        for (name, team) in &self.teams {
            for share in &team.shares {
                let mut used = self.used(name, &share.shape);
                if except == Some((name, share.shape)) {
                    used += 1;
                }
                let left = share.count.saturating_sub(used);
                shapes.extend(std::iter::repeat_n(share.shape, left as usize));
            }
        }
        shapes
    }

    /// How many of the team's shares of `shape` are taken.
    pub(crate) fn used(&self, team: &str, shape: &Shape) -> u32 {
        let held = self.holdings.values().filter(|h| h.team == team && h.share == Some(*shape));
        let claimed = self.claims.iter().filter(|(job, claim)| {
            claim.share == *shape && self.waiting.get(job).is_some_and(|d| d.team == team)
        });
        (held.count() + claimed.count()) as u32
    }

    /// The smallest unused share of the team that covers `shape`.
    pub(crate) fn share_for(&self, team: &str, shape: &Shape) -> Option<Shape> {
        let shares = &self.teams.get(team)?.shares;
        let open = shares.iter().filter(|share| {
            share.shape.covers(shape) && self.used(team, &share.shape) < share.count
        });
        open.map(|share| share.shape).min_by_key(|shape| shape.total())
    }

    /// Accelerators that a team holds.
    pub(crate) fn held_by(&self, team: &str) -> u32 {
        self.holdings.values().filter(|h| h.team == team).map(|h| h.shape.total()).sum()
    }
}
