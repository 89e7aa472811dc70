//! Workers that end, with work that goes on elsewhere.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_wire::Notice;

// Symptom: work stands still for a lease after a worker has left in good order, beside
// idle workers. Sequence: a worker says that it ends while it runs something, and
// the owner did not know it as draining; its agent
// tells that, and then that it knows no worker. Cause: the owner decides between the two,
// and the worker that has just left has the most room.
#[test]
fn what_ran_at_a_worker_that_left_starts_elsewhere_at_once() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.tick();
    let began = harness.take_orders();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.advance(1000);
    // As `Runner::leave` tells it: two notices, each followed by a round of decisions.
    harness.deliver(0, Notice::Left { worker: "i0".into() });
    let (running, ended) = (Vec::new(), Vec::new());
    harness.deliver(
        0,
        Notice::Status { stamp: harness.now, worker: None, fenced: false, running, ended },
    );
    for _ in 0..6 {
        harness.advance(500);
        for link in 0..2 {
            harness.deliver(link, Notice::Ping { stamp: harness.now, silent: 0 });
        }
    }
    assert_snapshot!(format!("{began}\n-- left, 3 s pass\n{}", harness.take_orders()), @r"
    w0 start a.0.0.0 run 1 
    -- left, 3 s pass
    w1 start a.0.0.0 run 2 
    ");
}
