use std::collections::BTreeMap;

use quincewheel_place::{Request, WorkerState};

use crate::cause::Cause;

/// Why a step must not use the free capacity of a worker, in the order in which
/// [`Tally::cause`] lifts the restrictions.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Restriction {
    /// The capacity may be used.
    None,
    /// Kept free for more urgent work.
    Spared,
    /// Claimed by a gang that has waited for it.
    Claimed,
    /// The step is not cleared for the worker.
    Uncleared,
    /// Tasks of the step have failed there recently.
    Avoided,
    /// It is doubtful, or not sound enough for a last attempt.
    Doubted,
    /// A crash there could not be attributed to one task.
    Apart,
}

/// How many tasks of one step fit on the workers, by restriction.
#[derive(Debug, Default)]
pub(crate) struct Tally<'a> {
    /// Sums by rack; filled only for a gang that must be in a single rack.
    racks: BTreeMap<&'a str, Sums>,
    all: Sums,
    count: u64,
    gang: bool,
    same_rack: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    /// Tasks that fit into free capacity, by restriction.
    free: [u64; 7],
    /// Tasks that would fit if nothing ran; counted until it is enough.
    whole: u64,
}

impl Sums {
    fn add(&mut self, restriction: Restriction, free: u64, whole: u64) {
        self.free[restriction as usize] += free;
        self.whole += whole;
    }
}

impl<'a> Tally<'a> {
    /// Counts in one pass over the workers. `restrictions` has one for each of them. It is empty
    /// if there are no restrictions and all tasks that fit were started: then nothing more fits
    /// of a step that is not a gang, so the pass ends once enough workers are counted for
    /// [`Sums::whole`].
    pub fn count(
        workers: &'a [WorkerState],
        restrictions: &[Restriction],
        request: &Request<'_>,
    ) -> Tally<'a> {
        let mut tally = Tally {
            count: u64::from(request.count),
            gang: request.step.gang,
            same_rack: request.step.gang && request.step.same_rack && request.count > 1,
            ..Tally::default()
        };
        let need = request.step.resources();
        for (index, worker) in
            workers.iter().enumerate().filter(|(_, worker)| request.is_eligible(worker))
        {
            // Saves divisions: most workers of a full pool have no capacity left, and the first few
            // would hold all tasks if they were empty.
            let fits = need.fits(&worker.free);
            let free = if fits { request.max_tasks(index, &worker.free) } else { 0 };
            let enough_counted = !tally.same_rack && tally.all.whole >= tally.count;
            if enough_counted && restrictions.is_empty() && !tally.gang {
                break;
            }
            let whole = if enough_counted { 0 } else { request.max_tasks(index, &worker.capacity) };
            let restriction = restrictions.get(index).copied().unwrap_or(Restriction::None);
            tally.all.add(restriction, free, whole);
            if tally.same_rack {
                let rack = tally.racks.entry(&worker.rack).or_default();
                rack.add(restriction, free, whole);
            }
        }
        tally
    }

    /// Returns what keeps the tasks from starting on the open workers: the first restriction in
    /// order that would have to be lifted.
    pub fn cause(&self) -> Cause {
        if !self.would_hold(0) {
            return Cause::Few;
        }
        let lifted = [
            (Restriction::Spared, Cause::Spared),
            (Restriction::Claimed, Cause::Claimed),
            (Restriction::Uncleared, Cause::Clearance),
            (Restriction::Avoided, Cause::Avoided),
            (Restriction::Doubted, Cause::Doubted),
            (Restriction::Apart, Cause::Apart),
        ];
        if let Some((_, cause)) =
            lifted.into_iter().find(|(restriction, _)| self.holds(*restriction))
        {
            return cause;
        }
        let fits_across_racks = self.same_rack && self.all.free.iter().sum::<u64>() >= self.count;
        if fits_across_racks { Cause::Rack } else { Cause::Room }
    }

    /// Returns how many of the tasks fit now, and how many would fit if nothing ran.
    pub fn room(&self) -> (u64, u64) {
        let free: u64 = self.all.free.iter().sum();
        (free.min(self.count), self.all.whole.min(self.count))
    }

    /// Returns whether the workers, and others that could hold `more` tasks, could hold the tasks
    /// if nothing ran.
    pub fn would_hold(&self, more: u64) -> bool {
        self.all.whole + more >= self.min_tasks()
    }

    /// Returns the least number of tasks that can start: all of a gang, otherwise one.
    fn min_tasks(&self) -> u64 {
        if self.gang { self.count } else { 1 }
    }

    /// Returns whether the tasks could start if all restrictions up to this one were lifted.
    fn holds(&self, restriction: Restriction) -> bool {
        let free = |sums: &Sums| sums.free[..=restriction as usize].iter().sum::<u64>();
        if self.same_rack && self.racks.values().any(|sums| sums.whole >= self.count) {
            return self.racks.values().any(|sums| free(sums) >= self.count);
        }
        free(&self.all) >= self.min_tasks()
    }
}
