//! Workers that fail all that they start, beside tasks that fail by themselves.

mod bed;

use bed::{Bed, end, job, step, task};
use insta::assert_snapshot;
use quincewheel_job::How;
use quincewheel_wire::Notice;

/// Ends the run of a job's only task at w0 as failed.
fn fail(bed: &mut Bed, number: u64, name: &str, run: u64) {
    bed.status(0, &[], &[end(number, task(name, 0, 0), run, How::Failed)]);
}

fn ping(bed: &mut Bed, agents: u64) {
    for number in 0..agents {
        bed.notice(number, Notice::Ping { stamp: bed.now, silent: 0 });
    }
}

// Symptom: jobs fail within a second though they could be done. Sequence: a worker fails
// all that it starts; the pool is full, so the place that a failed task left is the only
// one; the task starts there again until its attempts are gone. Cause: such a worker was
// the last choice, and there was no other.
#[test]
fn a_task_does_not_return_to_the_worker_at_which_it_failed() {
    let mut bed = Bed::open(1, 2).idle(2);
    for (number, name) in [(150, "a"), (151, "b")] {
        bed.owner.add_job(name, job(1, vec![step(1, 8)]), number, None);
        bed.step();
    }
    bed.told();
    fail(&mut bed, 1, "a", 1);
    let at_once = bed.told();
    bed.status(1, &[], &[end(1, task("b", 0, 0), 1, How::Done)]);
    assert_snapshot!(format!("{at_once}\n-- another is free\n{}", bed.told()), @r"
    nothing
    -- another is free
    w1 start a.0.0.0 run 2
    ");
}

#[test]
fn a_worker_at_which_several_jobs_fail_is_closed_for_a_while() {
    let mut bed = Bed::open(1, 1).idle(1);
    let mut told = Vec::new();
    for (number, name) in [(1, "a"), (2, "b"), (3, "c"), (4, "d")] {
        bed.owner.add_job(name, job(1, vec![step(1, 8)]), 150 + number, None);
        bed.step();
        told.push(format!("{name}: {}", bed.told()));
        if number < 4 {
            fail(&mut bed, number, name, 1);
            bed.owner.cancel(name, bed.now);
            bed.told();
        }
    }
    for _ in 0..3 {
        bed.pass(1000);
        ping(&mut bed, 1);
    }
    told.push(format!("after 3 s: {}", bed.told()));
    assert_snapshot!(told.join("\n"), @r"
    a: w0 start a.0.0.0 run 1 
    b: w0 start b.0.0.0 run 1 
    c: w0 start c.0.0.0 run 1 
    d: nothing
    after 3 s: w0 start d.0.0.0 run 1
    ");
}

#[test]
fn a_job_that_fails_everywhere_closes_no_worker() {
    let mut bed = Bed::open(1, 1).idle(1);
    let mut hopeless = job(1, vec![step(1, 8)]);
    hopeless.queue.attempts = 9;
    bed.owner.add_job("a", hopeless, 150, None);
    bed.step();
    for number in 1..=4 {
        fail(&mut bed, number, "a", number);
    }
    bed.owner.cancel("a", bed.now);
    bed.told();
    bed.owner.add_job("b", job(1, vec![step(1, 8)]), 151, None);
    bed.step();
    assert_snapshot!(bed.told(), @"w0 start b.0.0.0 run 1");
}

// Symptom: a task waits for ever. Sequence: it failed at the only worker that has the
// label it needs. Cause: it never returned there.
#[test]
fn a_task_returns_after_a_while_where_no_other_worker_may_run_it() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    bed.step();
    bed.told();
    fail(&mut bed, 1, "a", 1);
    let at_once = bed.told();
    for _ in 0..3 {
        bed.pass(1000);
        ping(&mut bed, 1);
    }
    assert_snapshot!(format!("{at_once}\n-- 3 s\n{}", bed.told()), @r"
    nothing
    -- 3 s
    w0 start a.0.0.0 run 2
    ");
}
