//! The faults of a run, drawn from its seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxy::Mode;
use crate::size::Size;
use crate::table::TableFault;
use crate::trouble::Share;

/// A fault to inject.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A process is killed, and started again after `down` milliseconds.
    Kill { process: usize, down: u64 },
    /// A process is paused for `ms` milliseconds.
    Pause { process: usize, ms: u64 },
    /// A process gets SIGTERM, and is started again.
    Restart { process: usize },
    /// A process gets SIGHUP after a change of its settings.
    Reload { process: usize },
    /// Several processes are killed at the same moment.
    KillMany { first: usize, count: usize, down: u64 },
    /// A process's connections to the table are disturbed.
    TableLink { process: usize, mode: Mode, ms: u64 },
    /// Other processes' connections to a process are disturbed.
    PeerLinks { process: usize, mode: Mode, ms: u64 },
    /// The table itself has a fault.
    TableService { fault: TableFault, ms: u64 },
    /// The table compacts its history.
    Compact,
    /// A worker restarts without its state after `down` milliseconds.
    RestartWorker { worker: usize, down: u64 },
    /// The team's key is revoked and replaced.
    RotateKey,
    /// Starts at a worker get no reply for `ms` milliseconds, and are carried out later.
    DelayStarts { worker: usize, ms: u64 },
    /// Operators evacuate an availability zone for `ms` milliseconds.
    Evacuate { zone: usize, ms: u64 },
    /// A worker fails all that it starts for `ms` milliseconds, and reports itself healthy.
    FailStarts { worker: usize, ms: u64 },
    /// The entry that owns the deployment is killed, and started again after `down` milliseconds.
    KillOwner { down: u64 },
    /// A worker reports that it drains, goes on serving for `serves` milliseconds, gives notice and
    /// ends. Another one is at its address after `down` milliseconds.
    Drain { worker: usize, serves: u64, down: u64 },
    /// The connections of an agent to its worker are disturbed, while the worker runs on.
    WorkerLink { worker: usize, mode: Mode, ms: u64 },
    /// A worker refuses polls, or all calls, for `ms` milliseconds.
    RefuseCalls { worker: usize, polls_only: bool, ms: u64 },
    /// Every other call to a worker gets no reply in time for `ms` milliseconds, and is carried out
    /// later.
    DelayCalls { worker: usize, ms: u64 },
    /// Operators remove one of the two queues for `ms` milliseconds.
    RemoveQueue { ms: u64 },
    /// The entry that owns the deployment is paused for `ms` milliseconds.
    PauseOwner { ms: u64 },
    /// Many workers are suspended for `ms` milliseconds at the same time.
    PauseWorkers { share: Share, ms: u64 },
    /// Many agents are paused for `ms` milliseconds at the same time.
    PauseAgents { share: Share, ms: u64 },
    /// Many workers fail all that they start for `ms` milliseconds.
    FailMany { share: Share, ms: u64 },
    /// The connections of many agents to their workers are disturbed.
    CutWorkers { share: Share, mode: Mode, ms: u64 },
    /// Many workers restart without their state.
    RestartMany { share: Share, down: u64 },
    /// A worker loses `lost` accelerators for `ms` milliseconds.
    Shrink { worker: usize, lost: u64, ms: u64 },
}

/// Draws the losses of accelerators, independently of the other faults.
pub fn draw_shrinks(seed: u64, seconds: u64, size: Size) -> Vec<(u64, Fault)> {
    let mut random = StdRng::seed_from_u64(!seed);
    let shrink = |random: &mut StdRng| Fault::Shrink {
        worker: random.random_range(0..size.workers),
        lost: random.random_range(1..=8),
        ms: random.random_range(1000..8000),
    };
    let times = (1000..seconds * 1000).step_by(size.fault_interval(1500));
    times.map(|at| (at, shrink(&mut random))).collect()
}

/// Draws the evacuations of availability zones, independently of the other faults.
pub fn draw_evacuations(seed: u64, seconds: u64, zones: usize) -> Vec<(u64, Fault)> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(16) ^ !seed);
    let mut draw_one = |_| {
        let at = random.random_range(0..seconds * 1000);
        let ms = random.random_range(2000..9000);
        (at, Fault::Evacuate { zone: random.random_range(0..zones), ms })
    };
    (0..seconds / 2).map(&mut draw_one).collect()
}

/// Draws failing workers and deaths of the owner, independently of the other faults.
pub fn draw_overload(seed: u64, seconds: u64, size: Size) -> Vec<(u64, Fault)> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(48) ^ !seed);
    let draw_one = |random: &mut StdRng| match random.random_range(0..3) {
        0 => Fault::KillOwner { down: random.random_range(100..1000) },
        _ => Fault::FailStarts {
            worker: random.random_range(0..size.workers),
            ms: random.random_range(1000..4000),
        },
    };
    let times = (1000..seconds * 1000).step_by(size.fault_interval(1200));
    times.map(|at| (at, draw_one(&mut random))).collect()
}

/// Draws restarts of workers, most with a short downtime, and delayed starts, independently of
/// the other faults.
pub fn draw_restarts(seed: u64, seconds: u64, size: Size) -> Vec<(u64, Fault)> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(32) ^ !seed);
    let draw_one = |random: &mut StdRng| {
        let worker = random.random_range(0..size.workers);
        match random.random_range(0..3) {
            0 => Fault::DelayStarts { worker, ms: random.random_range(500..2000) },
            _ => Fault::RestartWorker { worker, down: random.random_range(20..700) },
        }
    };
    let times = (700..seconds * 1000).step_by(size.fault_interval(600));
    times.map(|at| (at, draw_one(&mut random))).collect()
}

/// Pauses after which an agent reports what it knew before, while its worker's lease still runs.
const NEAR_LEASE_MS: std::ops::Range<u64> = 4800..6200;

/// Draws the faults of runs in which workers leave. About eight overlap in the densest runs, about
/// three in the others.
pub fn draw_departures(seed: u64, seconds: u64, size: Size) -> Vec<(u64, Fault)> {
    let mut random = StdRng::seed_from_u64(seed);
    let interval = [300, 450, 700, 1000][random.random_range(0..4)];
    let times = (500..seconds * 1000).step_by(size.fault_interval(interval));
    times.map(|at| (at, draw_departure(&mut random, size))).collect()
}

fn draw_departure(random: &mut StdRng, size: Size) -> Fault {
    let Size { entries, workers } = size;
    let worker = random.random_range(0..workers);
    let process = random.random_range(0..entries + workers);
    let entry = random.random_range(0..entries);
    let ms = random.random_range(300..8000);
    let down = random.random_range(300..3000);
    match random.random_range(0..24) {
        0..=3 => Fault::Drain { worker, serves: random.random_range(1000..8000), down },
        4 | 5 => Fault::RestartWorker { worker, down },
        6..=8 => {
            let mode = [Mode::Silent, Mode::OneWay, Mode::Reset][random.random_range(0..3)];
            Fault::WorkerLink { worker, mode, ms: ms.min(7000) }
        }
        9 | 21 | 22 => Fault::RefuseCalls { worker, polls_only: random.random_bool(0.7), ms },
        10 | 11 => Fault::DelayCalls { worker, ms: ms / 2 },
        12 => Fault::Pause { process: entry, ms },
        13 => Fault::Pause { process: entries + worker, ms },
        14 => {
            let ms = random.random_range(NEAR_LEASE_MS);
            Fault::Pause { process: entries + worker, ms }
        }
        15 | 16 => {
            let mode = [Mode::Silent, Mode::Reset][random.random_range(0..2)];
            Fault::TableLink { process, mode, ms }
        }
        17 => Fault::PeerLinks { process, mode: proxy_mode(random), ms },
        18 => Fault::Kill { process: entry, down },
        19 => Fault::KillOwner { down },
        20 => Fault::Kill { process: entries + worker, down },
        _ => Fault::RemoveQueue { ms: ms / 2 },
    }
}

/// Draws faults with their times, in milliseconds since the start of the run.
pub fn draw(seed: u64, seconds: u64, processes: usize, workers: usize) -> Vec<(u64, Fault)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut at = 500;
    let mut faults = Vec::new();
    while at < seconds * 1000 {
        faults.push((at, draw_one(&mut random, processes, workers)));
        at += random.random_range(100..1500);
    }
    faults
}

fn draw_one(random: &mut StdRng, processes: usize, workers: usize) -> Fault {
    let process = random.random_range(0..processes);
    let ms = random.random_range(300..4000);
    match random.random_range(0..14) {
        0 | 1 => Fault::Kill { process, down: ms / 2 },
        2 => Fault::Pause { process, ms },
        3 => Fault::Restart { process },
        4 => Fault::Reload { process },
        5 => Fault::KillMany { first: process, count: processes / 2, down: ms / 2 },
        6 | 7 => Fault::TableLink { process, mode: proxy_mode(random), ms },
        8 | 9 => Fault::PeerLinks { process, mode: proxy_mode(random), ms },
        10 => Fault::TableService { fault: table_fault(random), ms },
        11 => Fault::Compact,
        12 => Fault::RestartWorker { worker: random.random_range(0..workers), down: ms },
        _ => Fault::RotateKey,
    }
}

fn proxy_mode(random: &mut StdRng) -> Mode {
    match random.random_range(0..4) {
        0 => Mode::Delay(random.random_range(20..300)),
        1 => Mode::Silent,
        2 => Mode::OneWay,
        _ => Mode::Reset,
    }
}

fn table_fault(random: &mut StdRng) -> TableFault {
    match random.random_range(0..5) {
        0 => TableFault::Refusing,
        1 => TableFault::Unresponsive,
        2 => TableFault::Slow(random.random_range(50..250)),
        3 => TableFault::RepliesLost,
        _ => TableFault::RepliesLostWritesDelayed,
    }
}
