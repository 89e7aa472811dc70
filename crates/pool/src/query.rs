//! Queries: they read the pool and change nothing.

use std::sync::Arc;

use crate::JobId;
use crate::guarantee;
use crate::pool::Pool;
use crate::shape::Shape;
use crate::share::Share;
use crate::tally::{Spot, Tally};
use crate::worker::{Condition, Worker};
use crate::{Placement, cell};

/// What operators see of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerView<'a> {
    /// The worker's name.
    pub worker: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Its rack.
    pub rack: &'a str,
    /// Accelerators it has.
    pub accelerators: u32,
    /// Accelerators that nobody holds.
    pub free: u32,
    /// Whether it may be given work.
    pub condition: Condition,
    /// Tasks that hold accelerators there.
    pub tasks: u32,
}

/// What operators see of a team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamView<'a> {
    /// The team's name.
    pub team: &'a str,
    /// Most accelerators it may hold.
    pub quota: u32,
    /// Its guaranteed shapes.
    pub shares: &'a [Share],
    /// Accelerators it holds.
    pub held: u32,
    /// Its waiting jobs.
    pub queued: u32,
    /// False while its unused guarantee does not fit the serving workers.
    pub guarantee_fits: bool,
}

impl Pool {
    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = WorkerView<'_>> {
        self.workers.iter().map(|(name, worker)| WorkerView {
            worker: name,
            zone: &worker.zone,
            rack: &worker.rack,
            accelerators: worker.accelerators,
            free: worker.free().count_ones(),
            condition: worker.condition,
            tasks: worker.tasks,
        })
    }

    /// All teams.
    pub fn teams(&self) -> Vec<TeamView<'_>> {
        let missing = self.unsatisfied_guarantee();
        let mut views = Vec::new();
        for (name, team) in &self.teams {
            let owed = |shape| team.shares.iter().any(|share| share.shape == shape);
            views.push(TeamView {
                team: name,
                quota: team.quota,
                shares: &team.shares,
                held: self.held_by(name),
                queued: self.queued_count(name) as u32,
                guarantee_fits: !missing.is_some_and(owed),
            });
        }
        views
    }

    /// Number of the team's waiting jobs.
    pub fn queued_count(&self, team: &str) -> usize {
        self.waiting.values().filter(|demand| demand.team == team).count()
    }

    /// True if the team's queue takes no more.
    pub fn is_queue_full(&self, team: &str) -> bool {
        self.queued_count(team) >= self.limits.max_queued
    }

    /// The first unused guaranteed shape that could not be reclaimed now.
    pub fn unsatisfied_guarantee(&self) -> Option<Shape> {
        guarantee::pack(self.reclaimable(&[]), &mut self.unused(None))
    }

    /// What does not fit if `team` were given `shares`, after `reserve` of the
    /// largest workers failed: the first shape of which not all fit beside the
    /// other teams' guarantees and the shares before it, and how many do.
    pub fn unsatisfiable_share(&self, team: &str, shares: &[Share]) -> Option<Share> {
        let others = self.teams.iter().filter(|(name, _)| *name != team);
        let mut set: Vec<Share> = others.flat_map(|(_, team)| &team.shares).copied().collect();
        for share in shares {
            set.push(*share);
            if self.fits(&set) {
                continue;
            }
            let fits = |count: &u32| {
                let mut fewer = set.clone();
                fewer.last_mut().expect("just pushed").count = *count;
                self.fits(&fewer)
            };
            let count = (0..share.count).rev().find(fits).unwrap_or(0);
            return Some(Share { shape: share.shape, count });
        }
        None
    }

    fn fits(&self, shares: &[Share]) -> bool {
        let all =
            shares.iter().map(|share| share.shape.total_accelerators() * share.count).sum::<u32>();
        let room: u32 = self.workers.values().map(|worker| worker.accelerators).sum();
        if all > room {
            return false;
        }
        let repeat = |share: &Share| std::iter::repeat_n(share.shape, share.count as usize);
        let mut shapes: Vec<Shape> = shares.iter().flat_map(repeat).collect();
        guarantee::pack(self.reserved(), &mut shapes).is_none()
    }

    /// The empty pool without the operators' failure reserve. Drained and
    /// suspect workers count: a guarantee outlives their absence.
    fn reserved(&self) -> Tally {
        let mut sizes: Vec<(u32, &str)> =
            self.workers.iter().map(|(name, w)| (w.accelerators, name.as_str())).collect();
        sizes.sort();
        let kept = sizes.len().saturating_sub(self.limits.failure_reserve);
        let failed: Vec<&str> = sizes[kept..].iter().map(|(_, name)| *name).collect();
        self.empty(&failed)
    }

    /// All workers as if nothing ran, but for those that are taken to fail.
    fn empty(&self, failed: &[&str]) -> Tally {
        let spot = |(name, worker): (&String, &Worker)| {
            let up = !failed.contains(&name.as_str());
            let free = if up { cell::full(worker.accelerators) } else { 0 };
            Spot { worker: Arc::clone(&worker.name), free, slots: worker.slots }
        };
        Tally::new(self.layout(), self.workers.iter().map(spot).collect())
    }

    /// True if the shape could be placed were the pool empty and all workers
    /// served. A job for which this is false can never run.
    pub fn can_ever_fit(&self, shape: &Shape) -> bool {
        crate::plan::take(&mut self.empty(&[]), shape).is_some()
    }

    /// Where a job's accelerators are, if it holds any.
    pub fn placement(&self, job: JobId) -> Option<&Placement> {
        self.holdings.get(&job).map(|holding| &holding.places)
    }

    /// Share of the free accelerators that gangs of `shape` cannot use.
    pub fn fragmentation(&self, shape: &Shape) -> f64 {
        let mut tally = self.spare();
        let free: u32 = tally.spots().iter().map(|spot| spot.free.count_ones()).sum();
        let mut used = 0;
        while crate::plan::take(&mut tally, shape).is_some() {
            used += shape.total_accelerators();
        }
        if free == 0 { 0.0 } else { f64::from(free - used) / f64::from(free) }
    }
}
