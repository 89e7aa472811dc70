//! The picture that one round of decisions works on.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Id, Resources};
use quincewheel_place::{Preemptible, Protection, WorkerState};
use quincewheel_policy::{Guarantees, preemption_loss};

use crate::agent::Agent;
use crate::entry::{Key, Phase};
use crate::owner::Owner;
use crate::reports::task_key;
use crate::suspects::RecentStart;
use crate::tally::Bar;

/// Workers, what is free on them, and what could be taken away.
pub(crate) struct Snapshot {
    /// The workers that take work.
    pub spots: Vec<WorkerState>,
    /// What is truly free, reservations not taken away.
    pub actual_free: Vec<Resources>,
    /// The runs of each unit that stops as a whole.
    pub units: BTreeMap<u64, Vec<(Id, Key)>>,
    /// Places at which something has just started.
    pub recent_starts: BTreeMap<usize, RecentStart>,
}

/// Places that a step leaves free, by why.
#[derive(Debug, Default)]
pub(crate) struct Barred {
    /// It is not cleared for the workers.
    pub uncleared: Vec<usize>,
    /// Its tasks failed there.
    pub avoided: Vec<usize>,
    /// A crash there could not be told from another's.
    pub apart: Vec<usize>,
}

impl Barred {
    /// All of them.
    pub fn places(&self) -> Vec<usize> {
        let mut places = [&self.uncleared[..], &self.avoided, &self.apart].concat();
        places.sort_unstable();
        places.dedup();
        places
    }
}

impl Snapshot {
    /// Hides workers that a step is not cleared for.
    pub fn hide(&mut self, places: &[usize]) -> Vec<(usize, WorkerState)> {
        places.iter().map(|&place| (place, std::mem::take(&mut self.spots[place]))).collect()
    }

    /// Shows again what [`Snapshot::hide`] took.
    pub fn show(&mut self, hidden: Vec<(usize, WorkerState)>) {
        for (place, spot) in hidden {
            self.spots[place] = spot;
        }
    }

    /// All places, those first at which the least runs.
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

    /// What bars a step from each place; empty if nothing does anywhere.
    pub fn bars(&self, spared: &[usize], barred: &Barred) -> Vec<Bar> {
        let kinds = [
            (spared, Bar::Spared),
            (&barred.uncleared, Bar::Uncleared),
            (&barred.avoided, Bar::Avoided),
            (&barred.apart, Bar::Apart),
        ];
        if kinds.iter().all(|(places, _)| places.is_empty()) {
            return Vec::new();
        }
        let mut bars = vec![Bar::Open; self.spots.len()];
        for (places, bar) in kinds {
            places.iter().for_each(|&place| bars[place] = bar);
        }
        bars
    }
}

impl Owner {
    /// The workers as they are.
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
                free: self.left_by_strays(agent, worker.capacity),
                stopping: Resources::default(),
                ending: Resources::default(),
                deprioritized: agent.doubted_until.max(agent.cold_until) > now
                    || agent.silent_ms > self.settings.unresponsive_after / 2,
                preemptible: Vec::new(),
            });
        }
        let borrowed = self.borrowed();
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
                // One that gave its guaranteed room up once does not again: all would begin, and
                // none end.
                let yields = hold != Protection::Guaranteed
                    || (entry.has_begun && !entry.guarantee_preempted);
                let ending = !step.perpetual && entry.unit_ends_soon(placed, &self.settings, now);
                if ending {
                    spots[place].ending.add(&need);
                }
                if placed.phase == Phase::Stopping {
                    spots[place].stopping.add(&need);
                } else if yields && self.may_yield(id, *key, &mut taken) {
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

    /// What runs that nobody waits for leave of a worker's capacity until their stops are
    /// through; nothing if it is not known what one of them takes. A worker that does not
    /// check for itself would be given more than it has.
    fn left_by_strays(&self, agent: &Agent, capacity: Resources) -> Resources {
        let mut left = capacity;
        for task in &agent.strays {
            let step = self.jobs.get(&task.job).and_then(|entry| entry.step(task_key(task)));
            let Some(step) = step else { return Resources::default() };
            left.subtract(&step.resources());
        }
        left
    }

    /// True if the run may be taken away at all: of a step that lasts, only as
    /// many as may be missing at one time.
    fn may_yield(&self, id: &Id, key: Key, taken: &mut BTreeMap<(Id, u32, u32), u32>) -> bool {
        let step = self.jobs.get(id).and_then(|entry| entry.step(key));
        if !step.is_some_and(|step| step.perpetual && step.may_miss > 0) {
            return true;
        }
        let spare = self.disruption_budget(id, key.0, key.1);
        let taken = taken.entry((id.clone(), key.0, key.1)).or_default();
        *taken += 1;
        *taken <= spare
    }

    /// Units of priority 0 that their team holds beyond its guarantee: the
    /// ones that it started last.
    fn borrowed(&self) -> BTreeSet<u64> {
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

    /// What teams are guaranteed, of which nothing is taken.
    pub(crate) fn guarantees(&self) -> Guarantees<impl Fn(&str) -> u64> {
        let teams = &self.config.teams;
        Guarantees::new(|team: &str| teams.get(team).map_or(0, |team| team.guaranteed))
    }
}
