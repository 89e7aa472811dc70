//! Workers that fail whatever they start, and tasks that fail at any worker.

mod harness;

use harness::{Harness, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_dispatch::Settings;
use quincewheel_job::How;
use quincewheel_wire::Notice;

/// Reports the run of a job's only task at w0 as failed.
fn report_failure(harness: &mut Harness, number: u64, name: &str, run: u64) {
    harness.report_status(0, &[], &[end(number, task(name, 0, 0), run, How::Failed)]);
}

/// An owner whose workers are idle, and for which failures count against workers for 10 s.
fn doubting_owner(workers: u64) -> Harness {
    let mut harness = Harness::new(1, workers);
    harness.owner.update_settings(Settings { doubt: 10_000, ..Settings::default() });
    harness.with_idle_workers(workers)
}

/// Sends a ping of each of the first agents.
fn ping_all(harness: &mut Harness, agents: u64) {
    for number in 0..agents {
        harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
    }
}

// Jobs failed within a second though they could be done. A worker fails whatever it starts, and the
// pool is full, so the place that a failed task left is the only free one; the task starts there
// again until its attempts are used up. Such a worker was the last choice, but there was no other.
#[test]
fn failed_task_does_not_return_to_the_worker_at_which_it_failed() {
    let mut harness = doubting_owner(2);
    for (number, name) in [(150, "a"), (151, "b")] {
        harness.owner.add_job(name, job(1, vec![step(1, 8)]), number, None);
        harness.tick();
    }
    harness.take_orders();
    report_failure(&mut harness, 1, "a", 1);
    let at_once = harness.take_orders();
    harness.report_status(1, &[], &[end(1, task("b", 0, 0), 1, How::Done)]);
    assert_snapshot!(format!("{at_once}\n-- another is free\n{}", harness.take_orders()), @r"
    nothing
    -- another is free
    w1 start a.0.0.0 run 2
    ");
}

// A worker that fails whatever it starts was closed for 3 s after three failures of two jobs, and
// then took a full load again. It now takes one task at a time, with a growing backoff, from the
// first run that fails at once.
#[test]
fn worker_at_which_several_jobs_fail_is_closed_for_a_while() {
    let mut harness = doubting_owner(2);
    // Half of the pool is in use: below that, an idle job does not wait for the end of a backoff.
    for (name, version) in [("first", 148), ("busy", 149)] {
        harness.owner.add_job(name, job(1, vec![step(1, 8)]), version, None);
        harness.tick();
    }
    harness.report_status(1, &[run(task("busy", 0, 0), 1)], &[]);
    harness.owner.cancel("first", harness.now);
    harness.deliver(0, Notice::Stopped { task: task("first", 0, 0), run: 1 });
    harness.take_orders();
    let mut orders = Vec::new();
    for (number, name) in [(1, "a"), (2, "b"), (3, "c"), (4, "d")] {
        harness.owner.add_job(name, job(1, vec![step(4, 1)]), 150 + number, None);
        harness.tick();
        let added_at = harness.now;
        while harness.now < added_at + 9000 && harness.orders.is_empty() {
            harness.advance(100);
            ping_all(&mut harness, 2);
        }
        let waited = harness.now - added_at;
        let started = harness.take_orders().replace('\n', ", ");
        orders.push(format!("after {waited} ms: {started}"));
        report_failure(&mut harness, number, name, 1);
        harness.owner.cancel(name, harness.now);
        for index in 1..4 {
            harness.deliver(0, Notice::Stopped { task: task(name, 0, index), run: 1 });
        }
        harness.take_orders();
    }
    assert_snapshot!(orders.join("\n"), @r"
    after 0 ms: w0 start a.0.0.0 run 1 , w0 start a.0.0.1 run 1 , w0 start a.0.0.2 run 1 , w0 start a.0.0.3 run 1 
    after 1000 ms: w0 start b.0.0.0 run 1 
    after 2000 ms: w0 start c.0.0.0 run 1 
    after 4000 ms: w0 start d.0.0.0 run 1
    ");
}

#[test]
fn job_that_fails_repeatedly_closes_no_worker() {
    let mut harness = doubting_owner(1);
    let mut failing = job(1, vec![step(1, 8)]);
    failing.queue.attempts = 9;
    harness.owner.add_job("a", failing, 150, None);
    harness.tick();
    for number in 1..=4 {
        // Late in the run: a worker at fault fails what it starts at once.
        harness.advance_with_pings(2600, 1);
        harness.deliver(0, Notice::Started { task: task("a", 0, 0), run: number });
        harness.advance_with_pings(600, 1);
        report_failure(&mut harness, number, "a", number);
    }
    harness.owner.cancel("a", harness.now);
    harness.take_orders();
    harness.owner.add_job("b", job(1, vec![step(1, 8)]), 151, None);
    harness.tick();
    assert_snapshot!(harness.take_orders(), @"w0 start b.0.0.0 run 1");
}

// A task waited for ever: it had failed at the only worker with the label that it needs, and never
// returned there.
#[test]
fn failed_task_returns_after_a_while_where_no_other_worker_may_run_it() {
    let mut harness = doubting_owner(1);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.take_orders();
    report_failure(&mut harness, 1, "a", 1);
    let at_once = harness.take_orders();
    for _ in 0..3 {
        harness.advance(1000);
        ping_all(&mut harness, 1);
    }
    assert_snapshot!(format!("{at_once}\n-- 3 s\n{}", harness.take_orders()), @r"
    nothing
    -- 3 s
    w0 start a.0.0.0 run 2
    ");
}
