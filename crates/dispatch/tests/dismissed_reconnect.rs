//! Agents whose rows were dropped, and that are still there.

mod harness;

use harness::{Harness, job, step};
use insta::assert_snapshot;
use quincewheel_wire::Notice;

// Symptom: after a change of owner, tasks run twice. Sequence: a worker leaves, and the
// write that drops its agent's row is done; the owner closes the connection and dials at
// once, as its feed has not told it of the dropped row yet; the agent, spoken to again,
// does not announce itself when the worker's next life reports. Work starts there. A later
// owner does not know the agent, and does not wait for it. Cause: a connection makes a
// member of an agent that was dismissed.
#[test]
fn a_connection_alone_makes_no_member_of_an_agent_whose_row_is_gone() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.tick();
    harness.deliver(0, Notice::Left { worker: "i0".into() });
    let gone = harness.record().gone;
    harness.take_orders();
    // The dial that follows within 100 ms, and the worker's next life.
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    harness.owner.job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.advance(1000);
    let before = harness.take_orders();
    // Its row is read again.
    harness.owner.agent("w0", harness.now);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    assert_snapshot!(format!("{gone:?}\n{before}\n-- announced\n{}", harness.take_orders()), @r#"
    ["w0"]
    close 0
    -- announced
    w0 start a.0.0.0 run 1
    "#);
}

// Symptom: as above. Sequence: an agent announces itself while the write that drops its row
// is under way; the feed tells its row, and then that it was dropped. Cause: only rows that
// come were told to the owner, not those that go.
#[test]
fn a_row_that_was_told_and_then_dropped_makes_no_member() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.tick();
    harness.deliver(0, Notice::Left { worker: "i0".into() });
    harness.record();
    harness.owner.agent("w0", harness.now);
    harness.owner.unlisted("w0");
    harness.take_orders();
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    harness.owner.job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.advance(1000);
    assert_snapshot!(harness.take_orders(), @"close 0");
}
