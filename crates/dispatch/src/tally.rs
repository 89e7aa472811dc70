use std::collections::BTreeMap;

use quincewheel_place::{Request, WorkerState};

use crate::cause::Cause;

/// What is kept from a step at a place although it is free.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Bar {
    Open,
    Spared,
    Uncleared,
    Avoided,
    Apart,
}

/// Room for tasks of one step, by what bars the step from it.
#[derive(Debug, Default)]
pub(crate) struct Tally<'a> {
    /// Filled only for a gang that wants one rack.
    racks: BTreeMap<&'a str, Sums>,
    all: Sums,
    count: u64,
    gang: bool,
    same_rack: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    /// Tasks that fit into what is free, by bar.
    free: [u64; 5],
    /// Tasks that would fit if nothing ran; counted until it is enough.
    whole: u64,
}

impl Sums {
    fn add(&mut self, bar: Bar, free: u64, whole: u64) {
        self.free[bar as usize] += free;
        self.whole += whole;
    }
}

impl<'a> Tally<'a> {
    /// Counts in one pass over the workers; `bars` has one for each of them,
    /// or none at all if nothing is barred and all that fits was started: then
    /// nothing fits of a step that is no gang, and a few workers tell the rest.
    pub fn open(spots: &'a [WorkerState], bars: &[Bar], ask: &Request<'_>) -> Tally<'a> {
        let mut tally = Tally {
            count: u64::from(ask.count),
            gang: ask.step.gang,
            same_rack: ask.step.gang && ask.step.same_rack && ask.count > 1,
            ..Tally::default()
        };
        let need = ask.step.resources();
        for (place, spot) in spots.iter().enumerate().filter(|(_, spot)| ask.is_eligible(spot)) {
            // Most places of a full pool hold nothing more, and the first few workers
            // would hold all if they were empty: divisions are left out there.
            let fits = need.fits(&spot.free);
            let free = if fits { ask.max_tasks(place, &spot.free) } else { 0 };
            let known = !tally.same_rack && tally.all.whole >= tally.count;
            if known && bars.is_empty() && !tally.gang {
                break;
            }
            let whole = if known { 0 } else { ask.max_tasks(place, &spot.capacity) };
            let bar = bars.get(place).copied().unwrap_or(Bar::Open);
            tally.all.add(bar, free, whole);
            if tally.same_rack {
                let rack = tally.racks.entry(&spot.rack).or_default();
                rack.add(bar, free, whole);
            }
        }
        tally
    }

    /// What keeps the tasks from starting on the open workers: the least that
    /// would have to be lifted.
    pub fn cause(&self) -> Cause {
        if !self.would_hold(0) {
            return Cause::Few;
        }
        let lifted = [
            (Bar::Spared, Cause::Spared),
            (Bar::Uncleared, Cause::Clearance),
            (Bar::Avoided, Cause::Avoided),
            (Bar::Apart, Cause::Apart),
        ];
        if let Some((_, cause)) = lifted.into_iter().find(|(bar, _)| self.holds(*bar)) {
            return cause;
        }
        let some_rack = self.same_rack && self.all.free.iter().sum::<u64>() >= self.count;
        if some_rack { Cause::Rack } else { Cause::Room }
    }

    /// How many of the tasks fit now, and how many would if nothing ran.
    pub fn room(&self) -> (u64, u64) {
        let free: u64 = self.all.free.iter().sum();
        (free.min(self.count), self.all.whole.min(self.count))
    }

    /// True if the workers, and others that hold so many `more`, could hold the
    /// tasks if nothing ran.
    pub fn would_hold(&self, more: u64) -> bool {
        self.all.whole + more >= self.wanted()
    }

    /// Tasks that start together, or one.
    fn wanted(&self) -> u64 {
        if self.gang { self.count } else { 1 }
    }

    /// True if the tasks could start if all bars up to this one were lifted.
    fn holds(&self, bar: Bar) -> bool {
        let free = |sums: &Sums| sums.free[..=bar as usize].iter().sum::<u64>();
        if self.same_rack && self.racks.values().any(|sums| sums.whole >= self.count) {
            return self.racks.values().any(|sums| free(sums) >= self.count);
        }
        free(&self.all) >= self.wanted()
    }
}
