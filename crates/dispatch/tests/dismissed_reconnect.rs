//! Agents whose rows were dropped and that are still running.

mod harness;

use harness::{Harness, job, step};
use insta::assert_snapshot;
use quincewheel_wire::Notice;

// Tasks ran twice after a change of owner. A worker shuts down, and the write that drops its
// agent's row takes effect; the owner closes the connection and dials again at once, as the feed
// has not delivered the drop yet; the agent, in contact again, does not register when the worker's
// next incarnation reports. Work starts there, and a later owner does not know the agent and does
// not wait for it. A connection made a member of an agent that had been dismissed.
#[test]
fn connection_alone_makes_no_member_of_a_dismissed_agent() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.tick();
    harness.deliver(0, Notice::Left { worker: "i0".into() });
    let dropped = harness.record().departed;
    harness.take_orders();
    // The owner dials again within 100 ms, and the worker's next incarnation reports.
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    harness.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.advance(1000);
    let before = harness.take_orders();
    // The agent registers, and its row is read.
    harness.owner.add_agent("w0", harness.now);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    assert_snapshot!(format!("{dropped:?}\n{before}\n-- announced\n{}", harness.take_orders()), @r#"
    ["w0"]
    close 0
    -- announced
    w0 start a.0.0.0 run 1
    "#);
}

// The same, where an agent registers while the write that drops its row is in flight: the feed
// delivers its row, and then the drop. Only new rows were passed to the owner, not dropped ones.
#[test]
fn row_delivered_and_then_dropped_makes_no_member() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.tick();
    harness.deliver(0, Notice::Left { worker: "i0".into() });
    harness.record();
    harness.owner.add_agent("w0", harness.now);
    harness.owner.on_row_removed("w0");
    harness.take_orders();
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    harness.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.advance(1000);
    assert_snapshot!(harness.take_orders(), @"close 0");
}
