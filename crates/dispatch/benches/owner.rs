//! Time that an owner spends on a worker's status, on a ping, and on a planning round, for several
//! numbers of workers.
//!
//!     cargo bench -p quincewheel-dispatch --bench owner
//!
//! Each worker has 8 accelerators and runs 8 tasks; 2,000 tasks are queued. The planning round is
//! also measured with gangs that wait, without and with claims.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::time::{Duration, Instant};

use harness::{Harness, job, run, step};
use quincewheel_dispatch::Settings;
use quincewheel_job::{Job, Run, Step};
use quincewheel_wire::Notice;

/// Tasks that each worker runs.
const TASKS_PER_WORKER: u64 = 8;
/// Queued jobs, each of 40 tasks that need one accelerator.
const QUEUED_JOBS: u32 = 50;
/// Gangs that wait and are entitled to a claim.
const WAITING_GANGS: u64 = 8;
/// Repetitions of each measurement.
const REPETITIONS: u32 = 200;

fn main() {
    for (workers, share_half_life) in [30, 100, 300].into_iter().flat_map(|n| [(n, 0), (n, 10_000)])
    {
        let mut harness = full(workers, share_half_life);
        let statuses: Vec<Vec<Run>> = (0..workers).map(|number| listed(&harness, number)).collect();
        let micros = |spent: Duration| spent.as_micros() as u64 / u64::from(REPETITIONS);
        let status = time(|at| {
            let number = u64::from(at) % workers;
            harness.report_status(number, &statuses[number as usize], &[]);
        });
        let ping = time(|at| {
            let notice = Notice::Ping { stamp: harness.now, silent: 0 };
            harness.deliver(u64::from(at) % workers, notice);
        });
        let round = time(|at| plan_for_new_job(&mut harness, at));
        let [waiting, claimed] = [0, 1].map(|claim_after| {
            let mut harness = full(workers, share_half_life);
            add_gangs(&mut harness, claim_after, share_half_life);
            time(|at| plan_for_new_job(&mut harness, at))
        });
        println!(
            "{workers} workers{}: status {} us, ping {} us, planning round {} us, with gangs {} us, \
             with claims {} us",
            if share_half_life > 0 { ", ten teams with shares" } else { "" },
            micros(status),
            micros(ping),
            micros(round),
            micros(waiting),
            micros(claimed)
        );
    }
}

/// Plans a round for a new job.
fn plan_for_new_job(harness: &mut Harness, at: u32) {
    let job = job(1, vec![step(1, 8)]);
    harness.owner.add_job(&format!("n{at}"), job, 900 + u64::from(at), None);
    harness.tick();
}

/// Adds gangs that are accepted before the queued jobs, and waits until they may claim workers if
/// they may at all.
fn add_gangs(harness: &mut Harness, claim_after: u64, share_half_life: u64) {
    let settings = Settings { claim_after, share_half_life, ..Settings::default() };
    harness.owner.update_settings(settings);
    for number in 0..WAITING_GANGS {
        let gang = Step { gang: true, same_rack: number % 2 == 0, ..step(3, 8) };
        harness.owner.add_job(&format!("g{number}"), job(1, vec![gang]), 500 + number, None);
    }
    harness.tick();
    harness.advance(2);
}

/// A test harness whose workers are all full, with queued jobs. With a half-life of usage, the jobs
/// belong to ten teams.
fn full(workers: u64, share_half_life: u64) -> Harness {
    let mut harness = Harness::new(1, workers).with_idle_workers(workers);
    harness.owner.update_settings(Settings { share_half_life, ..Settings::default() });
    let job = |number: u64, tasks| {
        let team = if share_half_life > 0 { format!("t{}", number % 10) } else { "t".into() };
        Job { team, ..job(2, tasks) }
    };
    for number in 0..workers {
        let tasks = vec![step(TASKS_PER_WORKER as u32, 1)];
        harness.owner.add_job(&format!("r{number:04}"), job(number, tasks), 150 + number, None);
    }
    harness.tick();
    for number in 0..QUEUED_JOBS {
        let tasks = vec![step(40, 1)];
        harness.owner.add_job(
            &format!("w{number:04}"),
            job(number.into(), tasks),
            600 + u64::from(number),
            None,
        );
    }
    harness.tick();
    harness
}

/// The runs of a worker, from the start orders that its agent received.
fn listed(harness: &Harness, number: u64) -> Vec<Run> {
    let mine = format!("w{number} start ");
    let orders = harness.orders.iter().filter_map(|line| line.strip_prefix(&mine));
    let task = |order: &str| {
        let (name, rest) = order.split_once(" run ")?;
        let (job, rest) = (name.split('.').next()?, rest.split(' ').next()?);
        let index = name.rsplit('.').next()?.parse().ok()?;
        Some(run(harness::task(job, 0, index), rest.parse().ok()?))
    };
    orders.filter_map(task).collect()
}

/// The time that all repetitions of the work take.
fn time(mut work: impl FnMut(u32)) -> Duration {
    let started = Instant::now();
    (0..REPETITIONS).for_each(&mut work);
    started.elapsed()
}
