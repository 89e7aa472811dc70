//! How much of a pool is in use, and what is free on its open workers.

use std::collections::BTreeMap;

use quincewheel_job::{Resources, Step};
use quincewheel_place::{Protection, Request, WorkerState};

use crate::close_reason::CloseReason;
use crate::entry::Entry;
use crate::owner::Owner;

/// Use of one pool, by the runs in the owner's books.
#[derive(Debug, Default)]
pub(crate) struct Occupancy {
    /// The capacity of all known workers.
    capacity: Resources,
    /// What the runs at them use.
    used: Resources,
    /// The open workers, with their free capacity.
    open: Vec<WorkerState>,
    /// The most of each resource that is free on one of them.
    largest: Resources,
    /// Number of closed workers by reason.
    closed: BTreeMap<&'static str, usize>,
    /// Whether demands that were checked fit. Many jobs have the same.
    checked: Vec<(Demand, bool)>,
}

/// What tasks of a step need together.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Demand {
    label: String,
    need: Resources,
    per_worker: u32,
    tasks: u32,
}

/// Most workers that are gone through for the demands of one scan. Each takes some 100 ns.
const MAX_CHECKED_WORKERS: usize = 300_000;

impl Occupancy {
    /// Returns whether less than half of the accelerators, processors or memory is in use.
    pub fn is_any_resource_under_half_used(&self) -> bool {
        let half = |used: u64, all: u64| used * 2 < all;
        half(self.used.accelerators, self.capacity.accelerators)
            || half(self.used.cpu, self.capacity.cpu)
            || half(self.used.memory, self.capacity.memory)
    }

    /// Returns whether this number of tasks would fit twice on the free capacity of the open
    /// workers, wherever the step prefers to run. False if too many demands were checked before.
    pub fn fits_twice(&mut self, step: &Step, pool: &str, tasks: u32) -> bool {
        let (need, label) = (step.resources(), step.label.clone());
        if !need.fits(&self.largest) {
            return false;
        }
        let demand = Demand { label, need, per_worker: step.per_worker, tasks };
        if let Some((_, fits)) = self.checked.iter().find(|(known, _)| *known == demand) {
            return *fits;
        }
        if self.checked.len() * self.open.len() > MAX_CHECKED_WORKERS {
            return false;
        }
        let fits = self.holds(step, pool, tasks.saturating_mul(2));
        self.checked.push((demand, fits));
        fits
    }

    /// Returns whether the free capacity of the open workers holds this number of tasks.
    fn holds(&self, step: &Step, pool: &str, count: u32) -> bool {
        let request = Request {
            step,
            pool,
            count,
            waits_for_rack: false,
            preempts: Protection::Lower,
            ignores_ending: false,
            tasks_by_worker: &[],
        };
        let mut left = u64::from(count);
        for (index, worker) in self.open.iter().enumerate() {
            if left == 0 {
                break;
            }
            if request.is_eligible(worker) {
                left = left.saturating_sub(request.max_tasks(index, &worker.free));
            }
        }
        left == 0
    }

    /// Formats the use of the pool and the state of its workers for the log.
    pub fn detail(&self, pool: &str) -> String {
        let (all, mut free) = (self.capacity, self.capacity);
        free.subtract(&self.used);
        let cores = |cpu: u64| cpu / 1000;
        let closed: Vec<String> =
            self.closed.iter().map(|(reason, count)| format!(", {count} {reason}")).collect();
        format!(
            "pool {pool}: free {} of {} accelerators, {} of {} cores; {} workers open{}",
            free.accelerators,
            all.accelerators,
            cores(free.cpu),
            cores(all.cpu),
            self.open.len(),
            closed.concat(),
        )
    }
}

impl Owner {
    /// Returns the use of each pool.
    pub(crate) fn occupancies(&self, now: u64) -> BTreeMap<String, Occupancy> {
        let used = self.used_by_agent();
        let mut pools: BTreeMap<String, Occupancy> = BTreeMap::new();
        for (name, agent) in &self.agents {
            let Some(worker) = &agent.worker else { continue };
            let pool = pools.entry(worker.pool.clone()).or_default();
            let used = used.get(name.as_str()).copied().unwrap_or_default();
            pool.capacity.add(&worker.capacity);
            pool.used.add(&used);
            if let Some(reason) = CloseReason::of(agent, &self.settings, now) {
                *pool.closed.entry(reason.name()).or_default() += 1;
                continue;
            }
            let mut free = self.capacity_without_strays(agent, worker.capacity);
            free.subtract(&used);
            pool.largest = max(&pool.largest, &free);
            pool.open.push(WorkerState {
                name: name.clone(),
                pool: worker.pool.clone(),
                labels: worker.labels.clone(),
                free,
                ..WorkerState::default()
            });
        }
        pools
    }

    /// Returns what the runs at each agent's worker use.
    fn used_by_agent(&self) -> BTreeMap<&str, Resources> {
        let mut used: BTreeMap<&str, Resources> = BTreeMap::new();
        let needs = |entry: &Entry, key| entry.step(key).map(Step::resources).unwrap_or_default();
        for entry in self.jobs.values() {
            for (key, placed) in &entry.runs {
                used.entry(&placed.agent).or_default().add(&needs(entry, *key));
            }
        }
        used
    }
}

/// Returns the larger amount of each resource.
fn max(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu: a.cpu.max(b.cpu),
        memory: a.memory.max(b.memory),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
