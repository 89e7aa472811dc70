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
    bed.owner.loaded(100);
    let row = job(1, vec![step(1, 1)]);
    for version in [150, 150, 90] {
        bed.owner.job("a", row.clone(), version, None);
        bed.step();
    }
    bed.owner.cancel("a", bed.now);
    bed.owner.job("a", row, 150, None);
    bed.step();
    assert_snapshot!(bed.told());
}
