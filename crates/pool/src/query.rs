//! Queries, which read the pool and change nothing.

use std::sync::Arc;

use crate::JobId;
use crate::guarantee;
use crate::pool::Pool;
use crate::shape::Shape;
use crate::share::Share;
use crate::tally::{Tally, WorkerCells};
use crate::worker::{Condition, Worker};
use crate::{Placement, cell};

/// A worker as shown to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerView<'a> {
    /// The worker's name.
    pub worker: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Its rack.
    pub rack: &'a str,
    /// Its number of accelerators.
    pub accelerators: u32,
    /// Its number of free accelerators.
    pub free: u32,
    /// Whether it may be given new work.
    pub condition: Condition,
    /// Number of tasks that hold its accelerators.
    pub tasks: u32,
}

/// A team as shown to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamView<'a> {
    /// The team's name.
    pub team: &'a str,
    /// Maximum number of accelerators it may hold; 0 for no limit.
    pub quota: u32,
    /// Its guaranteed shapes.
    pub shares: &'a [Share],
    /// Number of accelerators it holds.
    pub held: u32,
    /// Number of its waiting jobs.
    pub queued: u32,
    /// False while its unused guarantee does not fit on the serving workers.
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
            let concerned = |shape| team.shares.iter().any(|share| share.shape == shape);
            views.push(TeamView {
                team: name,
                quota: team.quota,
                shares: &team.shares,
                held: self.held_by(name),
                queued: self.queued_count(name) as u32,
                guarantee_fits: !missing.is_some_and(concerned),
            });
        }
        views
    }

    /// Number of the team's waiting jobs.
    pub fn queued_count(&self, team: &str) -> usize {
        self.waiting.values().filter(|demand| demand.team == team).count()
    }

    /// True if the team's queue accepts no more jobs.
    pub fn is_queue_full(&self, team: &str) -> bool {
        self.queued_count(team) >= self.limits.max_queued
    }

    /// The first unused guaranteed shape that can't be reclaimed at present.
    pub fn unsatisfied_guarantee(&self) -> Option<Shape> {
        guarantee::pack(self.reclaimable(&[]), &mut self.unused_shares(None))
    }

    /// Checks whether `team` could be guaranteed `shares` even after the largest
    /// [`crate::Limits::failure_reserve`] workers failed. Returns the first shape of which not all fit
    /// beside the other teams' guarantees and the shares before it, and how many do fit.
    pub fn unsatisfiable_share(&self, team: &str, shares: &[Share]) -> Option<Share> {
        let others = self.teams.iter().filter(|(name, _)| *name != team);
        let mut set: Vec<Share> = others.flat_map(|(_, team)| &team.shares).copied().collect();
        for share in shares {
            set.push(*share);
            if self.shares_fit(&set) {
                continue;
            }
            let fits = |count: &u32| {
                let mut fewer = set.clone();
                fewer.last_mut().expect("just pushed").count = *count;
                self.shares_fit(&fewer)
            };
            let count = (0..share.count).rev().find(fits).unwrap_or(0);
            return Some(Share { shape: share.shape, count });
        }
        None
    }

    fn shares_fit(&self, shares: &[Share]) -> bool {
        let all =
            shares.iter().map(|share| share.shape.total_accelerators() * share.count).sum::<u32>();
        let room: u32 = self.workers.values().map(|worker| worker.accelerators).sum();
        if all > room {
            return false;
        }
        let repeat = |share: &Share| std::iter::repeat_n(share.shape, share.count as usize);
        let mut shapes: Vec<Shape> = shares.iter().flat_map(repeat).collect();
        guarantee::pack(self.without_failure_reserve(), &mut shapes).is_none()
    }

    /// The empty pool less the failure reserve. Drained and suspect workers count, since a guarantee
    /// outlasts their absence.
    fn without_failure_reserve(&self) -> Tally {
        let mut sizes: Vec<(u32, &str)> =
            self.workers.iter().map(|(name, w)| (w.accelerators, name.as_str())).collect();
        sizes.sort();
        let kept = sizes.len().saturating_sub(self.limits.failure_reserve);
        let failed: Vec<&str> = sizes[kept..].iter().map(|(_, name)| *name).collect();
        self.empty(&failed)
    }

    /// All workers as if nothing ran, except that `failed` ones have no free accelerators.
    fn empty(&self, failed: &[&str]) -> Tally {
        let cells = |(name, worker): (&String, &Worker)| {
            let up = !failed.contains(&name.as_str());
            let free = if up { cell::full(worker.accelerators) } else { 0 };
            WorkerCells { worker: Arc::clone(&worker.name), free, slots: worker.slots }
        };
        Tally::new(self.layout(), self.workers.iter().map(cells).collect())
    }

    /// True if the shape could be placed if the pool were empty and all workers were serving.
    /// Otherwise a job of this shape can never run.
    pub fn can_ever_fit(&self, shape: &Shape) -> bool {
        crate::plan::take(&mut self.empty(&[]), shape).is_some()
    }

    /// The placement of a job, if it holds accelerators.
    pub fn placement(&self, job: JobId) -> Option<&Placement> {
        self.holdings.get(&job).map(|holding| &holding.places)
    }

    /// Fraction of the free accelerators that gangs of `shape` can't use.
    pub fn fragmentation(&self, shape: &Shape) -> f64 {
        let mut tally = self.unclaimed();
        let free: u32 = tally.workers().iter().map(|cells| cells.free.count_ones()).sum();
        let mut used = 0;
        while crate::plan::take(&mut tally, shape).is_some() {
            used += shape.total_accelerators();
        }
        if free == 0 { 0.0 } else { f64::from(free - used) / f64::from(free) }
    }
}
