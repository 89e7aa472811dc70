//! The picture that one round of decisions works on.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Id, Need, Step};
use quincewheel_place::{Holder, Spot};

use crate::entry::{Key, Phase, Placed};
use crate::owner::Owner;
use crate::tally::Bar;

/// Workers, what is free on them, and what could be taken away.
pub(crate) struct Board {
    /// The workers that take work.
    pub spots: Vec<Spot>,
    /// What is truly free, reservations not taken away.
    pub actual: Vec<Need>,
    /// The runs of each unit that stops as a whole.
    pub units: BTreeMap<u64, Vec<(Id, Key)>>,
}

impl Board {
    /// Hides whole workers of a pool from work that can wait, and returns what
    /// they have free.
    ///
    /// Urgent gangs come at any moment, want whole workers of one rack, and have
    /// less time than a stop takes. Where work that has many seconds left takes
    /// the last such workers, each urgent gang stops some of it.
    pub fn spare(&mut self, pool: &str) -> Vec<(usize, Need)> {
        let mine = |spot: &&Spot| spot.pool == pool;
        let all = self.spots.iter().filter(mine).count();
        let mut free: Vec<usize> = (0..self.spots.len())
            .filter(|&place| {
                let spot = &self.spots[place];
                spot.pool == pool && spot.free == spot.capacity
            })
            .collect();
        // Whole racks first: gangs want one.
        let rack = |place: &usize| {
            let rack = &self.spots[*place].rack;
            let same = free.iter().filter(|&&other| self.spots[other].rack == *rack).count();
            (usize::MAX - same, rack.clone())
        };
        let mut order: Vec<_> = free.iter().map(|place| (rack(place), *place)).collect();
        order.sort();
        free = order.into_iter().map(|(_, place)| place).take(all * SPARE / 100).collect();
        free.into_iter().map(|place| (place, std::mem::take(&mut self.spots[place].free))).collect()
    }

    /// True if half of the pool is free by any measure: of accelerators,
    /// processors or memory.
    pub fn is_half_free(&self, pool: &str) -> bool {
        let mut all = Need::default();
        let mut free = Need::default();
        for spot in self.spots.iter().filter(|spot| spot.pool == pool) {
            all.give(&spot.capacity);
            free.give(&spot.free);
        }
        free.accelerators * 2 >= all.accelerators
            || free.cpu * 2 >= all.cpu
            || free.memory * 2 >= all.memory
    }

    /// Hides workers that a step is not cleared for.
    pub fn hide(&mut self, places: &[usize]) -> Vec<(usize, Spot)> {
        places.iter().map(|&place| (place, std::mem::take(&mut self.spots[place]))).collect()
    }

    /// Shows again what [`Board::hide`] took.
    pub fn show(&mut self, hidden: Vec<(usize, Spot)>) {
        for (place, spot) in hidden {
            self.spots[place] = spot;
        }
    }

    /// Shows again what [`Board::spare`] took, and returns where.
    pub fn unspare(&mut self, spared: Vec<(usize, Need)>) -> Vec<usize> {
        let show = |(place, free): (usize, Need)| {
            self.spots[place].free = free;
            place
        };
        spared.into_iter().map(show).collect()
    }

    /// What bars a step from each place; empty if nothing does anywhere.
    pub fn bars(&self, spared: &[usize], uncleared: &[usize], avoided: &[usize]) -> Vec<Bar> {
        let kinds = [(spared, Bar::Spared), (uncleared, Bar::Uncleared), (avoided, Bar::Avoided)];
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
    pub(crate) fn board(&self, now: u64) -> Board {
        let mut spots: Vec<Spot> = Vec::new();
        let mut places: BTreeMap<&str, usize> = BTreeMap::new();
        for (name, agent) in &self.agents {
            let Some(worker) = agent.worker.as_ref().filter(|_| agent.open(&self.settings, now))
            else {
                continue;
            };
            places.insert(name, spots.len());
            spots.push(Spot {
                name: name.clone(),
                worker: worker.id.clone(),
                pool: worker.pool.clone(),
                rack: worker.rack.clone(),
                labels: worker.labels.clone(),
                capacity: worker.capacity,
                free: worker.capacity,
                stopping: Need::default(),
                ending: Need::default(),
                doubtful: agent.doubted > now || agent.silent > self.settings.mute / 2,
                holders: Vec::new(),
            });
        }
        let borrowed = self.borrowed();
        let mut taken = BTreeMap::new();
        let mut units: BTreeMap<u64, Vec<(Id, Key)>> = BTreeMap::new();
        for (id, entry) in &self.jobs {
            for (key, placed) in &entry.runs {
                let Some(step) = entry.step(*key) else { continue };
                units.entry(placed.unit).or_default().push((id.clone(), *key));
                let Some(&place) = places.get(placed.agent.as_str()) else { continue };
                let need = step.charge();
                spots[place].free.take(&need);
                let borrows = borrowed.contains(&placed.unit);
                let yields = entry.job.queue.priority > 0 || borrows;
                let ending = !step.perpetual && entry.unit_ends(placed, &self.settings, now);
                if ending {
                    spots[place].ending.give(&need);
                }
                if placed.phase == Phase::Stopping {
                    spots[place].stopping.give(&need);
                } else if yields && self.may_yield(id, *key, &mut taken) {
                    let loss = loss(step, placed, now);
                    let unit = placed.unit;
                    spots[place].holders.push(Holder { unit, need, borrows, loss, ending });
                }
            }
        }
        let actual = spots.iter().map(|spot| spot.free).collect();
        Board { spots, actual, units }
    }

    /// True if the run may be taken away at all: of a step that lasts, only as
    /// many as may be missing at one time.
    fn may_yield(&self, id: &Id, key: Key, taken: &mut BTreeMap<(Id, u32, u32), u32>) -> bool {
        let step = self.jobs.get(id).and_then(|entry| entry.step(key));
        if !step.is_some_and(|step| step.perpetual && step.may_miss > 0) {
            return true;
        }
        let spare = self.spare_runs(id, key.0, key.1);
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
        let mut used: BTreeMap<&str, u64> = BTreeMap::new();
        let mut borrowed = BTreeSet::new();
        for (unit, (team, need)) in units {
            let guaranteed = self.config.teams.get(team).map_or(0, |team| team.guaranteed);
            let used = used.entry(team).or_default();
            *used += need;
            if *used > guaranteed {
                borrowed.insert(unit);
            }
        }
        borrowed
    }
}

/// What a task of the step takes, in cores.
pub(crate) fn weight(step: &Step) -> u64 {
    step.need.cpu / 1000 + CORES_PER_ACCELERATOR * step.need.accelerators
}

/// What stopping a run loses, in core-milliseconds: all since its start, or
/// with checkpoints, which are also made at a stop, what it takes to resume.
fn loss(step: &Step, placed: &Placed, now: u64) -> u64 {
    let ran = now.saturating_sub(placed.began);
    let unsaved = if step.checkpoints { ran.min(RESUME) } else { ran };
    unsaved * weight(step) * u64::from(if step.gang { step.count } else { 1 })
}

/// Upper bound of what it takes to resume from a checkpoint, in milliseconds.
const RESUME: u64 = 600;

/// Accelerators count as so many cores where lost work is compared.
const CORES_PER_ACCELERATOR: u64 = 8;

/// Whole workers of a pool that are kept for work that cannot wait, in percent
/// of the pool, as long as they are free. Mean worth of eight seeds of each day
/// of two pools of 11, and of two seeds of pools of 76 and 57: with 0, 0.842,
/// 0.764, 0.752 and 0.664; with 20, 0.847, 0.773, 0.764 and 0.658; with 30, 0.846,
/// 0.768, 0.776 and 0.674; with 40, 0.831, 0.773, 0.762 and 0.684.
const SPARE: usize = 30;
