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

/// Bounds that operators set.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most jobs that wait per team.
    pub max_queued: usize,
    /// Workers that may fail without breaking a guarantee.
    pub failure_reserve: usize,
    /// After this wait a wide job stops narrower ones from overtaking it.
    pub bypass_limit: Duration,
    /// 0 weighs completion time alone, 100 fragmentation alone.
    pub fragmentation_weight: u32,
    /// Distinct jobs in a row that fail on a worker before it is quarantined.
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
    /// When it is expected to end.
    pub ends: Duration,
    pub restartable: bool,
    /// The share that pays for it, if the team's guarantee does.
    pub share: Option<Shape>,
    /// Set once it was asked to give way.
    pub reclaimed: bool,
    pub places: Placement,
}

/// A place kept for a waiting job until those who hold it have left.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub placement: Placement,
    /// The share that pays for it, if a guarantee does.
    pub share: Option<Shape>,
    /// When the place is expected to be free, if nobody was asked to leave it.
    /// Jobs that are expected to end before may use it meanwhile.
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
    /// Distinct jobs that failed in a row, per worker.
    pub(crate) strikes: BTreeMap<String, Vec<JobId>>,
    pub(crate) estimates: Estimates,
    /// Where the workers are; made anew when they change.
    pub(crate) layout: Option<Arc<Layout>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: Limits) -> Pool {
        Pool { limits, ..Pool::default() }
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
            claim.share == Some(*shape) && self.waiting.get(job).is_some_and(|d| d.team == team)
        });
        (held.count() + claimed.count()) as u32
    }

    /// An unused share of the team that covers `shape`, the least adjacent.
    pub(crate) fn share_for(&self, team: &str, shape: &Shape) -> Option<Shape> {
        let shares = &self.teams.get(team)?.shares;
        let open = shares.iter().filter(|share| {
            share.shape.covers(shape) && self.used(team, &share.shape) < share.count
        });
        open.map(|share| share.shape).min_by_key(|shape| shape.adjacency)
    }

    /// Accelerators that a team holds.
    pub(crate) fn held_by(&self, team: &str) -> u32 {
        self.holdings
            .values()
            .filter(|h| h.team == team)
            .map(|h| h.shape.total_accelerators())
            .sum()
    }
}
