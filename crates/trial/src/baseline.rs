use std::collections::BTreeMap;
use std::time::Duration;

use quincewheel_pool::{Adjacency, Decision, Placement, Shape};

use crate::stream::{Job, Site, Stream};

/// A simple scheduler to compare with: jobs in the order of their arrival, each
/// where it fits, later ones overtaking those that do not.
pub struct Baseline {
    /// Take the fullest worker that fits instead of the first, count guaranteed
    /// accelerators per team, and preempt for teams below their count.
    best: bool,
    workers: Vec<Worker>,
    queue: Vec<Job>,
    running: BTreeMap<u64, Running>,
    quotas: BTreeMap<String, u32>,
}

struct Worker {
    name: String,
    rack: usize,
    free: u8,
    up: bool,
}

struct Running {
    team: String,
    total: u32,
    since: Duration,
    stopping: bool,
    places: Vec<(usize, u8)>,
}

impl Baseline {
    /// First fit in the order of arrival.
    pub fn first_fit(site: Site) -> Baseline {
        Baseline::new(site, false)
    }

    /// Best fit with counted quotas and preemption.
    pub fn best_fit(site: Site, stream: &Stream) -> Baseline {
        let mut baseline = Baseline::new(site, true);
        for (team, shares) in &stream.shares {
            let count =
                shares.iter().map(|share| share.shape.total_accelerators() * share.count).sum();
            baseline.quotas.insert(team.clone(), count);
        }
        baseline
    }

    fn new(site: Site, best: bool) -> Baseline {
        let worker = |index: usize| Worker {
            name: format!("w{index:05}"),
            rack: index / site.rack,
            free: 0xff,
            up: true,
        };
        Baseline {
            best,
            workers: (0..site.workers).map(worker).collect(),
            queue: Vec::new(),
            running: BTreeMap::new(),
            quotas: BTreeMap::new(),
        }
    }

    pub(crate) fn enqueue(&mut self, job: &Job) {
        self.queue.push(job.clone());
    }

    pub(crate) fn withdraw(&mut self, job: u64) {
        self.queue.retain(|waiting| waiting.id != job);
    }

    pub(crate) fn set_worker(&mut self, name: &str, up: bool) {
        if let Some(worker) = self.workers.iter_mut().find(|worker| worker.name == name) {
            worker.up = up;
        }
    }

    pub(crate) fn release(&mut self, job: u64) {
        let Some(running) = self.running.remove(&job) else { return };
        for (at, mask) in running.places {
            self.workers[at].free |= mask;
        }
    }

    pub(crate) fn decide(&mut self, now: Duration) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut waiting = Vec::new();
        for job in std::mem::take(&mut self.queue) {
            match self.place(&job.shape) {
                Some(places) => decisions.push(self.start(&job, places, now)),
                None => {
                    if self.best {
                        self.preempt(&job, &mut decisions);
                    }
                    waiting.push(job);
                }
            }
        }
        self.queue = waiting;
        decisions
    }

    fn start(&mut self, job: &Job, places: Vec<(usize, u8)>, now: Duration) -> Decision {
        let mut placement = Placement::new();
        for (at, mask) in &places {
            self.workers[*at].free &= !mask;
            placement.push((self.workers[*at].name.clone(), u64::from(*mask)));
        }
        let (team, total) = (job.team.clone(), job.shape.total_accelerators());
        let running = Running { team, total, since: now, stopping: false, places };
        self.running.insert(job.id, running);
        Decision::Start { job: job.id, placement, guaranteed: false }
    }

    fn place(&self, shape: &Shape) -> Option<Vec<(usize, u8)>> {
        let mut order: Vec<usize> =
            (0..self.workers.len()).filter(|at| self.workers[*at].up).collect();
        if self.best {
            order.sort_by_key(|at| self.workers[*at].free.count_ones());
        }
        if shape.adjacency == Adjacency::Rack {
            let racks = self.workers.last().map_or(0, |worker| worker.rack + 1);
            return (0..racks).find_map(|rack| {
                let here = order.iter().filter(|at| self.workers[**at].rack == rack);
                self.fill(here.copied(), shape)
            });
        }
        self.fill(order.into_iter(), shape)
    }

    fn fill(&self, order: impl Iterator<Item = usize>, shape: &Shape) -> Option<Vec<(usize, u8)>> {
        let size = shape.cell_size();
        let cell = if size >= 8 { 0xff } else { (1u8 << size) - 1 };
        let mut places = Vec::new();
        for at in order {
            let mut free = self.workers[at].free;
            for start in (0..8).step_by(size as usize) {
                let mask = cell << start;
                if free & mask == mask && places.len() < shape.tasks as usize {
                    free &= !mask;
                    places.push((at, mask));
                }
            }
            if places.len() == shape.tasks as usize {
                return Some(places);
            }
        }
        None
    }

    /// Stops the latest borrowers until enough accelerators will be free by
    /// count, wherever they are.
    fn preempt(&mut self, job: &Job, decisions: &mut Vec<Decision>) {
        let held = |team: &str| -> u32 {
            self.running.values().filter(|r| r.team == team).map(|r| r.total).sum()
        };
        let quota = |team: &str| self.quotas.get(team).copied().unwrap_or(0);
        if held(&job.team) + job.shape.total_accelerators() > quota(&job.team) {
            return;
        }
        let free: u32 = self.workers.iter().filter(|w| w.up).map(|w| w.free.count_ones()).sum();
        let leaving: u32 = self.running.values().filter(|r| r.stopping).map(|r| r.total).sum();
        let mut missing = job.shape.total_accelerators().saturating_sub(free + leaving);
        let mut borrowers: Vec<(Duration, u64)> = self
            .running
            .iter()
            .filter(|(_, r)| !r.stopping && held(&r.team) > quota(&r.team))
            .map(|(id, r)| (r.since, *id))
            .collect();
        borrowers.sort();
        while missing > 0 {
            let Some((_, victim)) = borrowers.pop() else { break };
            let running = self.running.get_mut(&victim).expect("listed above");
            running.stopping = true;
            missing = missing.saturating_sub(running.total);
            decisions.push(Decision::Reclaim { job: victim, claimant: job.id });
        }
    }
}
