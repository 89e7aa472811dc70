//! What an entry may answer about a submission whose write got no answer.

use insta::assert_snapshot;
use quincewheel_dispatch::Unsettled;

// A client got the answer that its job was not accepted, and the job ran. The write gets no answer
// but takes effect; the client asks again at the same entry, which by then cannot reach the table
// and refuses. The entry had forgotten that an earlier write may have taken effect.
#[test]
fn write_without_an_answer_is_remembered_until_its_row_is_seen() {
    let mut unsettled = Unsettled::default();
    unsettled.note("a", 1000);
    unsettled.note("b", 2000);
    unsettled.settle("b");
    let held = [
        unsettled.holds("a", 1000),
        unsettled.holds("a", 100_000),
        unsettled.holds("a", 121_000),
        unsettled.holds("b", 2000),
        unsettled.holds("c", 2000),
    ];
    assert_snapshot!(format!("{held:?}"), @"[true, true, false, false, false]");
}

#[test]
fn remembered_writes_are_bounded() {
    let mut unsettled = Unsettled::default();
    for number in 0..10_001 {
        unsettled.note(&format!("{number}"), number);
    }
    let held = [unsettled.holds("0", 10_001), unsettled.holds("1", 10_001)];
    assert_snapshot!(format!("{held:?}"), @"[false, true]");
}
