//! Tasks that serve, and tasks that fill what those leave idle.

mod bed;

use bed::{Bed, job, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Run, Step};

fn listed(name: &str, gauge: u64) -> Run {
    Run { percent: 100, gauge, ..bed::run(task(name, 0, 0), 1) }
}

/// One worker with a task that serves, within 100 ms, and one that fills.
fn shared() -> Bed {
    let mut bed = Bed::open(1, 1).idle(1);
    let serves = Step { perpetual: true, target: 100, ..step(1, 1) };
    let fills = Step { fills: true, estimate: 60_000, ..step(1, 1) };
    bed.owner.add_job("serves", job(1, vec![serves]), 150, None);
    bed.owner.add_job("fills", job(2, vec![fills]), 151, None);
    bed.step();
    bed.told();
    bed
}

// Symptom: a task that serves is over its target for seconds. Cause: nobody looked at
// what its neighbours do to it.
#[test]
fn neighbours_slow_down_as_a_task_that_serves_nears_its_target_and_speed_up_again() {
    let mut bed = shared();
    let mut told = Vec::new();
    for gauge in [40, 85, 70, 130, 130, 50, 40] {
        bed.pass(1000);
        bed.status(0, &[listed("serves", gauge), listed("fills", 1000)], &[]);
        told.push(format!("{gauge} ms: {}", bed.told()));
    }
    assert_snapshot!(told.join("\n"), @r"
    40 ms: nothing
    85 ms: w0 pace fills.0.0.0 50
    70 ms: nothing
    130 ms: w0 pace fills.0.0.0 0
    130 ms: w0 pace fills.0.0.0 0
    50 ms: w0 pace fills.0.0.0 10
    40 ms: w0 pace fills.0.0.0 20
    ");
}

// Symptom: too many tasks of a step that lasts are away at once. Sequence: two urgent
// jobs come; each stops tasks of the step. Cause: only lost work was weighed.
#[test]
fn no_more_tasks_of_a_step_that_lasts_are_taken_away_than_may_be_missing() {
    let mut bed = Bed::open(1, 3).idle(3);
    let lasts = Step { perpetual: true, may_miss: 1, ..step(3, 8) };
    bed.owner.add_job("lasts", job(1, vec![lasts]), 150, None);
    bed.step();
    let at_work = |index| Run { percent: 100, ..bed::run(task("lasts", 0, index), 1) };
    for number in 0..3u32 {
        bed.status(u64::from(number), &[at_work(number)], &[]);
    }
    bed.told();
    let urgent = |now| {
        let mut job = job(0, vec![step(1, 8)]);
        job.queue.stretch = 1.5;
        job.queue.slack = 2500;
        quincewheel_job::Job { accepted: now, ..job }
    };
    let mut told = Vec::new();
    for (number, name) in [(200, "u"), (201, "v")] {
        bed.owner.add_job(name, urgent(bed.now), number, None);
        bed.step();
        told.push(format!("{name}: {}", bed.told()));
    }
    assert_snapshot!(told.join("\n"), @r"
    u: w0 stop lasts.0.0.0 run 1
    v: nothing
    ");
}
