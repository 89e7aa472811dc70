//! The snapshot of workers and their free capacity that one round of planning works on.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Id, Resources};
use quincewheel_place::{Preemptible, Protection, WorkerState};
use quincewheel_policy::{Guarantees, preemption_loss};

use crate::agent::Agent;
use crate::entry::{Key, Phase};
use crate::owner::Owner;
use crate::reports::task_key;
use crate::suspects::RecentStart;
use crate::tally::Restriction;

/// Open workers, their free capacity, and the work on them that may be preempted. A round of
/// planning updates it as it places tasks.
pub(crate) struct Snapshot {
    /// The workers that accept runs.
    pub spots: Vec<WorkerState>,
    /// Free capacity of each worker, reservations not deducted.
    pub actual_free: Vec<Resources>,
    /// The runs of each unit. A unit can only be stopped as a whole.
    pub units: BTreeMap<u64, Vec<(Id, Key)>>,
    /// Workers that have just started a task, by place.
    pub recent_starts: BTreeMap<usize, RecentStart>,
}

/// Places that a step must not use, by reason.
#[derive(Debug, Default)]
pub(crate) struct Exclusions {
    /// The step is not cleared for the workers.
    pub uncleared: Vec<usize>,
    /// The step's tasks have failed there recently.
    pub avoided: Vec<usize>,
    /// A crash there could not be attributed to one task.
    pub apart: Vec<usize>,
}

impl Exclusions {
    /// Returns all excluded places, sorted and without duplicates.
    pub fn places(&self) -> Vec<usize> {
        let mut places = [&self.uncleared[..], &self.avoided, &self.apart].concat();
        places.sort_unstable();
        places.dedup();
        places
    }
}

impl Snapshot {
    /// Takes the workers at these places out, so that nothing fits there, and returns them.
    pub fn hide(&mut self, places: &[usize]) -> Vec<(usize, WorkerState)> {
        places.iter().map(|&place| (place, std::mem::take(&mut self.spots[place]))).collect()
    }

    /// Puts back the workers that [`Snapshot::hide`] returned.
    pub fn show(&mut self, hidden: Vec<(usize, WorkerState)>) {
        for (place, spot) in hidden {
            self.spots[place] = spot;
        }
    }

    /// Returns all places, those with the fewest accelerators and CPUs in use first.
    pub fn least_used(&self) -> Vec<usize> {
        let used = |place: &usize| {
            let (spot, free) = (&self.spots[*place], self.spots[*place].free);
            let accelerators = spot.capacity.accelerators - free.accelerators;
            (accelerators, spot.capacity.cpu - free.cpu)
        };
        let mut places: Vec<usize> = (0..self.spots.len()).collect();
        places.sort_by_key(used);
        places
    }

    /// Returns the restriction that applies to a step at each place; empty if there is none at all.
    pub fn restrictions(&self, spared: &[usize], excluded: &Exclusions) -> Vec<Restriction> {
        let kinds = [
            (spared, Restriction::Spared),
            (&excluded.uncleared, Restriction::Uncleared),
            (&excluded.avoided, Restriction::Avoided),
            (&excluded.apart, Restriction::Apart),
        ];
        if kinds.iter().all(|(places, _)| places.is_empty()) {
            return Vec::new();
        }
        let mut restrictions = vec![Restriction::None; self.spots.len()];
        for (places, restriction) in kinds {
            places.iter().for_each(|&place| restrictions[place] = restriction);
        }
        restrictions
    }
}

impl Owner {
    /// Takes a snapshot of the open workers and the runs on them.
    pub(crate) fn snapshot(&self, now: u64) -> Snapshot {
        let mut spots: Vec<WorkerState> = Vec::new();
        let mut places: BTreeMap<&str, usize> = BTreeMap::new();
        for (name, agent) in &self.agents {
            let Some(worker) =
                agent.worker.as_ref().filter(|_| agent.accepts_runs(&self.settings, now))
            else {
                continue;
            };
            places.insert(name, spots.len());
            spots.push(WorkerState {
                name: name.clone(),
                incarnation: worker.incarnation(),
                pool: worker.pool.clone(),
                rack: worker.rack.clone(),
                labels: worker.labels.clone(),
                capacity: worker.capacity,
                free: self.capacity_without_strays(agent, worker.capacity),
                stopping: Resources::default(),
                ending: Resources::default(),
                deprioritized: agent.doubted_until.max(agent.cold_until) > now
                    || agent.silent_ms > self.settings.unresponsive_after / 2,
                preemptible: Vec::new(),
            });
        }
        let borrowed = self.borrowed_units();
        let mut taken = BTreeMap::new();
        let mut units: BTreeMap<u64, Vec<(Id, Key)>> = BTreeMap::new();
        let mut fresh: BTreeMap<usize, RecentStart> = BTreeMap::new();
        for (id, entry) in &self.jobs {
            for (key, placed) in &entry.runs {
                let Some(step) = entry.step(*key) else { continue };
                units.entry(placed.unit).or_default().push((id.clone(), *key));
                let Some(&place) = places.get(placed.agent.as_str()) else { continue };
                let need = step.resources();
                spots[place].free.subtract(&need);
                if let Some(started) = RecentStart::of(id, entry, *key, placed, now) {
                    started.record(&mut fresh, place);
                }
                let hold = match entry.job.queue.priority {
                    0 if !borrowed.contains(&placed.unit) => Protection::Guaranteed,
                    0 => Protection::Borrowed,
                    _ => Protection::Lower,
                };
                // Guaranteed work is preempted only once. Otherwise jobs could preempt each
                // other in turn, so that all begin and none ends.
                let yields = hold != Protection::Guaranteed
                    || (entry.has_begun && !entry.guarantee_preempted);
                let ending = !step.perpetual && entry.unit_ends_soon(placed, &self.settings, now);
                if ending {
                    spots[place].ending.add(&need);
                }
                if placed.phase == Phase::Stopping {
                    spots[place].stopping.add(&need);
                } else if yields && self.may_be_stopped(id, *key, &mut taken) {
                    let loss = preemption_loss(step, now.saturating_sub(placed.started_at));
                    let unit = placed.unit;
                    spots[place].preemptible.push(Preemptible {
                        unit,
                        need,
                        protection: hold,
                        loss,
                        ending,
                    });
                }
            }
        }
        let actual = spots.iter().map(|spot| spot.free).collect();
        Snapshot { spots, actual_free: actual, units, recent_starts: fresh }
    }

    /// Returns a worker's capacity less that of its stray runs, which occupy it until they have
    /// stopped; none if the requirements of one of them are not known. A worker that does not
    /// check its capacity itself would otherwise be given more than fits.
    fn capacity_without_strays(&self, agent: &Agent, capacity: Resources) -> Resources {
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
    fn may_be_stopped(&self, id: &Id, key: Key, taken: &mut BTreeMap<(Id, u32, u32), u32>) -> bool {
        let step = self.jobs.get(id).and_then(|entry| entry.step(key));
        if !step.is_some_and(|step| step.perpetual && step.may_miss > 0) {
            return true;
        }
        let spare = self.disruption_budget(id, key.0, key.1);
        let taken = taken.entry((id.clone(), key.0, key.1)).or_default();
        *taken += 1;
        *taken <= spare
    }

    /// Returns the units of priority 0 that exceed their team's guarantee, which are those that
    /// the team started last.
    fn borrowed_units(&self) -> BTreeSet<u64> {
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
