//! Jobs that an entry tells the owner of, past the table's feed.

mod bed;

use bed::{Bed, job, step};
use insta::assert_snapshot;
use quincewheel_dispatch::Unproven;

// Symptom: a task starts twice, milliseconds apart. Sequence: an owner is cut from the
// table; another entry claims, and a job is stored after that; the entry that stored it
// tells the former owner, which still decides. Cause: a job that is told directly says
// nothing of the claims before it, as the feed does.
#[test]
fn a_told_job_is_released_only_by_a_later_write_of_this_owner() {
    let mut unproven = Unproven::default();
    unproven.add("a", 7);
    unproven.add("b", 9);
    let mut told = Vec::new();
    for version in [6, 7, 8, 8, 12] {
        told.push(format!("write {version}: {:?}", unproven.prove(version)));
    }
    // The write after the claim of another does not succeed.
    unproven.add("c", 13);
    unproven.clear();
    told.push(format!("after a claim: {:?}, empty {}", unproven.prove(20), unproven.is_empty()));
    assert_snapshot!(told.join("\n"));
}

// Symptom: a job starts again after its end. Sequence: its entry's message and the feed
// both tell it, in either order, or the message comes after its end. Cause: told twice, it
// would be two jobs.
#[test]
fn a_job_that_is_told_twice_or_late_stays_one() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.owner.jobs_loaded(100);
    let row = job(1, vec![step(1, 1)]);
    for version in [150, 150, 90] {
        bed.owner.add_job("a", row.clone(), version, None);
        bed.step();
    }
    bed.owner.cancel("a", bed.now);
    bed.owner.add_job("a", row, 150, None);
    bed.step();
    assert_snapshot!(bed.told());
}

// Load: urgent jobs have a quarter of a second to spare, and the table takes 200 ms for a write. Symptom:
// each of them waits for a write of the owner that is later than its row. Cause: that no other entry
// owns was shown by such a write only; it is also sure for a while after each.
#[test]
fn an_owner_is_sure_of_itself_for_a_while_after_a_write() {
    let mut bed = Bed::open(1, 1);
    let claimed = bed.owner.holds_ownership(bed.now);
    bed.owner.renew_ownership(bed.now);
    let told: Vec<bool> =
        [0, 400, 499, 500, 5000].map(|ms| bed.owner.holds_ownership(bed.now + ms)).to_vec();
    bed.owner.renew_ownership(bed.now - 300);
    let earlier = bed.owner.holds_ownership(bed.now + 300);
    assert_snapshot!(format!("{claimed} {told:?} {earlier}"), @r"
    false [true, true, true, false, false] true
    ");
}
