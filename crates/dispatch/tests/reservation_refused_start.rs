//! Capacity that is being freed at a worker which refuses another start meanwhile.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Config, Task, Team};
use quincewheel_wire::{Notice, Refused};

// Work of two workers was stopped for a step that needs one. Both workers are nearly full; work at
// one is being stopped for a guaranteed step; that worker refuses a start of another job and is
// avoided for 50 ms. A worker that is avoided is no candidate, not even for the capacity that is
// being freed there, so that reservation counted as void at once and was made again elsewhere.
#[test]
fn refusal_does_not_free_capacity_twice() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let team = Team { name: "t".into(), guaranteed: 8, ..Team::default() };
    let teams = [("t".to_owned(), team)].into();
    harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
    for number in 0..2 {
        let name = format!("low{number}");
        harness.owner.add_job(&name, job(1, vec![step(1, 6)]), 150 + number, None);
        harness.report_status(number, &[run(low_task(number), 1)], &[]);
        harness.advance(200);
    }
    harness.owner.add_job("tiny", job(1, vec![step(2, 2)]), 160, None);
    harness.tick();
    harness.owner.add_job("high", job(0, vec![step(1, 6)]), 200, None);
    harness.tick();
    let made = harness.take_orders();
    harness.deliver(1, Notice::Unstarted { task: task("tiny", 0, 1), run: 1, why: Refused::Busy });
    harness.advance(100);
    let stops = |orders: &str| {
        let stops: Vec<&str> = orders.lines().filter(|line| line.contains("stop")).collect();
        stops.join(", ")
    };
    let (first, after_refusal) = (stops(&made), stops(&harness.take_orders()));
    assert_snapshot!(format!("{first}; refused: {after_refusal}"), @"w1 stop low1.0.0.0 run 1; refused: ");
}

fn low_task(number: u64) -> Task {
    task(&format!("low{number}"), 0, 0)
}
