//! Room that is being made at a worker that refuses a start meanwhile.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Config, Task, Team};
use quincewheel_wire::{Notice, Refused};

// Symptom: work of two workers is stopped for a step that needs one. Sequence: both workers
// are nearly full; work at one is being stopped for a guaranteed step; that worker refuses a
// start of another job, and is left alone for 50 ms. Cause: a worker that is left alone is no
// place, not even for the room that is being made there, so that room counts as void at once
// and is made once more elsewhere.
#[test]
fn a_refusal_does_not_make_room_twice() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let team = Team { name: "t".into(), guaranteed: 8 };
    let teams = [("t".to_owned(), team)].into();
    harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
    for number in 0..2 {
        let name = format!("low{number}");
        harness.owner.job(&name, job(1, vec![step(1, 6)]), 150 + number, None);
        harness.report_status(number, &[run(low(number), 1)], &[]);
        harness.advance(200);
    }
    harness.owner.job("tiny", job(1, vec![step(2, 2)]), 160, None);
    harness.tick();
    harness.owner.job("high", job(0, vec![step(1, 6)]), 200, None);
    harness.tick();
    let made = harness.take_orders();
    harness.deliver(1, Notice::Unstarted { task: task("tiny", 0, 1), run: 1, why: Refused::Busy });
    harness.advance(100);
    let stops = |told: &str| {
        let stops: Vec<&str> = told.lines().filter(|line| line.contains("stop")).collect();
        stops.join(", ")
    };
    let (first, then) = (stops(&made), stops(&harness.take_orders()));
    assert_snapshot!(format!("{first}; refused: {then}"), @"w1 stop low1.0.0.0 run 1; refused: ");
}

fn low(number: u64) -> Task {
    task(&format!("low{number}"), 0, 0)
}
