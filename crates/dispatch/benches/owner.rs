//! What an owner spends at a size: on a report of one worker, on a look at what is due, and
//! on a round of decisions.
//!
//!     cargo bench -p quincewheel-dispatch --bench owner
//!
//! Workers have 8 accelerators each; all run eight tasks, and 2,000 tasks wait.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::time::{Duration, Instant};

use harness::{Harness, job, run, step};
use quincewheel_job::Run;
use quincewheel_wire::Notice;

/// Tasks of a batch job, and tasks that each worker runs.
const WIDE: u64 = 8;
/// Tasks that wait, in milliseconds' worth of nothing: jobs of 40 tasks of one accelerator.
const WAITING: u32 = 50;
/// Times that each kind of work is repeated.
const TIMES: u32 = 200;

fn main() {
    for workers in [30, 100, 300] {
        let mut harness = full(workers);
        let reports: Vec<Vec<Run>> = (0..workers).map(|number| listed(&harness, number)).collect();
        let per = |spent: Duration| spent.as_micros() as u64 / u64::from(TIMES);
        let report = time(|at| {
            let number = u64::from(at) % workers;
            harness.report_status(number, &reports[number as usize], &[]);
        });
        let ping = time(|at| {
            let notice = Notice::Ping { stamp: harness.now, silent: 0 };
            harness.deliver(u64::from(at) % workers, notice);
        });
        let round = time(|at| {
            // A job that comes makes the owner decide anew.
            harness.owner.add_job(
                &format!("n{at}"),
                job(1, vec![step(1, 8)]),
                900 + u64::from(at),
                None,
            );
            harness.tick();
        });
        println!(
            "{workers} workers: a report {} us, a ping {} us, a round {} us",
            per(report),
            per(ping),
            per(round)
        );
    }
}

/// An owner whose workers are all full, and jobs that wait.
fn full(workers: u64) -> Harness {
    let mut harness = Harness::new(1, workers).with_idle_workers(workers);
    for number in 0..workers {
        let tasks = vec![step(WIDE as u32, 1)];
        harness.owner.add_job(&format!("r{number:04}"), job(2, tasks), 150 + number, None);
    }
    harness.tick();
    for number in 0..WAITING {
        let tasks = vec![step(40, 1)];
        harness.owner.add_job(
            &format!("w{number:04}"),
            job(2, tasks),
            600 + u64::from(number),
            None,
        );
    }
    harness.tick();
    harness
}

/// What a worker runs, by the orders that its agent got.
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

fn time(mut work: impl FnMut(u32)) -> Duration {
    let began = Instant::now();
    (0..TIMES).for_each(&mut work);
    began.elapsed()
}
