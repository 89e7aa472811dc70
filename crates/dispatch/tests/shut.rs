//! Room that is being made at a worker that refuses a start meanwhile.

mod bed;

use bed::{Bed, job, run, step, task};
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
    let mut bed = Bed::open(1, 2).idle(2);
    let team = Team { name: "t".into(), guaranteed: 8 };
    let teams = [("t".to_owned(), team)].into();
    bed.owner.configure(&Config { version: 1, teams, ..Config::default() });
    for number in 0..2 {
        let name = format!("low{number}");
        bed.owner.add_job(&name, job(1, vec![step(1, 6)]), 150 + number, None);
        bed.status(number, &[run(low(number), 1)], &[]);
        bed.pass(200);
    }
    bed.owner.add_job("tiny", job(1, vec![step(2, 2)]), 160, None);
    bed.step();
    bed.owner.add_job("high", job(0, vec![step(1, 6)]), 200, None);
    bed.step();
    let made = bed.told();
    bed.notice(1, Notice::Unstarted { task: task("tiny", 0, 1), run: 1, why: Refused::Busy });
    bed.pass(100);
    let stops = |told: &str| {
        let stops: Vec<&str> = told.lines().filter(|line| line.contains("stop")).collect();
        stops.join(", ")
    };
    let (first, then) = (stops(&made), stops(&bed.told()));
    assert_snapshot!(format!("{first}; refused: {then}"), @"w1 stop low1.0.0.0 run 1; refused: ");
}

fn low(number: u64) -> Task {
    task(&format!("low{number}"), 0, 0)
}
