use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::demand::Demand;
use crate::estimate::Estimates;
use crate::shape::Shape;
use crate::tally::Layout;
use crate::team::Team;
use crate::worker::Worker;
use crate::{JobId, Placement};

/// Limits that operators set.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of waiting jobs per team.
    pub max_queued: usize,
    /// Number of workers that may fail without breaking a guarantee.
    pub failure_reserve: usize,
    /// Wait after which capacity is kept for a wide job, so that narrower ones no longer overtake it.
    pub bypass_limit: Duration,
    /// Weight of fragmentation against completion time: 0 for completion time alone, 100 for
    /// fragmentation alone.
    pub fragmentation_weight: u32,
    /// Number of distinct jobs in a row that fail on a worker before it is quarantined.
    pub quarantine_threshold: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        let bypass_limit = Duration::from_secs(60);
        Limits {
            max_queued: 1000,
            failure_reserve: 1,
            bypass_limit,
            fragmentation_weight: 0,
            quarantine_threshold: 3,
        }
    }
}

/// A job that holds accelerators.
#[derive(Clone, Debug)]
pub(crate) struct Holding {
    pub team: String,
    pub shape: Shape,
    pub since: Duration,
    /// When the job is expected to end.
    pub ends: Duration,
    pub restartable: bool,
    /// The share that covers the job, if the team's guarantee does.
    pub share: Option<Shape>,
    /// True once the job was asked to stop for another.
    pub reclaimed: bool,
    pub places: Placement,
}

/// A placement that is kept for a waiting job until the holders of its accelerators have stopped.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub placement: Placement,
    /// The share that covers the job, if a guarantee does.
    pub share: Option<Shape>,
    /// When the placement is expected to be free, if no job was asked to stop for it. Jobs that are
    /// expected to end before then may use it in the meantime.
    pub ready: Option<Duration>,
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
    /// Distinct jobs that failed in a row, by worker.
    pub(crate) strikes: BTreeMap<String, Vec<JobId>>,
    pub(crate) estimates: Estimates,
    /// The racks and availability zones of the workers; rebuilt when they change.
    pub(crate) layout: Option<Arc<Layout>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: Limits) -> Pool {
        Pool { limits, ..Pool::default() }
    }

    /// The unused guaranteed shapes of all teams. One shape of `except` counts as used.
    pub(crate) fn unused_shares(&self, except: Option<(&str, Shape)>) -> Vec<Shape> {
        let mut shapes = Vec::new();
        for (name, team) in &self.teams {
            for share in &team.shares {
                let mut used = self.used_shares(name, &share.shape);
                if except == Some((name, share.shape)) {
                    used += 1;
                }
                let left = share.count.saturating_sub(used);
                shapes.extend(std::iter::repeat_n(share.shape, left as usize));
            }
        }
        shapes
    }

    /// The number of the team's shares of `shape` that are used by running jobs and claims.
    pub(crate) fn used_shares(&self, team: &str, shape: &Shape) -> u32 {
        let held = self.holdings.values().filter(|h| h.team == team && h.share == Some(*shape));
        let claimed = self.claims.iter().filter(|(job, claim)| {
            claim.share == Some(*shape) && self.waiting.get(job).is_some_and(|d| d.team == team)
        });
        (held.count() + claimed.count()) as u32
    }

    /// The unused share of the team that covers `shape`, the least adjacent of several.
    pub(crate) fn share_for(&self, team: &str, shape: &Shape) -> Option<Shape> {
        let shares = &self.teams.get(team)?.shares;
        let open = shares.iter().filter(|share| {
            share.shape.covers(shape) && self.used_shares(team, &share.shape) < share.count
        });
        open.map(|share| share.shape).min_by_key(|shape| shape.adjacency)
    }

    /// The number of accelerators that a team holds.
    pub(crate) fn held_by(&self, team: &str) -> u32 {
        self.holdings
            .values()
            .filter(|h| h.team == team)
            .map(|h| h.shape.total_accelerators())
            .sum()
    }
}
