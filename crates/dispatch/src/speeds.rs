//! Workers of uneven speed: where they matter, and what placement and lateness make of it.
//!
//! The factor of a machine says how many times as long work takes there. It is learned in
//! [`crate::speed_samples`] and considered in pools of which at least one machine in ten differs.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Step, Task};
use quincewheel_place::{Preemption, Request, WorkerState, pack, plan_preemption};
use quincewheel_policy::is_worth_preempting;
use quincewheel_speed::{Estimate, Spread};

use crate::candidate::Candidate;
use crate::entry::Entry;
use crate::owner::Owner;
use crate::placement::Placement;
use crate::reports::task_key;
use crate::snapshot::Snapshot;
use crate::speed_samples::Ends;

/// What the owner derives from the speed of machines.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    /// Time of day at the last tick or planning round.
    pub wall: u64,
    /// Run times of steps that have not ended.
    pub ends: Ends,
    /// Factors relative to the median and levels of the machines in uneven pools, by agent.
    factors: BTreeMap<String, (f64, i32)>,
    /// Median factor of the machines of each pool.
    pub medians: BTreeMap<String, f64>,
    /// When `factors` was last updated.
    updated_at: Option<u64>,
    /// Free room in each uneven pool.
    room: BTreeMap<String, Room>,
    /// Number of machines whose factor is known, and of those that differ.
    counts: (usize, usize),
    /// Factors of the gangs that have ended lately and when, by unit.
    ended_units: BTreeMap<u64, (f64, u64)>,
    /// When the present second of the rate limit of log lines began, and the lines in it.
    lines: (u64, usize),
}

/// The workers of a pool with free accelerators, by level and number of these: how many, and the sum
/// of their factors.
type Room = BTreeMap<(i32, u64), (u64, f64)>;

/// Time between two updates of the factors, which change slowly while planning may run hundreds of
/// times a second.
const UPDATE_INTERVAL_MS: u64 = 500;
/// How long the factor of an ended gang is kept. Its members are reported as ended within two polls
/// of their workers, which take up to a second each.
const UNIT_RETENTION_MS: u64 = 5000;
/// Most log lines on factors in a second, so that a reader can follow them.
const MAX_LINES_PER_SECOND: usize = 10;

impl Owner {
    /// Returns how many machines have a known factor, and how many differ in uneven pools.
    pub fn speed_counts(&self) -> (usize, usize) {
        self.speeds.counts
    }

    /// Updates which pools are uneven, and the factors there.
    pub(crate) fn update_factors(&mut self, now: u64, wall: u64) {
        self.speeds.wall = wall;
        let due = |at: u64| now >= at + UPDATE_INTERVAL_MS;
        if self.settings.uneven_percent == 0 {
            self.speeds = Speeds::default();
            return;
        }
        if !self.speeds.updated_at.is_none_or(due) {
            return;
        }
        self.speeds.updated_at = Some(now);
        let jobs = &self.jobs;
        self.speeds.ends.retain(|id| jobs.contains_key(id));
        self.speeds.ended_units.retain(|_, (_, at)| now < *at + UNIT_RETENTION_MS);
        self.speed.change(|speed| {
            speed.remove_expired(wall);
            false
        });
        let mut pools: BTreeMap<&str, Vec<(&String, Estimate)>> = BTreeMap::new();
        for (name, agent) in &self.agents {
            let Some(worker) = &agent.worker else { continue };
            let estimate = self.speed.get().estimate(name, wall);
            pools.entry(&worker.pool).or_default().push((name, estimate));
        }
        let mut factors = BTreeMap::new();
        let mut medians = BTreeMap::new();
        let known = pools.values().flatten().filter(|(_, estimate)| estimate.factor != 1.0).count();
        let mut differing = 0;
        for (pool, machines) in pools {
            let cautious: Vec<f64> =
                machines.iter().map(|(_, estimate)| estimate.cautious_factor()).collect();
            let spread = Spread::new(&cautious, self.settings.uneven_percent);
            medians.insert(pool.to_owned(), spread.median);
            if spread.is_uneven() {
                differing += spread.differing;
                factors.extend(machines.iter().map(|(name, estimate)| {
                    let level = spread.level(estimate.cautious_factor());
                    ((*name).clone(), (estimate.factor / spread.median, level))
                }));
            }
        }
        self.speeds.counts = (known, differing);
        (self.speeds.factors, self.speeds.medians) = (factors, medians);
    }

    /// Updates the room that waiting steps could get now in uneven pools.
    pub(crate) fn update_room(&mut self, snapshot: &Snapshot) {
        self.speeds.room.clear();
        if snapshot.levels.is_empty() {
            return;
        }
        for worker in snapshot.workers.iter().filter(|worker| worker.free.accelerators > 0) {
            if let Some((factor, level)) = self.speeds.factors.get(&worker.name) {
                let room = self.speeds.room.entry(worker.pool.clone()).or_default();
                let same = room.entry((*level, worker.free.accelerators)).or_default();
                *same = (same.0 + 1, same.1 + factor);
            }
        }
    }

    /// Returns by how many milliseconds the start of tasks of a step must count as delayed because
    /// the workers that they could get now are slow, where `time` is the run time at factor 1.0.
    /// Tasks that have to wait for room may get fast workers then, so for them that is 0.
    pub(crate) fn expected_delay(
        &self,
        entry: &Entry,
        step: &Step,
        tasks: usize,
        time: u64,
    ) -> u64 {
        if self.speeds.room.is_empty() || step.need.accelerators == 0 {
            return 0;
        }
        let Some(room) = self.speeds.room.get(&self.pool_of(entry)) else { return 0 };
        let mut left = tasks as u64;
        for ((_, free), (workers, factors)) in room {
            left = left.saturating_sub(workers * (free / step.need.accelerators));
            if left == 0 {
                let factor = factors / *workers as f64;
                return (time as f64 * (factor - 1.0)).max(0.0) as u64;
            }
        }
        0
    }

    /// Returns the level of each worker; empty if no pool is uneven.
    pub(crate) fn speed_levels(&self, workers: &[WorkerState]) -> Vec<i32> {
        if self.speeds.factors.is_empty() {
            return Vec::new();
        }
        let level = |worker: &WorkerState| {
            self.speeds.factors.get(&worker.name).map_or(0, |(_, level)| *level)
        };
        workers.iter().map(level).collect()
    }

    /// Places the tasks of a candidate. Of two placements of urgent work or a gang, the one whose
    /// slowest worker is faster is taken. Other work leaves fast workers to them where that does
    /// not take a worker that is more empty.
    pub(crate) fn pack_by_speed(
        &mut self,
        candidate: &Candidate,
        request: &Request<'_>,
        snapshot: &mut Snapshot,
    ) -> Vec<usize> {
        if snapshot.levels.is_empty() {
            return pack(&snapshot.workers, request);
        }
        let prefers_fast = candidate.rank.priority == 0 || request.step.gang;
        for (worker, level) in snapshot.workers.iter_mut().zip(&snapshot.levels) {
            worker.speed_cost = if prefers_fast { *level } else { -level };
        }
        let any = pack(&snapshot.workers, request);
        let Some(slowest) = slowest(&any, snapshot).filter(|_| prefers_fast) else { return any };
        let costs = Costs::new(&any, request, snapshot);
        let levels: BTreeSet<i32> =
            snapshot.levels.iter().copied().filter(|level| *level < slowest).collect();
        let levels: Vec<i32> = levels.into_iter().collect();
        let faster = fastest(snapshot, &levels, |snapshot| {
            let chosen = pack(&snapshot.workers, request);
            let as_good = chosen.len() == any.len()
                && Costs::new(&chosen, request, snapshot).are_within(&costs);
            as_good.then_some(chosen)
        });
        self.log_placement(candidate, &any, faster.as_deref(), snapshot);
        faster.unwrap_or(any)
    }

    /// Logs that the placement of a candidate was chosen for speed, or that it has slow workers.
    fn log_placement(
        &mut self,
        candidate: &Candidate,
        any: &[usize],
        faster: Option<&[usize]>,
        snapshot: &Snapshot,
    ) {
        let slowest_any = self.slowest_detail(any, snapshot);
        let detail = match faster {
            Some(faster) => {
                let slowest = self.slowest_detail(faster, snapshot);
                format!("slowest {slowest} instead of {slowest_any}")
            }
            None if slowest(any, snapshot).is_some_and(|level| level > 0) => {
                format!("slowest {slowest_any}, no faster room")
            }
            None => return,
        };
        let step = format!("{}.{}.{}", candidate.id, candidate.occurrence, candidate.step);
        self.log("placed by speed", &candidate.id, format!("{step}: {detail}"));
    }

    /// Formats the slowest of these workers, and what its factor is based on.
    fn slowest_detail(&self, chosen: &[usize], snapshot: &Snapshot) -> String {
        let slowest = chosen.iter().max_by_key(|index| snapshot.levels[**index]);
        let name = slowest.map_or("", |index| snapshot.workers[*index].name.as_str());
        format!("{name} ({})", self.speed.get().estimate(name, self.speeds.wall))
    }

    /// Formats the slowest worker of a preemption for its log line; empty if no pool is uneven.
    pub(crate) fn preemption_detail(&self, plan: &Preemption, snapshot: &Snapshot) -> String {
        if snapshot.levels.is_empty() {
            return String::new();
        }
        format!(", slowest {}", self.slowest_detail(&plan.workers, snapshot))
    }

    /// Logs a factor that has changed by enough since it was last logged.
    pub(crate) fn log_speed(&mut self, machine: &str) {
        let wall = self.speeds.wall;
        let (began, count) = self.speeds.lines;
        let fresh = wall >= began + 1000 || wall < began;
        if !fresh && count >= MAX_LINES_PER_SECOND {
            return;
        }
        let mut change: Option<(f64, Estimate)> = None;
        self.speed.change(|speed| {
            change = speed.take_logged_change(machine, wall);
            false
        });
        if let Some((former, estimate)) = change {
            self.speeds.lines = if fresh { (wall, 1) } else { (began, count + 1) };
            self.log("worker speed", machine, format!("{estimate}, was {former:.2}"));
        }
    }

    /// Returns the factor of a run that has ended: of a gang that of its slowest member. The members
    /// of a gang leave one by one, so it is kept from the first end on.
    pub(crate) fn unit_factor(&mut self, task: &Task, ended: &Placement, now: u64) -> f64 {
        if self.speeds.factors.is_empty() {
            return 1.0;
        }
        let factor = |placed: &Placement| {
            self.speeds.factors.get(&placed.agent).map_or(1.0, |(factor, _)| *factor)
        };
        let Some(entry) = self.jobs.get(&task.job) else { return factor(ended) };
        if !entry.step(task_key(task)).is_some_and(|step| step.gang) {
            return factor(ended);
        }
        if let Some((factor, _)) = self.speeds.ended_units.get(&ended.unit) {
            return *factor;
        }
        let others = entry.runs.values().filter(|placed| placed.unit == ended.unit).map(factor);
        let factor = others.fold(factor(ended), f64::max);
        self.speeds.ended_units.insert(ended.unit, (factor, now));
        factor
    }

    /// Formats the factor of a run that has ended for its log line; empty if it is not slow.
    pub(crate) fn factor_detail(&mut self, task: &Task, ended: &Placement, now: u64) -> String {
        let factor = self.unit_factor(task, ended, now);
        let slow = 1.0 + self.settings.uneven_percent as f64 / 100.0;
        if factor > 1.0 && factor >= slow { format!(", factor {factor:.2}") } else { String::new() }
    }
}

/// What makes a placement worse, whatever the speed of its workers. Speed never outweighs any of
/// them.
#[derive(Clone, Copy, Debug)]
struct Costs {
    /// Number of tasks on workers that are to be used last.
    deprioritized: usize,
    /// Number of tasks outside the rack of their data.
    far: usize,
    /// Number of racks, for a gang that should be in one.
    racks: usize,
}

impl Costs {
    fn new(chosen: &[usize], request: &Request<'_>, snapshot: &Snapshot) -> Costs {
        let workers = || chosen.iter().map(|index| &snapshot.workers[*index]);
        let step = request.step;
        let far = |worker: &&WorkerState| !step.near.is_empty() && worker.rack != step.near;
        let racks: BTreeSet<&str> = workers().map(|worker| worker.rack.as_str()).collect();
        Costs {
            deprioritized: workers().filter(|worker| worker.deprioritized).count(),
            far: workers().filter(far).count(),
            racks: if step.same_rack { racks.len() } else { 0 },
        }
    }

    fn are_within(&self, bound: &Costs) -> bool {
        self.deprioritized <= bound.deprioritized
            && self.far <= bound.far
            && self.racks <= bound.racks
    }
}

/// Returns the level of the slowest of these workers.
fn slowest(chosen: &[usize], snapshot: &Snapshot) -> Option<i32> {
    chosen.iter().filter_map(|index| snapshot.levels.get(*index).copied()).max()
}

/// Returns what `attempt` finds without the workers above the lowest possible of these levels, which
/// are in ascending order; none if it finds nothing. The levels are searched by halving, so that
/// there are few attempts.
fn fastest<T>(
    snapshot: &mut Snapshot,
    levels: &[i32],
    attempt: impl Fn(&Snapshot) -> Option<T>,
) -> Option<T> {
    let (mut from, mut to) = (0, levels.len());
    let mut found = None;
    while from < to {
        let middle = (from + to) / 2;
        let above = |index: &usize| snapshot.levels[*index] > levels[middle];
        let above: Vec<usize> = (0..snapshot.levels.len()).filter(above).collect();
        let hidden = snapshot.hide(&above);
        let result = attempt(snapshot);
        snapshot.show(hidden);
        match result {
            Some(result) => {
                found = Some(result);
                to = middle;
            }
            None => from = middle + 1,
        }
    }
    found
}

/// Plans a preemption for urgent work. A plan whose slowest worker is faster is preferred if it
/// loses no more than the `work` of the step besides: after the stop, which takes a good part of the
/// time that urgent work has to spare, it would be late on slow workers.
pub(crate) fn plan_preemption_by_speed(
    snapshot: &mut Snapshot,
    request: &Request<'_>,
    (work, guaranteed): (u64, bool),
) -> Option<Preemption> {
    let any = plan_preemption(&snapshot.workers, request)?;
    let Some(slowest) = slowest(&any.workers, snapshot) else { return Some(any) };
    if slowest <= 0 || !is_worth_preempting(any.loss, work, guaranteed) {
        return Some(any);
    }
    let costs = Costs::new(&any.workers, request, snapshot);
    // A plan takes far longer than a placement, so only one other is made.
    let faster = fastest(snapshot, &[0], |snapshot| {
        let plan = plan_preemption(&snapshot.workers, request)?;
        let as_good = Costs::new(&plan.workers, request, snapshot).are_within(&costs);
        let is_worth = is_worth_preempting(plan.loss, work, guaranteed);
        (as_good && is_worth && plan.loss <= any.loss + work).then_some(plan)
    });
    Some(faster.unwrap_or(any))
}
