use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use quincewheel_job::Resources;
use quincewheel_place::{WorkerIndex, WorkerState};

use crate::claim::Claim;
use crate::gang::Gang;
use crate::plan::{Hold, Plan};
use crate::profile::Profile;
use crate::release::Release;

/// Plans the claims of one round, gang by gang.
#[derive(Debug)]
pub struct Planner<'a> {
    workers: &'a [WorkerState],
    releases: &'a [Vec<Release>],
    now: u64,
    /// The number of each worker's rack.
    racks: Vec<usize>,
    /// The times at which more may become available on any worker, in ascending order.
    times: Vec<u64>,
    /// What is available on each worker beside all claims so far.
    left: Vec<Profile>,
    /// The same on claimed workers, before their first claim.
    unclaimed: BTreeMap<WorkerIndex, Profile>,
    /// The claims of each pool.
    pools: BTreeMap<&'a str, Tally>,
    plan: Plan,
}

/// The claims of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    claims: usize,
    claimed: u64,
    /// A gang was refused, so those after it get no claim either.
    full: bool,
}

/// Most claims in one pool. Claims are planned by expected ends, which are worth less for each
/// further gang.
const MAX_CLAIMS: usize = 4;
/// One part in this many of a pool's accelerators may be claimed; wrong estimates leave at most
/// that much idle.
const POOL_PARTS: u64 = 2;
/// A gang waits this many milliseconds longer for the rack that holds its data. Tasks run slower
/// elsewhere.
const MAX_RACK_DELAY_MS: u64 = 500;

impl<'a> Planner<'a> {
    /// Begins a round with the open workers, and what their runs are expected to release.
    pub fn new(workers: &'a [WorkerState], releases: &'a [Vec<Release>], now: u64) -> Planner<'a> {
        let profile = |(index, worker): (usize, &WorkerState)| {
            Profile::new(worker.free, releases.get(index).map_or(&[], Vec::as_slice))
        };
        let left = workers.iter().enumerate().map(profile).collect();
        let mut numbers: HashMap<&str, usize> = HashMap::new();
        let racks = (workers.iter().map(|worker| worker.rack.as_str()))
            .map(|rack| {
                let next = numbers.len();
                *numbers.entry(rack).or_insert(next)
            })
            .collect();
        let mut times: Vec<u64> = releases.iter().flatten().map(|release| release.at).collect();
        times.sort_unstable();
        times.dedup();
        Planner {
            workers,
            releases,
            now,
            racks,
            times,
            left,
            unclaimed: BTreeMap::new(),
            pools: BTreeMap::new(),
            plan: Plan::default(),
        }
    }

    /// Takes resources out that are reserved for other work from now on. Must precede all claims.
    pub fn reserve(&mut self, worker: WorkerIndex, until: u64, need: &Resources) {
        self.left[worker].hold(self.now, until, need);
        self.add_time(until);
    }

    /// True if no further gang of the pool gets a claim.
    pub fn is_full(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|tally| tally.full || tally.claims >= MAX_CLAIMS)
    }

    /// Claims workers for the gang, which must come after all others so far in the order of
    /// [`crate::Turn`]. False if it gets no claim.
    pub fn claim(&mut self, gang: &Gang<'a>) -> bool {
        if self.is_full(gang.request.pool) {
            return false;
        }
        let Some(claim) = self.find(gang) else { return false };
        let all: u64 = (self.workers.iter())
            .filter(|worker| worker.pool == gang.request.pool)
            .map(|worker| worker.capacity.accelerators)
            .sum();
        let tally = self.pools.entry(gang.request.pool).or_default();
        let claimed = tally.claimed + claim.accelerators();
        if tally.claims > 0 && claimed > all / POOL_PARTS {
            tally.full = true;
            return false;
        }
        tally.claims += 1;
        tally.claimed = claimed;
        self.add(claim);
        true
    }

    /// Ends the round.
    pub fn finish(self) -> Plan {
        self.plan
    }

    /// Finds the workers on which the gang can start first.
    fn find(&self, gang: &Gang<'_>) -> Option<Claim> {
        let eligible: Vec<WorkerIndex> = (0..self.workers.len())
            .filter(|&index| gang.request.is_eligible(&self.workers[index]))
            .filter(|index| gang.excluded.binary_search(index).is_err())
            .collect();
        let empty = |index: WorkerIndex| self.workers[index].capacity;
        let one_rack =
            gang.prefers_one_rack() && !self.racks_that_hold(gang, &eligible, &empty).is_empty();
        let in_rack = |rack: &str| -> Vec<WorkerIndex> {
            let within = |index: &&WorkerIndex| self.workers[**index].rack == rack;
            eligible.iter().filter(within).copied().collect()
        };
        if let Some(kept) = &gang.kept {
            let same = match &kept.rack {
                Some(rack) if !kept.is_overdue(self.now) => in_rack(rack),
                _ => (eligible.iter().copied())
                    .filter(|index| kept.workers.binary_search(index).is_ok())
                    .collect(),
            };
            let start = self.earliest(gang, &same, one_rack);
            // Other workers must be available sooner by more than the gain.
            let sooner = |start: u64| start.checked_sub(kept.min_gain(self.now));
            let fits = |time: u64| {
                time >= gang.not_before.max(self.now) && self.fits(gang, &eligible, one_rack, time)
            };
            if let Some(start) = start.filter(|start| !sooner(*start).is_some_and(fits)) {
                return Some(self.choose(gang, same, one_rack, start));
            }
        }
        let first = self.earliest(gang, &eligible, one_rack)?;
        if !gang.request.step.near.is_empty() {
            let near = in_rack(&gang.request.step.near);
            let start = self.earliest(gang, &near, one_rack);
            if let Some(start) = start.filter(|at| *at <= first + MAX_RACK_DELAY_MS) {
                return Some(self.choose(gang, near, one_rack, start));
            }
        }
        Some(self.choose(gang, eligible, one_rack, first))
    }

    /// Returns the first time at which the gang fits on the open workers. What is available never
    /// decreases, so a binary search over the times of releases finds it.
    fn earliest(&self, gang: &Gang<'_>, open: &[WorkerIndex], one_rack: bool) -> Option<u64> {
        let earliest = gang.not_before.max(self.now);
        if self.fits(gang, open, one_rack, earliest) {
            return Some(earliest);
        }
        let later = &self.times[self.times.partition_point(|time| *time <= earliest)..];
        let first = later.partition_point(|time| !self.fits(gang, open, one_rack, *time));
        later.get(first).copied()
    }

    /// True if the gang fits on the open workers from `time` on.
    fn fits(&self, gang: &Gang<'_>, open: &[WorkerIndex], one_rack: bool, time: u64) -> bool {
        let available = |index: WorkerIndex| self.left[index].at(time);
        match one_rack {
            true => !self.racks_that_hold(gang, open, &available).is_empty(),
            false => self.count(gang, open, &available) >= u64::from(gang.request.count),
        }
    }

    /// Adds a time at which more becomes available.
    fn add_time(&mut self, time: u64) {
        if let Err(index) = self.times.binary_search(&time) {
            self.times.insert(index, time);
        }
    }

    /// Returns how many of the gang's tasks fit, at most as many as it has.
    fn count(
        &self,
        gang: &Gang<'_>,
        open: &[WorkerIndex],
        room: &impl Fn(WorkerIndex) -> Resources,
    ) -> u64 {
        let mut count = 0;
        for &index in open {
            count += gang.request.max_tasks(index, &room(index));
            if count >= u64::from(gang.request.count) {
                break;
            }
        }
        count
    }

    /// Returns the numbers of the racks that hold all tasks of the gang.
    fn racks_that_hold(
        &self,
        gang: &Gang<'_>,
        open: &[WorkerIndex],
        room: &impl Fn(WorkerIndex) -> Resources,
    ) -> Vec<usize> {
        let mut counts = vec![0; self.workers.len()];
        for &index in open {
            counts[self.racks[index]] += gang.request.max_tasks(index, &room(index));
        }
        let needed = u64::from(gang.request.count);
        (0..counts.len()).filter(|&rack| counts[rack] >= needed).collect()
    }

    /// Chooses among the open workers, on which the gang fits at `start`: the fullest ones, so
    /// that others remain whole.
    fn choose(
        &self,
        gang: &Gang<'_>,
        mut open: Vec<WorkerIndex>,
        one_rack: bool,
        start: u64,
    ) -> Claim {
        let available = |index: WorkerIndex| self.left[index].at(start);
        let mut rack = None;
        if one_rack {
            let room = |rack: usize| -> u64 {
                let within = open.iter().filter(|&&index| self.racks[index] == rack);
                within.map(|&index| available(index).accelerators).sum()
            };
            let racks = self.racks_that_hold(gang, &open, &available);
            let chosen = racks.into_iter().min_by_key(|rack| room(*rack));
            open.retain(|&index| Some(self.racks[index]) == chosen);
            rack = open.first().map(|&index| self.workers[index].rack.as_str());
        }
        // An overdue claim collects what is free, since the expected ends were wrong.
        let overdue = gang.kept.as_ref().is_some_and(|kept| kept.is_overdue(self.now));
        let tasks_now =
            |index: WorkerIndex| gang.request.max_tasks(index, &self.left[index].at(self.now));
        open.sort_by_key(|&index| {
            let fits_now = if overdue { tasks_now(index) } else { 0 };
            let deprioritized = self.workers[index].deprioritized;
            (deprioritized, Reverse(fits_now), available(index).accelerators, index)
        });
        let mut left = u64::from(gang.request.count);
        let mut workers = Vec::new();
        for index in open {
            let tasks = gang.request.max_tasks(index, &available(index)).min(left);
            left -= tasks;
            if tasks > 0 {
                workers.push((index, tasks as u32));
            }
        }
        workers.sort_unstable();
        let need = gang.request.step.resources();
        let kept = gang.kept.as_ref().filter(|kept| match &kept.rack {
            Some(kept) => rack == Some(kept.as_str()),
            None => workers.iter().all(|(index, _)| kept.workers.binary_search(index).is_ok()),
        });
        let closes_at = kept.map_or(start, |kept| kept.planned.min(start));
        Claim {
            turn: gang.turn,
            basis: self.basis(&workers, &need, start),
            workers,
            rack: rack.map(str::to_owned),
            need,
            start,
            until: start + gang.run_time,
            closes_at,
            kept: kept.is_some(),
        }
    }

    /// Returns the runs whose ends the claimed workers wait for.
    fn basis(
        &self,
        workers: &[(WorkerIndex, u32)],
        need: &Resources,
        start: u64,
    ) -> Vec<(usize, u64)> {
        let busy = |(index, tasks): &&(WorkerIndex, u32)| {
            !times(need, *tasks).fits(&self.left[*index].at(self.now))
        };
        let mut basis: Vec<(usize, u64)> = (workers.iter().filter(busy))
            .flat_map(|(index, _)| self.releases.get(*index).into_iter().flatten())
            .filter(|release| release.at <= start)
            .map(|release| (release.run, release.at))
            .collect();
        basis.sort_by_key(|(run, at)| (Reverse(*at), *run));
        basis
    }

    fn add(&mut self, claim: Claim) {
        for &(worker, tasks) in &claim.workers {
            let need = times(&claim.need, tasks);
            let unclaimed =
                self.unclaimed.entry(worker).or_insert_with(|| self.left[worker].clone());
            let mut released = unclaimed.at(claim.start);
            released.subtract(&unclaimed.at(self.now));
            if claim.closes_at < self.now {
                released = Resources::default();
            }
            let hold = Hold { claim: self.plan.claims.len(), need, released };
            self.plan.holds.entry(worker).or_default().push(hold);
            self.left[worker].hold(claim.start, claim.until, &need);
        }
        self.add_time(claim.until);
        self.plan.claims.push(claim);
    }
}

/// The resources that a number of tasks need.
fn times(need: &Resources, tasks: u32) -> Resources {
    let tasks = u64::from(tasks);
    Resources {
        cpu: need.cpu * tasks,
        memory: need.memory * tasks,
        accelerators: need.accelerators * tasks,
    }
}
