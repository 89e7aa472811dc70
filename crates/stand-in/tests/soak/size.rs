//! The number of processes of a run, and what grows with it.

use rand::Rng;
use rand::rngs::StdRng;

/// Entries and workers of a run; each worker has an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Size {
    pub entries: usize,
    pub workers: usize,
}

/// Most processes of a run: each has a host part of its own, below that of the table.
const MAX_PROCESSES: usize = 240;
/// One fresh seed in this many is [`Size::LARGE`].
const LARGE_RATIO: u32 = 3;
/// Parts of the workers that share a rack, and an availability zone, in large runs.
const RACK_SHARE: usize = 8;
const ZONE_SHARE: usize = 3;
/// Fewest workers of a rack and of an availability zone.
const MIN_RACK_WORKERS: usize = 3;

impl Size {
    /// The size of the regression seeds and of the directed runs.
    pub const SMALL: Size = Size { entries: 3, workers: 6 };
    /// The size of a part of the fresh seeds.
    pub const LARGE: Size = Size { entries: 6, workers: 40 };

    /// Draws the size of a fresh seed.
    pub fn draw(random: &mut StdRng) -> Size {
        if random.random_ratio(1, LARGE_RATIO) { Size::LARGE } else { Size::SMALL }
    }

    /// Returns whether there is an entry and a worker, and an address for each process.
    pub fn is_possible(self) -> bool {
        self.entries > 0 && self.workers > 0 && self.processes() <= MAX_PROCESSES
    }

    /// Returns the number of entries and agents.
    pub fn processes(self) -> usize {
        self.entries + self.workers
    }

    /// Returns how many times the workers of [`Size::SMALL`] there are, at least one.
    pub fn weight(self) -> usize {
        (self.workers / Size::SMALL.workers).max(1)
    }

    /// Returns the interval between two faults of workers, given that of the small size.
    pub fn fault_interval(self, interval_ms: u64) -> usize {
        interval_ms as usize / self.weight()
    }

    /// Returns the rack of a worker.
    pub fn rack(self, worker: usize) -> usize {
        worker / (self.workers / RACK_SHARE).max(MIN_RACK_WORKERS)
    }

    /// Returns the availability zone of a worker.
    pub fn zone(self, worker: usize) -> usize {
        worker / self.zone_workers()
    }

    /// Returns the number of availability zones.
    pub fn zones(self) -> usize {
        self.workers.div_ceil(self.zone_workers())
    }

    /// Returns the number of workers in an availability zone.
    fn zone_workers(self) -> usize {
        (self.workers / ZONE_SHARE).max(MIN_RACK_WORKERS)
    }
}
