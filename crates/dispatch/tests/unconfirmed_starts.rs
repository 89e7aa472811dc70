//! When starts are given up that were ordered at agents which answer no longer.

mod harness;

use harness::{Harness, job, step, worker};
use quincewheel_wire::Notice;

/// Returns when the second run of the job `j` is ordered, while the agents of these numbers send pings.
fn next_start(harness: &mut Harness, pinging: std::ops::Range<u64>) -> u64 {
    for _ in 0..100 {
        harness.advance(100);
        for number in pinging.clone() {
            harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
        }
        if harness.take_orders().contains("start j.0.0.0") {
            return harness.now;
        }
    }
    panic!("the task is not started elsewhere");
}

// Guards against jobs that stand for a whole lease from their start at a worker whose agent had
// disappeared before, although the agent's last lease ends earlier.
#[test]
fn a_start_without_an_answer_ends_with_the_last_lease_of_its_agent() {
    let mut harness = Harness::new(1, 2).with_idle_workers(1);
    let granted = harness.now;
    harness.advance(2000);
    harness.owner.add_job("j", job(1, vec![step(1, 8)]), 200, None);
    harness.tick();
    assert_eq!(harness.take_orders(), "w0 start j.0.0.0 run 1 ");
    harness.owner.on_disconnected(0);
    harness.connect(1);
    harness.report_status(1, &[], &[]);
    assert_eq!(next_start(&mut harness, 1..2) - granted, 6200);
}

// Guards against a second run of a task: an owner that could grant no lease after its claim does not
// know when the leases of the previous owner end, which granted them until its agent followed this one.
#[test]
fn a_start_under_a_lease_of_the_previous_owner_ends_a_lease_after_its_order() {
    let mut harness = Harness::new(2, 3);
    // The table has not confirmed the ownership for 2 s, and most agents are not connected.
    harness.now += 2000;
    harness.connect(0);
    let status = Notice::Status {
        stamp: harness.now,
        worker: Some(worker(0)),
        fenced: true,
        listed_at: Some(harness.now),
        running: Vec::new(),
        ended: Vec::new(),
        truncated: false,
    };
    harness.owner.on_notice(0, status, harness.now);
    harness.owner.add_job("j", job(1, vec![step(1, 8)]), 200, None);
    harness.tick();
    assert_eq!(harness.take_orders(), "w0 start j.0.0.0 run 1001 ");
    let ordered = harness.now;
    harness.owner.on_disconnected(0);
    for number in 1..3 {
        harness.connect(number);
        harness.report_status(number, &[], &[]);
    }
    assert_eq!(next_start(&mut harness, 1..3) - ordered, 6200);
}
