//! Acknowledgements of recorded ends to workers.

mod harness;

use harness::{Harness, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::How;

// Guards against ends that are never acknowledged: the connection was lost while they were recorded,
// and the worker would list them, and be polled for them, for good.
#[test]
fn an_acknowledgement_that_a_lost_connection_dropped_is_sent_again() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    let ended = [end(1, task("a", 0, 0), 1, How::Done)];
    harness.report_status(0, &[], &ended);
    harness.take_orders();
    harness.owner.on_disconnected(0);
    harness.record();
    let before = harness.take_orders();
    harness.connect(0);
    harness.report_status(0, &[], &ended);
    harness.record();
    assert_snapshot!(format!("{before}\n-- connected\n{}", harness.take_orders()), @r"
    nothing
    -- connected
    w0 seen 1
    ");
}
