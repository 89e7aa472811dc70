//! What a new owner may start, and when.

mod harness;

use harness::{Harness, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_dispatch::rows::Ownership;
use quincewheel_job::How;
use quincewheel_wire::Notice;

// A task ran twice after a change of owner, or again after it was done: the new owner is connected
// to an agent and starts an older job before the agent has reported the worker's runs. A connection
// alone counted as a report.
#[test]
fn older_jobs_wait_until_every_agent_has_reported() {
    let mut harness = Harness::new(2, 2);
    harness.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    harness.connect(1);
    harness.owner.add_job("new", job(1, vec![step(1, 1)]), 150, None);
    harness.tick();
    let first = harness.take_orders();
    harness.report_status(1, &[run(task("old", 0, 0), 7)], &[]);
    harness.advance(100);
    assert_snapshot!(format!("{first}\n-- all reported\n{}", harness.take_orders()), @r"
    w0 start new.0.0.0 run 1001 
    -- all reported
    nothing
    ");
}

#[test]
fn unconnected_agent_delays_older_jobs_until_its_leases_have_lapsed() {
    let mut harness = Harness::new(2, 2);
    harness.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    for _ in 0..4 {
        harness.advance(1900);
        harness.deliver(0, Notice::Ping { stamp: harness.now, silent: 0 });
    }
    let before = harness.take_orders();
    harness.advance(200);
    assert_snapshot!(format!("{before}\n-- 7,800 ms\n{}", harness.take_orders()), @r"
    nothing
    -- 7,800 ms
    w0 start old.0.0.0 run 1001 
    ");
}

// An agent that has just started does not know its worker yet, which may still have runs.
#[test]
fn agent_that_knows_no_worker_has_not_reported() {
    let mut harness = Harness::new(2, 2);
    harness.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    harness.connect(1);
    let (running, ended) = (Vec::new(), Vec::new());
    let no_worker = Notice::Status {
        listed_at: None,
        stamp: 0,
        worker: None,
        fenced: false,
        running,
        ended,
        truncated: false,
    };
    harness.deliver(1, no_worker);
    let before = harness.take_orders();
    harness.deliver(1, Notice::Left { worker: "i1".into() });
    harness.advance(100);
    assert_snapshot!(format!("{before}\n-- it has left\n{}", harness.take_orders()), @r"
    nothing
    -- it has left
    w0 start old.0.0.0 run 1001 
    ");
}

// After all processes were killed, older jobs stood still for 14 s. Half of the workers are lost
// for good and all processes end; the entry that owned comes back and claims again. It waited for a
// previous owner that might still be running, cut off, though that was its own previous
// incarnation.
#[test]
fn restarted_owner_waits_only_one_lease_after_its_own_ownership() {
    let mut harness = Harness::new(2, 4);
    harness.owner.predecessor_ended();
    harness.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    for _ in 0..3 {
        harness.advance(2033);
        harness.deliver(0, Notice::Ping { stamp: harness.now, silent: 0 });
    }
    let before = harness.take_orders();
    harness.advance(200);
    assert_snapshot!(format!("{before}\n-- 6,300 ms\n{}", harness.take_orders()), @r"
    nothing
    -- 6,300 ms
    w0 start old.0.0.0 run 1001 
    ");
}

// A claim that follows another one closely cannot tell whether the owner before those two has
// ended, and must wait for it.
#[test]
fn only_a_settled_owners_row_proves_that_earlier_owners_have_ended() {
    let row = |holder: &str, settled| Ownership {
        holder: holder.to_owned(),
        settled,
        ..Ownership::default()
    };
    let rows = [("a", true), ("a", false), ("", true), ("", false), ("b", true)];
    let ended = rows.map(|(holder, settled)| row(holder, settled).grants_ended("a"));
    assert_eq!(ended, [true, false, true, false, false]);
}

#[test]
fn ends_that_the_previous_owner_did_not_record_count() {
    let mut harness = Harness::new(2, 1);
    harness.owner.add_job("old", job(1, vec![step(1, 1), step(1, 1)]), 50, None);
    harness.connect(0);
    harness.report_status(0, &[], &[end(3, task("old", 0, 0), 1, How::Done)]);
    harness.advance(100);
    let batch = harness.record();
    assert_snapshot!(format!("{}\n{} rows", harness.take_orders(), batch.jobs.len()), @r"
    w0 start old.0.1.0 run 1001 
    w0 seen 3
    1 rows
    ");
}

// A task ran again after it was done. A job ends and is recorded; the table's history is compacted,
// and all rows are read again by a call that was answered before that record. The job's row was
// taken for a new job.
#[test]
fn ended_job_does_not_start_again_when_its_rows_are_read_again() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    let done = job(1, vec![step(1, 1)]);
    harness.owner.add_job("a", done.clone(), 150, None);
    harness.tick();
    harness.report_status(0, &[], &[end(1, task("a", 0, 0), 1, How::Done)]);
    harness.record();
    harness.take_orders();
    harness.owner.add_job("a", done.clone(), 150, None);
    harness.tick();
    let again = harness.take_orders();
    harness.owner.remove_ended_jobs(&["a".to_owned()]);
    harness.owner.jobs_loaded(200);
    harness.owner.add_job("old", done.clone(), 199, None);
    harness.owner.add_job("new", done, 201, None);
    harness.tick();
    assert_snapshot!(format!("{again}\n{}", harness.take_orders()), @r"
    nothing
    w0 start new.0.0.0 run 1
    ");
}
