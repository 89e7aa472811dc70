//! Workers whose capacity changes, or is used by runs that no job waits for.

mod harness;

use harness::{Harness, job, run, step, task, worker};
use insta::assert_snapshot;
use quincewheel_job::{Resources, Run, Worker};
use quincewheel_wire::Notice;

/// Sends a status of the worker with this number of accelerators.
fn report_accelerators(harness: &mut Harness, accelerators: u64, running: &[Run]) {
    let capacity = Resources { accelerators, ..worker(0).capacity };
    let worker = Some(Worker { capacity, ..worker(0) });
    let (stamp, running, ended) = (harness.now, running.to_vec(), Vec::new());
    harness.deliver(
        0,
        Notice::Status {
            listed_at: None,
            stamp,
            worker,
            fenced: true,
            running,
            ended,
            truncated: false,
        },
    );
}

// Work waited beside a worker that had capacity again: its capacity shrinks and grows, and nothing
// else happens. Only ends and new workers caused a round of decisions.
#[test]
fn capacity_that_grows_again_is_used_at_once() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    report_accelerators(&mut harness, 2, &[]);
    harness.owner.add_job("a", job(1, vec![step(1, 4)]), 150, None);
    harness.tick();
    let shrunk = harness.take_orders();
    report_accelerators(&mut harness, 8, &[]);
    assert_snapshot!(format!("{shrunk}\n{}", harness.take_orders()), @r"
    nothing
    w0 start a.0.0.0 run 1
    ");
}

// The runs of a worker may need more than its capacity is now; nothing is added until enough of
// them have ended.
#[test]
fn nothing_starts_at_a_worker_that_has_shrunk_below_its_runs() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(2, 3)]), 150, None);
    harness.tick();
    let runs = [run(task("a", 0, 0), 1), run(task("a", 0, 1), 1)];
    harness.take_orders();
    report_accelerators(&mut harness, 4, &runs);
    harness.owner.add_job("b", job(1, vec![step(1, 1)]), 151, None);
    harness.tick();
    let before_end = harness.take_orders();
    let ended = [harness::end(1, task("a", 0, 0), 1, quincewheel_job::How::Done)];
    let (stamp, worker) = (
        harness.now,
        Some(Worker { capacity: Resources { accelerators: 4, ..worker(0).capacity }, ..worker(0) }),
    );
    let (running, ended) = (runs[1..].to_vec(), ended.to_vec());
    harness.deliver(
        0,
        Notice::Status {
            listed_at: None,
            stamp,
            worker,
            fenced: true,
            running,
            ended,
            truncated: false,
        },
    );
    assert_snapshot!(format!("{before_end}\n{}", harness.take_orders()), @r"
    nothing
    w0 start b.0.0.0 run 1
    ");
}

// A worker that does not check its capacity got more work than it can hold. It lists an orphaned
// run (its job has ended, or a later run of the task exists elsewhere), which is stopped; before
// the stop has taken effect its capacity was given away, since only runs that a job waits for were
// counted.
#[test]
fn capacity_of_an_orphaned_run_is_free_only_once_the_run_is_gone() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.report_status(0, &[run(task("unknown", 0, 0), 7)], &[]);
    harness.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.tick();
    let stopping = harness.take_orders();
    harness.report_status(0, &[], &[]);
    assert_snapshot!(format!("{stopping}\n-- gone\n{}", harness.take_orders()), @r"
    w0 stop unknown.0.0.0 run 7
    -- gone
    w0 start a.0.0.0 run 1
    ");
}
