//! What a new owner may start, and when.

mod bed;

use bed::{Bed, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_dispatch::rows::Ownership;
use quincewheel_job::How;
use quincewheel_wire::Notice;

// Symptom: a task runs twice after a change of owner, or again after it was done.
// Sequence: the new owner is connected to an agent and starts an older job before
// the agent has said what its worker runs.
// Cause: a connection alone was taken for a report.
#[test]
fn older_jobs_wait_until_every_agent_has_reported() {
    let mut bed = Bed::open(2, 2);
    bed.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    bed.link(0);
    bed.status(0, &[], &[]);
    bed.link(1);
    bed.owner.add_job("new", job(1, vec![step(1, 1)]), 150, None);
    bed.step();
    let first = bed.told();
    bed.status(1, &[run(task("old", 0, 0), 7)], &[]);
    bed.pass(100);
    assert_snapshot!(format!("{first}\n-- all reported\n{}", bed.told()), @r"
    w0 start new.0.0.0 run 1001 
    -- all reported
    nothing
    ");
}

#[test]
fn an_agent_that_stays_away_holds_older_jobs_until_its_leases_have_lapsed() {
    let mut bed = Bed::open(2, 2);
    bed.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    bed.link(0);
    bed.status(0, &[], &[]);
    for _ in 0..4 {
        bed.pass(1900);
        bed.notice(0, Notice::Ping { stamp: bed.now, silent: 0 });
    }
    let before = bed.told();
    bed.pass(200);
    assert_snapshot!(format!("{before}\n-- 7,800 ms\n{}", bed.told()), @r"
    nothing
    -- 7,800 ms
    w0 start old.0.0.0 run 1001 
    ");
}

// An agent that has just started itself does not know its worker yet, which may
// run on all the same.
#[test]
fn an_agent_that_knows_no_worker_has_not_reported() {
    let mut bed = Bed::open(2, 2);
    bed.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    bed.link(0);
    bed.status(0, &[], &[]);
    bed.link(1);
    let (running, ended) = (Vec::new(), Vec::new());
    let none = Notice::Status { stamp: 0, worker: None, fenced: false, running, ended };
    bed.notice(1, none);
    let before = bed.told();
    bed.notice(1, Notice::Left { worker: "i1".into() });
    bed.pass(100);
    assert_snapshot!(format!("{before}\n-- it has left\n{}", bed.told()), @r"
    nothing
    -- it has left
    w0 start old.0.0.0 run 1001 
    ");
}

// Symptom: after all processes were killed, older jobs stand still for 14 s. Sequence: half
// of the workers are lost for good, then all processes end; the entry that owned comes back
// and claims again. Cause: it waited for a former owner that may live on, cut off, though
// that was its own former life.
#[test]
fn an_owner_whose_former_life_owned_waits_for_no_more_than_a_lease() {
    let mut bed = Bed::open(2, 4);
    bed.owner.predecessor_ended();
    bed.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    bed.link(0);
    bed.status(0, &[], &[]);
    for _ in 0..3 {
        bed.pass(2033);
        bed.notice(0, Notice::Ping { stamp: bed.now, silent: 0 });
    }
    let before = bed.told();
    bed.pass(200);
    assert_snapshot!(format!("{before}\n-- 6,300 ms\n{}", bed.told()), @r"
    nothing
    -- 6,300 ms
    w0 start old.0.0.0 run 1001 
    ");
}

// A claim that follows another one closely cannot tell whether the owner before those two
// has ended, and must wait for it.
#[test]
fn only_an_owner_that_was_settled_vouches_for_those_before_it() {
    let row = |holder: &str, settled| Ownership {
        holder: holder.to_owned(),
        settled,
        ..Ownership::default()
    };
    let seen = [("a", true), ("a", false), ("", true), ("", false), ("b", true)];
    let ended = seen.map(|(holder, settled)| row(holder, settled).has_ended("a"));
    assert_eq!(ended, [true, false, true, false, false]);
}

#[test]
fn ends_that_a_former_owner_did_not_record_count() {
    let mut bed = Bed::open(2, 1);
    bed.owner.add_job("old", job(1, vec![step(1, 1), step(1, 1)]), 50, None);
    bed.link(0);
    bed.status(0, &[], &[end(3, task("old", 0, 0), 1, How::Done)]);
    bed.pass(100);
    let batch = bed.record();
    assert_snapshot!(format!("{}\n{} rows", bed.told(), batch.jobs.len()), @r"
    w0 start old.0.1.0 run 1001 
    w0 seen 3
    1 rows
    ");
}

// Symptom: a task runs again after it was done. Sequence: a job ends and is recorded;
// the table forgets its history, and all rows are read anew by a call that was answered
// before that record. Cause: the job's row was taken for a new job.
#[test]
fn a_job_that_ended_is_not_begun_anew_when_its_rows_are_told_again() {
    let mut bed = Bed::open(1, 1).idle(1);
    let done = job(1, vec![step(1, 1)]);
    bed.owner.add_job("a", done.clone(), 150, None);
    bed.step();
    bed.status(0, &[], &[end(1, task("a", 0, 0), 1, How::Done)]);
    bed.record();
    bed.told();
    bed.owner.add_job("a", done.clone(), 150, None);
    bed.step();
    let again = bed.told();
    bed.owner.remove_ended_jobs(&["a".to_owned()]);
    bed.owner.jobs_loaded(200);
    bed.owner.add_job("old", done.clone(), 199, None);
    bed.owner.add_job("new", done, 201, None);
    bed.step();
    assert_snapshot!(format!("{again}\n{}", bed.told()), @r"
    nothing
    w0 start new.0.0.0 run 1
    ");
}
