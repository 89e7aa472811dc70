//! The accelerators that a search may use: views of the pool as a [`Tally`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::JobId;
use crate::cell;
use crate::demand::Demand;
use crate::pool::{Claim, Pool};
use crate::tally::{Layout, Tally, WorkerCells};
use crate::worker::Worker;

impl Pool {
    /// What a job may use now: free cells on serving workers, less those that are claimed by other
    /// jobs. A claim that waits for its holders to end may be used by a job that is expected to end
    /// before them.
    pub(crate) fn available_to(&self, demand: &Demand, now: Duration) -> Tally {
        let ends = now + self.estimates.expected_duration(demand);
        let kept = |claim: &Claim| claim.ready.is_none_or(|ready| ends > ready);
        self.tally(&demand.avoided_workers, kept, Worker::free)
    }

    /// What is free and not claimed.
    pub(crate) fn unclaimed(&self) -> Tally {
        self.tally(&[], |_| true, Worker::free)
    }

    /// What is available to guaranteed jobs: all but what other guaranteed jobs hold or claim.
    pub(crate) fn reclaimable(&self, avoid: &[String]) -> Tally {
        let kept = |claim: &Claim| claim.share.is_some();
        let secure = |job: &JobId| self.holdings.get(job).is_some_and(|h| h.share.is_some());
        let mut tally = self.tally(avoid, kept, |worker| {
            let held = worker.held.iter().filter(|(job, _)| secure(job));
            held.fold(cell::full(worker.accelerators), |free, (_, mask)| free & !mask)
        });
        // Slots of borrowed work are reclaimed together with its cells.
        for (index, (name, worker)) in self.workers.iter().enumerate() {
            let cells = tally.worker_mut(index);
            if cells.free != 0 {
                let borrowed = worker.held.keys().filter(|job| !secure(job));
                cells.slots += borrowed.map(|job| self.tasks_of(*job, name)).sum::<u32>();
            }
        }
        tally
    }

    /// The number of tasks of a job on a worker.
    pub(crate) fn tasks_of(&self, job: JobId, worker: &str) -> u32 {
        let places = self.holdings.get(&job).map(|holding| &holding.places);
        places.map_or(0, |places| places.iter().filter(|(name, _)| name == worker).count() as u32)
    }

    /// All accelerators of serving workers that are not claimed, held or not.
    pub(crate) fn unclaimed_or_held(&self, avoid: &[String]) -> Tally {
        self.tally(avoid, |_| true, |worker| cell::full(worker.accelerators))
    }

    fn tally(
        &self,
        avoid: &[String],
        kept: impl Fn(&Claim) -> bool,
        free: impl Fn(&Worker) -> u64,
    ) -> Tally {
        let mut taken: BTreeMap<&str, (u64, u32)> = BTreeMap::new();
        let claims = self.claims.values().filter(|claim| kept(claim));
        for (worker, mask) in claims.flat_map(|claim| &claim.placement) {
            let entry = taken.entry(worker).or_default();
            entry.0 |= mask;
            entry.1 += 1;
        }
        let cells = |(name, worker): (&String, &Worker)| {
            let worker_name = Arc::clone(&worker.name);
            if !worker.serving() || avoid.contains(name) {
                return WorkerCells { worker: worker_name, free: 0, slots: 0 };
            }
            let (claimed, tasks) = taken.get(name.as_str()).copied().unwrap_or_default();
            let free = free(worker) & !claimed;
            let slots = worker.slots.saturating_sub(worker.tasks + tasks);
            WorkerCells { worker: worker_name, free, slots }
        };
        let all = self.workers.iter().map(cells).collect();
        Tally::new(self.layout(), all)
    }

    /// The layout of the workers, in the order of their names.
    pub(crate) fn layout(&self) -> Arc<Layout> {
        match &self.layout {
            Some(layout) => Arc::clone(layout),
            None => {
                let places = self.workers.values().map(|w| (w.zone.as_str(), w.rack.as_str()));
                Arc::new(Layout::new(places))
            }
        }
    }
}
