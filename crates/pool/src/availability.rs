//! What a search may use: views of the pool as a [`Tally`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::JobId;
use crate::cell;
use crate::demand::Demand;
use crate::pool::{Claim, Pool};
use crate::tally::{Layout, Spot, Tally};
use crate::worker::Worker;

impl Pool {
    /// What a job may use now: free cells on serving workers, less those kept
    /// for others. A place that is kept until its holders end by themselves may
    /// be used by a job that is expected to end before them.
    pub(crate) fn vacant(&self, demand: &Demand, now: Duration) -> Tally {
        let ends = now + self.estimates.expect(demand);
        let kept = |claim: &Claim| claim.ready.is_none_or(|ready| ends > ready);
        self.tally(&demand.avoided_workers, kept, Worker::free)
    }

    /// What is free and not kept for anybody.
    pub(crate) fn spare(&self) -> Tally {
        self.tally(&[], |_| true, Worker::free)
    }

    /// What could be had for guarantees: all but what guaranteed jobs hold.
    pub(crate) fn reclaimable(&self, avoid: &[String]) -> Tally {
        let kept = |claim: &Claim| claim.share.is_some();
        let secure = |job: &JobId| self.holdings.get(job).is_some_and(|h| h.share.is_some());
        let mut tally = self.tally(avoid, kept, |worker| {
            let held = worker.held.iter().filter(|(job, _)| secure(job));
            held.fold(cell::full(worker.accelerators), |free, (_, mask)| free & !mask)
        });
        // Slots that borrowed work fills can be had back with its cells.
        for (at, (name, worker)) in self.workers.iter().enumerate() {
            let spot = tally.spot(at);
            if spot.free != 0 {
                let borrowed = worker.held.keys().filter(|job| !secure(job));
                spot.slots += borrowed.map(|job| self.tasks_of(*job, name)).sum::<u32>();
            }
        }
        tally
    }

    /// Tasks that a job has on a worker.
    pub(crate) fn tasks_of(&self, job: JobId, worker: &str) -> u32 {
        let places = self.holdings.get(&job).map(|holding| &holding.places);
        places.map_or(0, |places| places.iter().filter(|(name, _)| name == worker).count() as u32)
    }

    /// Everything that serves and is not kept for anybody.
    pub(crate) fn whole(&self, avoid: &[String]) -> Tally {
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
        let spot = |(name, worker): (&String, &Worker)| {
            let worker_name = Arc::clone(&worker.name);
            if !worker.serving() || avoid.contains(name) {
                return Spot { worker: worker_name, free: 0, slots: 0 };
            }
            let (claimed, tasks) = taken.get(name.as_str()).copied().unwrap_or_default();
            let free = free(worker) & !claimed;
            let slots = worker.slots.saturating_sub(worker.tasks + tasks);
            Spot { worker: worker_name, free, slots }
        };
        let spots = self.workers.iter().map(spot).collect();
        Tally::new(self.layout(), spots)
    }

    /// Where the workers are, in the order of their names.
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
