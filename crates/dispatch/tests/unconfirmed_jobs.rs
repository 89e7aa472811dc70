//! Jobs that an entry sends to the owner directly, ahead of the table's feed.

mod harness;

use harness::{Harness, job, step};
use insta::assert_snapshot;
use quincewheel_dispatch::UnconfirmedJobs;

// A task started twice, milliseconds apart. An owner is cut off from the table; another entry
// claims, and a job is stored after that; the entry that stored it sends it to the previous owner,
// which still decides. Unlike the feed, a job that is sent directly does not show the claims before
// it.
#[test]
fn job_sent_directly_is_released_only_by_a_later_write_of_this_owner() {
    let mut unproven = UnconfirmedJobs::default();
    unproven.add("a", 7);
    unproven.add("b", 9);
    let mut released = Vec::new();
    for version in [6, 7, 8, 8, 12] {
        released.push(format!("write {version}: {:?}", unproven.confirm(version)));
    }
    // The write after the claim of another does not succeed.
    unproven.add("c", 13);
    unproven.clear();
    released.push(format!(
        "after a claim: {:?}, empty {}",
        unproven.confirm(20),
        unproven.is_empty()
    ));
    assert_snapshot!(released.join("\n"));
}

// A job started again after its end. The entry's message and the feed both deliver it, in either
// order, or the message arrives after its end; received twice, it would be two jobs.
#[test]
fn job_received_twice_or_late_is_one_job() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.jobs_loaded(100);
    let row = job(1, vec![step(1, 1)]);
    for version in [150, 150, 90] {
        harness.owner.add_job("a", row.clone(), version, None);
        harness.tick();
    }
    harness.owner.cancel("a", harness.now);
    harness.owner.add_job("a", row, 150, None);
    harness.tick();
    assert_snapshot!(harness.take_orders());
}

// Load: urgent jobs have a quarter of a second of slack, and the table takes 200 ms for a write.
// Each of them waited for a write of the owner later than its row, as only such a write showed that
// no other entry owns; an owner is also certain of that for a while after each write.
#[test]
fn owner_is_certain_of_its_ownership_for_500_ms_after_a_write() {
    let mut harness = Harness::new(1, 1);
    let after_claim = harness.owner.holds_ownership(harness.now);
    harness.owner.renew_ownership(harness.now);
    let after_write: Vec<bool> =
        [0, 400, 499, 500, 5000].map(|ms| harness.owner.holds_ownership(harness.now + ms)).to_vec();
    harness.owner.renew_ownership(harness.now - 300);
    let older_write = harness.owner.holds_ownership(harness.now + 300);
    assert_snapshot!(format!("{after_claim} {after_write:?} {older_write}"), @r"
    false [true, true, true, false, false] true
    ");
}
