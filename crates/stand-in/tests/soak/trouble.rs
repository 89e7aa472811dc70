//! Troubles of many workers at the same time, and long suspensions of entries.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fault::Fault;
use crate::proxy::Mode;
use crate::size::Size;

/// Mean time between two troubles, in milliseconds.
const INTERVAL_MS: u64 = 2000;
/// How long an entry is suspended: longer than any lease, so that another one takes over.
const ENTRY_PAUSE_MS: std::ops::Range<u64> = 13_000..16_000;
/// How long workers or agents are suspended at the same time: around the length of a lease.
const WORKER_PAUSE_MS: std::ops::Range<u64> = 3000..6000;
/// How long workers fail what they start.
const FAILING_MS: std::ops::Range<u64> = 2000..6000;
/// Share of the workers that a trouble takes, in percent.
const SHARE_PERCENT: std::ops::RangeInclusive<usize> = 10..=60;
/// Distance between two workers of a trouble that takes them across racks.
const SCATTERED_STRIDE: usize = 7;

/// Workers that a trouble takes: neighbours share racks and availability zones.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    pub first: usize,
    pub count: usize,
    pub stride: usize,
}

impl Share {
    /// Returns the workers.
    pub fn workers(self, size: Size) -> impl Iterator<Item = usize> {
        (0..self.count).map(move |number| (self.first + number * self.stride) % size.workers)
    }

    fn draw(random: &mut StdRng, size: Size) -> Share {
        let percent = random.random_range(SHARE_PERCENT);
        let stride = if random.random() { 1 } else { SCATTERED_STRIDE };
        let count = (size.workers * percent / 100).max(1);
        Share { first: random.random_range(0..size.workers), count, stride }
    }
}

/// Draws the troubles, independently of the other faults.
pub fn draw(seed: u64, seconds: u64, size: Size) -> Vec<(u64, Fault)> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(24) ^ !seed);
    let mut at = random.random_range(0..INTERVAL_MS);
    let mut troubles = Vec::new();
    while at < seconds * 1000 {
        troubles.push((at, draw_one(&mut random, size)));
        at += random.random_range(1..2 * INTERVAL_MS);
    }
    troubles
}

fn draw_one(random: &mut StdRng, size: Size) -> Fault {
    let share = Share::draw(random, size);
    let ms = random.random_range(WORKER_PAUSE_MS);
    match random.random_range(0..8) {
        0 => {
            let process = random.random_range(0..size.entries);
            Fault::Pause { process, ms: random.random_range(ENTRY_PAUSE_MS) }
        }
        1 => Fault::PauseOwner { ms: random.random_range(ENTRY_PAUSE_MS) },
        2 | 3 => Fault::PauseWorkers { share, ms },
        4 => Fault::PauseAgents { share, ms },
        5 => Fault::FailMany { share, ms: random.random_range(FAILING_MS) },
        6 => Fault::CutWorkers { share, mode: Mode::Silent, ms },
        _ => Fault::RestartMany { share, down: random.random_range(300..3000) },
    }
}
