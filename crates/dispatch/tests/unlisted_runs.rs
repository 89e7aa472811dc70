//! Runs that the owner assumes at workers that do not list them.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_wire::Notice;

// Jobs stood still to the end of the day with most of the workers' capacity free: the same five
// steps waited for remains of a former start throughout, and workers that the owner considered full
// were idle. A worker lists a run, and then neither the run nor an end of it; it is idle from then
// on. Unlisted runs were searched for only when a report of the worker came, and the agent of an
// idle worker has nothing to report.
#[test]
fn run_that_an_idle_worker_does_not_list_is_stopped_and_starts_again() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.advance(100);
    harness.report_status(0, &[], &[]);
    harness.take_orders();
    harness.advance_with_pings(20_000, 1);
    let stopped = harness.take_orders();
    harness.report_status(0, &[], &[]);
    harness.deliver(0, Notice::Stopped { task: task("a", 0, 0), run: 1 });
    harness.tick();
    assert_snapshot!(format!("{stopped}\n-- stopped\n{}", harness.take_orders()), @r"
    w0 stop a.0.0.0 run 1
    w0 stop a.0.0.0 run 1
    w0 stop a.0.0.0 run 1
    w0 stop a.0.0.0 run 1
    -- stopped
    w0 start a.0.0.0 run 2
    ");
}
