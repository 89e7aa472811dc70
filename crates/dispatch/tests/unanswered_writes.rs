//! What an entry may answer about a submission whose write got no answer.

use insta::assert_snapshot;
use quincewheel_dispatch::UnansweredWrites;

// A client got the answer that its job was not accepted, and the job ran. The write gets no answer
// but takes effect; the client asks again at the same entry, which by then cannot reach the table
// and refuses. The entry had forgotten that an earlier write may have taken effect.
#[test]
fn write_without_an_answer_is_remembered_until_its_row_is_seen() {
    let mut unsettled = UnansweredWrites::default();
    unsettled.record("a", 1000);
    unsettled.record("b", 2000);
    unsettled.resolve("b");
    let held = [
        unsettled.contains("a", 1000),
        unsettled.contains("a", 100_000),
        unsettled.contains("a", 121_000),
        unsettled.contains("b", 2000),
        unsettled.contains("c", 2000),
    ];
    assert_snapshot!(format!("{held:?}"), @"[true, true, false, false, false]");
}

#[test]
fn remembered_writes_are_bounded() {
    let mut unsettled = UnansweredWrites::default();
    for number in 0..10_001 {
        unsettled.record(&format!("{number}"), number);
    }
    let held = [unsettled.contains("0", 10_001), unsettled.contains("1", 10_001)];
    assert_snapshot!(format!("{held:?}"), @"[false, true]");
}
