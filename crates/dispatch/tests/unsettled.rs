//! What may be said of a submission whose write got no answer.

use insta::assert_snapshot;
use quincewheel_dispatch::UnansweredWrites;

// Symptom: a client is told that its job was not accepted, and the job runs.
// Sequence: the write gets no answer and takes effect all the same; the client asks
// again at the same entry, which by then cannot reach the table and refuses.
// Cause: the entry had forgotten that an earlier write may have taken effect.
#[test]
fn a_write_without_an_answer_is_remembered_until_the_row_is_seen() {
    let mut unsettled = UnansweredWrites::default();
    unsettled.record("a", 1000);
    unsettled.record("b", 2000);
    unsettled.resolve("b");
    let told = [
        unsettled.contains("a", 1000),
        unsettled.contains("a", 100_000),
        unsettled.contains("a", 121_000),
        unsettled.contains("b", 2000),
        unsettled.contains("c", 2000),
    ];
    assert_snapshot!(format!("{told:?}"), @"[true, true, false, false, false]");
}

#[test]
fn a_flood_of_them_stays_bounded() {
    let mut unsettled = UnansweredWrites::default();
    for number in 0..10_001 {
        unsettled.record(&format!("{number}"), number);
    }
    let told = [unsettled.contains("0", 10_001), unsettled.contains("1", 10_001)];
    assert_snapshot!(format!("{told:?}"), @"[false, true]");
}
