//! Workers that report themselves healthy while their runs make no progress.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Run, Step};

/// Returns the orders for a task estimated at 4 s on the first of two workers, listed each second
/// with the next of these percents.
fn orders_for_progress(percents: &[u32]) -> String {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let long = Step { estimate: 4000, ..step(1, 8) };
    harness.owner.add_job("a", job(1, vec![long]), 150, None);
    harness.tick();
    harness.take_orders();
    for &percent in percents {
        harness.advance(1000);
        harness.report_status(0, &[Run { percent, ..run(task("a", 0, 0), 1) }], &[]);
        harness.report_status(1, &[], &[]);
    }
    harness.take_orders()
}

#[test]
fn run_that_takes_twice_its_estimate_is_not_stopped() {
    assert_snapshot!(orders_for_progress(&[12, 25, 37, 50, 62, 75, 87]), @r"nothing");
}

// A job never ended though its worker reported itself healthy: the tasks at a worker stand still,
// and progress was not checked.
#[test]
fn run_without_progress_is_stopped() {
    assert_snapshot!(orders_for_progress(&[12, 25, 25, 25, 25]), @r"w0 stop a.0.0.0 run 1");
}

#[test]
fn run_that_never_makes_progress_is_stopped() {
    assert_snapshot!(orders_for_progress(&[0, 0, 0]), @r"w0 stop a.0.0.0 run 1");
}

// Most of the work of a quiet day was thrown away: a task takes several times its estimate, is
// stopped as slow, and starts again. An estimate is no more than a guess.
#[test]
fn run_that_takes_several_times_its_estimate_is_not_stopped() {
    assert_snapshot!(orders_for_progress(&[2, 5, 8, 11]), @r"nothing");
}

// Gangs were stopped shortly before their end: one member is finished and waits for a slower one,
// and its standstill was considered a fault.
#[test]
fn member_that_waits_for_its_gang_is_not_stopped() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let gang = Step { estimate: 4000, gang: true, ..step(2, 8) };
    harness.owner.add_job("a", job(1, vec![gang]), 150, None);
    harness.tick();
    harness.take_orders();
    for slow_percent in [20, 30, 40, 50, 60, 70] {
        harness.advance(1000);
        for (number, percent) in [(0, 100), (1, slow_percent)] {
            let listed = run(task("a", 0, number), 1);
            harness.report_status(u64::from(number), &[Run { percent, ..listed }], &[]);
        }
    }
    assert_snapshot!(harness.take_orders(), @"nothing");
}
