//! The faults of a run, drawn from its seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxy::Mode;
use crate::table::Trouble;

/// Something that goes wrong.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A process is killed, and started again after so many milliseconds.
    Kill { process: usize, down: u64 },
    /// A process stands still for so many milliseconds.
    Pause { process: usize, ms: u64 },
    /// A process is told to end, and started again.
    Restart { process: usize },
    /// A process is told that its settings changed.
    Reload { process: usize },
    /// Several processes are killed at one moment.
    Herd { first: usize, count: usize, down: u64 },
    /// A process's connections to the table are harmed.
    Table { process: usize, mode: Mode, ms: u64 },
    /// Other processes' connections to a process are harmed.
    Peers { process: usize, mode: Mode, ms: u64 },
    /// The table itself is in trouble.
    Trouble { trouble: Trouble, ms: u64 },
    /// The table forgets its history.
    Compact,
    /// A worker loses all it has and comes back after so many milliseconds.
    Worker { worker: usize, dark: u64 },
    /// A key is taken away and another given.
    Key,
    /// Starts at a worker get no answer for so many milliseconds, and are carried out later.
    Late { worker: usize, ms: u64 },
    /// Operators evacuate an availability zone for so many milliseconds.
    Evacuate { zone: usize, ms: u64 },
    /// A worker loses so many accelerators for so many milliseconds.
    Shrink { worker: usize, lost: u64, ms: u64 },
}

/// Times at which workers lose accelerators, drawn apart from the other faults.
pub fn draw_shrinks(seed: u64, seconds: u64, workers: usize) -> Vec<(u64, Fault)> {
    let mut random = StdRng::seed_from_u64(!seed);
    let shrink = |random: &mut StdRng| Fault::Shrink {
        worker: random.random_range(0..workers),
        lost: random.random_range(1..=8),
        ms: random.random_range(1000..8000),
    };
    let times = (1000..seconds * 1000).step_by(1500);
    times.map(|at| (at, shrink(&mut random))).collect()
}

/// Times at which operators evacuate availability zones; drawn apart from the other faults.
pub fn draw_evacuations(seed: u64, seconds: u64, zones: usize) -> Vec<(u64, Fault)> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(16) ^ !seed);
    let mut one = |_| {
        let at = random.random_range(0..seconds * 1000);
        let ms = random.random_range(2000..9000);
        (at, Fault::Evacuate { zone: random.random_range(0..zones), ms })
    };
    (0..seconds / 2).map(&mut one).collect()
}

/// Times at which workers start again, most of them at once, or carry starts out late; drawn
/// apart from the other faults.
pub fn draw_restarts(seed: u64, seconds: u64, workers: usize) -> Vec<(u64, Fault)> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(32) ^ !seed);
    let one = |random: &mut StdRng| {
        let worker = random.random_range(0..workers);
        match random.random_range(0..3) {
            0 => Fault::Late { worker, ms: random.random_range(500..2000) },
            _ => Fault::Worker { worker, dark: random.random_range(20..700) },
        }
    };
    let times = (700..seconds * 1000).step_by(600);
    times.map(|at| (at, one(&mut random))).collect()
}

/// Faults with their times, in milliseconds from the begin.
pub fn draw(seed: u64, seconds: u64, processes: usize, workers: usize) -> Vec<(u64, Fault)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut at = 500;
    let mut faults = Vec::new();
    while at < seconds * 1000 {
        faults.push((at, one(&mut random, processes, workers)));
        at += random.random_range(100..1500);
    }
    faults
}

fn one(random: &mut StdRng, processes: usize, workers: usize) -> Fault {
    let process = random.random_range(0..processes);
    let ms = random.random_range(300..4000);
    match random.random_range(0..14) {
        0 | 1 => Fault::Kill { process, down: ms / 2 },
        2 => Fault::Pause { process, ms },
        3 => Fault::Restart { process },
        4 => Fault::Reload { process },
        5 => Fault::Herd { first: process, count: processes / 2, down: ms / 2 },
        6 | 7 => Fault::Table { process, mode: mode(random), ms },
        8 | 9 => Fault::Peers { process, mode: mode(random), ms },
        10 => Fault::Trouble { trouble: trouble(random), ms },
        11 => Fault::Compact,
        12 => Fault::Worker { worker: random.random_range(0..workers), dark: ms },
        _ => Fault::Key,
    }
}

fn mode(random: &mut StdRng) -> Mode {
    match random.random_range(0..4) {
        0 => Mode::Delay(random.random_range(20..300)),
        1 => Mode::Silent,
        2 => Mode::OneWay,
        _ => Mode::Reset,
    }
}

fn trouble(random: &mut StdRng) -> Trouble {
    match random.random_range(0..5) {
        0 => Trouble::Refusing,
        1 => Trouble::Silent,
        2 => Trouble::Slow(random.random_range(50..250)),
        3 => Trouble::Lossy,
        _ => Trouble::Late,
    }
}
