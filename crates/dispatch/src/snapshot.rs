//! The snapshot of workers and their free capacity that one round of planning works on.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Id, Resources};
use quincewheel_place::{Preemptible, Protection, WorkerState};
use quincewheel_policy::{Guarantees, preemption_loss};
use quincewheel_trust::Standing;

use crate::agent::Agent;
use crate::clearance_request::ClearanceRequest;
use crate::entry::Key;
use crate::load::Load;
use crate::owner::Owner;
use crate::placement::Phase;
use crate::reports::task_key;
use crate::suspects::RecentStart;
use crate::tally::Restriction;

/// Open workers, their free capacity, and the work on them that may be preempted. A round of
/// planning updates it as it places tasks.
pub(crate) struct Snapshot {
    /// The workers that accept runs.
    pub workers: Vec<WorkerState>,
    /// Free capacity of each worker, reservations not deducted.
    pub actual_free: Vec<Resources>,
    /// The runs of each unit. A unit can only be stopped as a whole.
    pub units: BTreeMap<u64, Vec<(Id, Key)>>,
    /// Workers that have just started a task, by index in `workers`.
    pub recent_starts: BTreeMap<usize, RecentStart>,
    /// How slow each worker is, as [`quincewheel_speed::Spread::level`]; empty if no pool is uneven.
    pub levels: Vec<i32>,
    /// The standing of each worker; empty while failures do not count against workers.
    pub standings: Vec<Standing>,
    /// Doubtful workers, by index, of which a trial has just started.
    pub new_trials: BTreeSet<usize>,
    /// What is in use of each pool.
    pub loads: BTreeMap<String, Load>,
    /// The clearance to request after this round, with its turn: whether there is no room for its step,
    /// and when clearance for the step was last requested.
    pub clearance_request: Option<((bool, u64), ClearanceRequest)>,
}

/// Indexes of workers that a step must not use, by reason.
#[derive(Clone, Debug, Default)]
pub(crate) struct Exclusions {
    /// The step is not cleared for the workers.
    pub uncleared: Vec<usize>,
    /// The step's tasks have failed there recently.
    pub avoided: Vec<usize>,
    /// They are doubtful, or not sound enough for a last attempt.
    pub doubted: Vec<usize>,
    /// A crash there could not be attributed to one task.
    pub apart: Vec<usize>,
}

impl Exclusions {
    /// Returns all excluded indexes, sorted and without duplicates.
    pub fn indexes(&self) -> Vec<usize> {
        let mut indexes = [&self.uncleared[..], &self.avoided, &self.doubted, &self.apart].concat();
        indexes.sort_unstable();
        indexes.dedup();
        indexes
    }
}

impl Snapshot {
    /// Takes the workers at these indexes out, so that nothing fits there, and returns them.
    pub fn hide(&mut self, indexes: &[usize]) -> Vec<(usize, WorkerState)> {
        indexes.iter().map(|&index| (index, std::mem::take(&mut self.workers[index]))).collect()
    }

    /// Puts back the workers that [`Snapshot::hide`] returned.
    pub fn show(&mut self, hidden: Vec<(usize, WorkerState)>) {
        for (index, worker) in hidden {
            self.workers[index] = worker;
        }
    }

    /// Makes the workers at these indexes the last choice. Returns what they were, in this order.
    pub fn deprioritize(&mut self, indexes: &[usize]) -> Vec<(usize, bool)> {
        let set = |&index: &usize| {
            (index, std::mem::replace(&mut self.workers[index].deprioritized, true))
        };
        indexes.iter().map(set).collect()
    }

    /// Counts what a task takes that was started on a worker.
    pub fn record_use(&mut self, index: usize, need: &Resources) {
        if let Some(load) = self.loads.get_mut(&self.workers[index].pool) {
            load.add_run(need, true);
        }
    }

    /// Returns the indexes of all workers, those with the fewest accelerators and CPUs in use
    /// first.
    pub fn least_used(&self) -> Vec<usize> {
        let used = |index: &usize| {
            let (worker, free) = (&self.workers[*index], self.workers[*index].free);
            let accelerators = worker.capacity.accelerators - free.accelerators;
            (accelerators, worker.capacity.cpu - free.cpu)
        };
        let mut indexes: Vec<usize> = (0..self.workers.len()).collect();
        indexes.sort_by_key(used);
        indexes
    }

    /// Returns the restriction that applies to a step at each worker; empty if there is none at
    /// all.
    pub fn restrictions(
        &self,
        (kept_free, claimed): (&[usize], &[usize]),
        excluded: &Exclusions,
    ) -> Vec<Restriction> {
        let kinds = [
            (kept_free, Restriction::Spared),
            (claimed, Restriction::Claimed),
            (&excluded.uncleared, Restriction::Uncleared),
            (&excluded.avoided, Restriction::Avoided),
            (&excluded.doubted, Restriction::Doubted),
            (&excluded.apart, Restriction::Apart),
        ];
        if kinds.iter().all(|(indexes, _)| indexes.is_empty()) {
            return Vec::new();
        }
        let mut restrictions = vec![Restriction::None; self.workers.len()];
        for (indexes, restriction) in kinds {
            indexes.iter().for_each(|&index| restrictions[index] = restriction);
        }
        restrictions
    }
}

impl Owner {
    /// Takes a snapshot of the open workers and the runs on them.
    pub(crate) fn snapshot(&self, now: u64) -> Snapshot {
        let mut workers: Vec<WorkerState> = Vec::new();
        let mut index_by_agent: BTreeMap<&str, usize> = BTreeMap::new();
        let mut loads: BTreeMap<String, Load> = BTreeMap::new();
        for (name, agent) in &self.agents {
            let Some(worker) = agent.worker.as_ref() else { continue };
            let open = agent.accepts_runs(&self.settings, now);
            loads.entry(worker.pool.clone()).or_default().add_worker(&worker.capacity, open);
            if !open {
                continue;
            }
            index_by_agent.insert(name, workers.len());
            workers.push(WorkerState {
                name: name.clone(),
                incarnation: worker.incarnation(),
                pool: worker.pool.clone(),
                rack: worker.rack.clone(),
                labels: worker.labels.clone(),
                capacity: worker.capacity,
                free: self.capacity_without_strays(agent, worker.capacity),
                stopping: Resources::default(),
                ending: Resources::default(),
                deprioritized: agent.deprioritized_until.max(agent.cold_until) > now
                    || agent.silent_ms > self.settings.unresponsive_after / 2,
                preemptible: Vec::new(),
                speed_cost: 0,
            });
        }
        let borrowed = self.borrowed_units();
        let mut stopped = BTreeMap::new();
        let mut units: BTreeMap<u64, Vec<(Id, Key)>> = BTreeMap::new();
        let mut recent_starts: BTreeMap<usize, RecentStart> = BTreeMap::new();
        for (id, entry) in &self.jobs {
            for (key, placed) in &entry.runs {
                let Some(step) = entry.step(*key) else { continue };
                units.entry(placed.unit).or_default().push((id.clone(), *key));
                let need = step.resources();
                let open = index_by_agent.get(placed.agent.as_str());
                let pool = self.agents.get(&placed.agent).and_then(|agent| agent.worker.as_ref());
                if let Some(pool) = pool.and_then(|worker| loads.get_mut(&worker.pool)) {
                    pool.add_run(&need, open.is_some());
                }
                let Some(&index) = open else { continue };
                workers[index].free.subtract(&need);
                if let Some(started) = RecentStart::of(id, entry, *key, placed, now) {
                    started.record(&mut recent_starts, index);
                }
                let protection = match entry.job.queue.priority {
                    0 if !borrowed.contains(&placed.unit) => Protection::Guaranteed,
                    0 => Protection::Borrowed,
                    _ => Protection::Lower,
                };
                // Guaranteed work is preempted only once. Otherwise jobs could preempt each
                // other in turn, so that all begin and none ends.
                let yields = protection != Protection::Guaranteed
                    || (entry.has_begun && !entry.guarantee_preempted);
                let ending = !step.perpetual && entry.unit_ends_soon(placed, &self.settings, now);
                if ending {
                    workers[index].ending.add(&need);
                }
                if placed.phase == Phase::Stopping {
                    workers[index].stopping.add(&need);
                } else if yields && self.may_be_stopped(id, *key, &mut stopped) {
                    let loss = preemption_loss(step, now.saturating_sub(placed.started_at));
                    let unit = placed.unit;
                    workers[index].preemptible.push(Preemptible {
                        unit,
                        need,
                        protection,
                        loss,
                        ending,
                    });
                }
            }
        }
        let actual_free = workers.iter().map(|worker| worker.free).collect();
        let levels = self.speed_levels(&workers);
        let standings = self.standings(&workers, now);
        let new_trials = self.new_trials(&workers, &standings, now);
        Snapshot {
            workers,
            actual_free,
            units,
            recent_starts,
            levels,
            standings,
            new_trials,
            loads,
            clearance_request: None,
        }
    }

    /// Returns a worker's capacity less that of its stray runs, which occupy it until they have
    /// stopped; none if the requirements of one of them are not known. A worker that does not
    /// check its capacity itself would otherwise be given more than fits.
    pub(crate) fn capacity_without_strays(&self, agent: &Agent, capacity: Resources) -> Resources {
        let mut left = capacity;
        for task in &agent.strays {
            let step = self.jobs.get(&task.job).and_then(|entry| entry.step(task_key(task)));
            let Some(step) = step else { return Resources::default() };
            left.subtract(&step.resources());
        }
        left
    }

    /// Returns whether the run may be preempted at all. Of a perpetual step, only as many runs
    /// may be stopped as may be missing at the same time.
    fn may_be_stopped(
        &self,
        id: &Id,
        key: Key,
        stopped: &mut BTreeMap<(Id, u32, u32), u32>,
    ) -> bool {
        let step = self.jobs.get(id).and_then(|entry| entry.step(key));
        if !step.is_some_and(|step| step.perpetual && step.may_miss > 0) {
            return true;
        }
        let budget = self.disruption_budget(id, key.0, key.1);
        let stopped = stopped.entry((id.clone(), key.0, key.1)).or_default();
        *stopped += 1;
        *stopped <= budget
    }

    /// Returns the units of priority 0 that exceed their team's guarantee, which are those that
    /// the team started last.
    pub(crate) fn borrowed_units(&self) -> BTreeSet<u64> {
        let mut units: BTreeMap<u64, (&str, u64)> = BTreeMap::new();
        for entry in self.jobs.values().filter(|entry| entry.job.queue.priority == 0) {
            for (key, placed) in &entry.runs {
                let need = entry.step(*key).map_or(0, |step| step.need.accelerators);
                units.entry(placed.unit).or_insert((&entry.job.team, 0)).1 += need;
            }
        }
        let units = units.into_iter().map(|(unit, (team, need))| (unit, team, need));
        self.guarantees().borrowed_units(units)
    }

    /// Returns the teams' guarantees with nothing in use.
    pub(crate) fn guarantees(&self) -> Guarantees<impl Fn(&str) -> u64> {
        let teams = &self.config.teams;
        Guarantees::new(|team: &str| teams.get(team).map_or(0, |team| team.guaranteed))
    }
}
