//! Workers that shut down while their runs are needed elsewhere.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_wire::Notice;

// Work stood still for a lease after a worker had shut down in good order, beside idle workers. A
// worker that the owner did not know as draining reports that it ends while it has a run; its agent
// sends that, and then that it knows no worker. The owner decides between the two, and the worker
// that has just shut down has the most capacity.
#[test]
fn runs_of_a_worker_that_shut_down_start_elsewhere_at_once() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.tick();
    let first = harness.take_orders();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.advance(1000);
    // An agent reports a shutdown in two notices, each followed by a round of decisions.
    harness.deliver(0, Notice::Left { worker: "i0".into() });
    let (running, ended) = (Vec::new(), Vec::new());
    harness.deliver(
        0,
        Notice::Status {
            listed_at: None,
            stamp: harness.now,
            worker: None,
            fenced: false,
            running,
            ended,
            truncated: false,
        },
    );
    for _ in 0..6 {
        harness.advance(500);
        for link in 0..2 {
            harness.deliver(link, Notice::Ping { stamp: harness.now, silent: 0 });
        }
    }
    assert_snapshot!(format!("{first}\n-- left, 3 s pass\n{}", harness.take_orders()), @r"
    w0 start a.0.0.0 run 1 
    -- left, 3 s pass
    w1 start a.0.0.0 run 2 
    ");
}
