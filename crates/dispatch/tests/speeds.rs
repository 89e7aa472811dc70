//! Pools in which work takes longer on some machines.

mod harness;
mod uneven;

use harness::{job, step};
use insta::assert_snapshot;
use quincewheel_job::{Job, Queue, Step};
use uneven::Fleet;

/// Every third machine takes 1.3 times as long.
fn third_slow(count: usize) -> Vec<f64> {
    (0..count).map(|number| if number % 3 == 2 { 1.3 } else { 1.0 }).collect()
}

fn with_objective(priority: u32, step: Step, stretch: f64, slack: u64) -> Job {
    let job = job(priority, vec![step]);
    let queue = Queue { name: format!("q{priority}"), stretch, slack, ..job.queue };
    Job { queue, ..job }
}

fn urgent(count: u32) -> Job {
    with_objective(0, Step { gang: true, ..step(count, 8) }, 1.5, 300)
}

fn with_slack(count: u32) -> Job {
    with_objective(2, step(count, 4), 3.0, 0)
}

/// Runs urgent gangs beside work with slack that fills the pool, and returns how many of the gangs
/// submitted after the first 20 s ended in time, of how many.
fn in_time(uneven_percent: u64) -> String {
    let mut fleet = Fleet::new(third_slow(24), uneven_percent);
    for round in 0..80 {
        if round % 6 == 0 {
            fleet.submit(&format!("s{round}"), with_slack(40), 7000);
        }
        fleet.submit(&format!("u{round:02}"), urgent(4), 2000);
        fleet.run_for(1000);
    }
    fleet.run_for(10_000);
    let measured = fleet.took.iter().filter(|(id, _)| id.as_str() >= "u20");
    let took: Vec<u64> = measured.map(|(_, ms)| *ms).collect();
    format!("{} of {}", took.iter().filter(|ms| **ms <= 3300).count(), took.len())
}

// Urgent gangs that got a slow machine after other work had been stopped for them were late.
#[test]
fn urgent_gangs_end_in_time_beside_work_with_slack() {
    assert_snapshot!([in_time(10), in_time(0)].join("; "), @"60 of 60; 41 of 60");
}
