//! Agents whose rows were dropped, and that are still there.

mod bed;

use bed::{Bed, job, step};
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
    let mut bed = Bed::open(1, 1).idle(1);
    bed.step();
    bed.notice(0, Notice::Left { worker: "i0".into() });
    let gone = bed.record().gone;
    bed.told();
    // The dial that follows within 100 ms, and the worker's next life.
    bed.link(0);
    bed.status(0, &[], &[]);
    bed.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    bed.pass(1000);
    let before = bed.told();
    // Its row is read again.
    bed.owner.agent("w0", bed.now);
    bed.link(0);
    bed.status(0, &[], &[]);
    assert_snapshot!(format!("{gone:?}\n{before}\n-- announced\n{}", bed.told()), @r#"
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
    let mut bed = Bed::open(1, 1).idle(1);
    bed.step();
    bed.notice(0, Notice::Left { worker: "i0".into() });
    bed.record();
    bed.owner.agent("w0", bed.now);
    bed.owner.unlisted("w0");
    bed.told();
    bed.link(0);
    bed.status(0, &[], &[]);
    bed.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    bed.pass(1000);
    assert_snapshot!(bed.told(), @"close 0");
}
