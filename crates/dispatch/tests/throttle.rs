//! Tasks that serve requests, and tasks that fill the capacity those leave idle.

mod harness;

use harness::{Harness, job, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Run, Step};

fn run_with_gauge(name: &str, gauge: u64) -> Run {
    Run { percent: 100, gauge, ..harness::run(task(name, 0, 0), 1) }
}

/// Creates an owner whose one worker has a serving task with a target of 100 ms and a filling task.
fn serving_and_filling() -> Harness {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    let serves = Step { perpetual: true, target: 100, ..step(1, 1) };
    let fills = Step { fills: true, estimate: 60_000, ..step(1, 1) };
    harness.owner.add_job("serves", job(1, vec![serves]), 150, None);
    harness.owner.add_job("fills", job(2, vec![fills]), 151, None);
    harness.tick();
    harness.take_orders();
    harness
}

// A serving task was over its target for seconds, as the effect of its neighbours on it was not
// checked.
#[test]
fn filling_tasks_are_throttled_as_a_serving_task_nears_its_target() {
    let mut harness = serving_and_filling();
    let mut orders = Vec::new();
    for gauge in [40, 85, 70, 130, 130, 50, 40] {
        harness.advance(1000);
        harness.report_status(
            0,
            &[run_with_gauge("serves", gauge), run_with_gauge("fills", 1000)],
            &[],
        );
        orders.push(format!("{gauge} ms: {}", harness.take_orders()));
    }
    assert_snapshot!(orders.join("\n"), @r"
    40 ms: nothing
    85 ms: w0 pace fills.0.0.0 50
    70 ms: nothing
    130 ms: w0 pace fills.0.0.0 0
    130 ms: w0 pace fills.0.0.0 0
    50 ms: w0 pace fills.0.0.0 10
    40 ms: w0 pace fills.0.0.0 20
    ");
}

// Too many tasks of a perpetual step were missing at once: two urgent jobs come, and each preempts
// tasks of the step. Only the lost work was weighed.
#[test]
fn no_more_tasks_of_a_perpetual_step_are_preempted_than_may_be_missing() {
    let mut harness = Harness::new(1, 3).with_idle_workers(3);
    let perpetual = Step { perpetual: true, may_miss: 1, ..step(3, 8) };
    harness.owner.add_job("lasts", job(1, vec![perpetual]), 150, None);
    harness.tick();
    let serving = |index| Run { percent: 100, ..harness::run(task("lasts", 0, index), 1) };
    for number in 0..3u32 {
        harness.report_status(u64::from(number), &[serving(number)], &[]);
    }
    harness.take_orders();
    let urgent_job = |now| {
        let mut job = job(0, vec![step(1, 8)]);
        job.queue.stretch = 1.5;
        job.queue.slack = 2500;
        quincewheel_job::Job { accepted: now, ..job }
    };
    let mut orders = Vec::new();
    for (number, name) in [(200, "u"), (201, "v")] {
        harness.owner.add_job(name, urgent_job(harness.now), number, None);
        harness.tick();
        orders.push(format!("{name}: {}", harness.take_orders()));
    }
    assert_snapshot!(orders.join("\n"), @r"
    u: w0 stop lasts.0.0.0 run 1
    v: nothing
    ");
}
