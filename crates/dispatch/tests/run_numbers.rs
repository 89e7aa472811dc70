//! Numbers of a task's runs.

mod harness;

use harness::{Harness, end, job, run, step, task};
use quincewheel_job::{End, How, Run};
use quincewheel_wire::Notice;

// Guards against a run number that is used twice: an agent that reconnects with a list from before
// its lease ended made the owner count on from the listed run.
#[test]
fn an_older_run_that_is_listed_late_does_not_set_the_number_back() {
    let mut harness = Harness::new(1, 2);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    let first = run(task("a", 0, 0), 1);
    harness.report_status(0, std::slice::from_ref(&first), &[]);
    harness.owner.on_disconnected(0);
    harness.connect(1);
    harness.report_status(1, &[], &[]);
    for _ in 0..8 {
        harness.advance_with_pings(1000, 2);
    }
    // The end of the second run and the list of the first one are read before the owner decides.
    let ended = vec![end(1, task("a", 0, 0), 2, How::Broken)];
    harness.owner.on_notice(1, status(1, harness.now, Vec::new(), ended), harness.now);
    harness.owner.on_disconnected(1);
    harness.connect(0);
    harness.owner.on_notice(0, status(0, harness.now, vec![first], Vec::new()), harness.now);
    harness.report_status(0, &[], &[end(1, task("a", 0, 0), 1, How::Lapsed)]);
    harness.advance_with_pings(1000, 1);
    let orders = harness.take_orders();
    let starts: Vec<&str> = orders.lines().filter(|line| line.contains("start")).collect();
    assert_eq!(
        starts,
        ["w0 start a.0.0.0 run 1 ", "w1 start a.0.0.0 run 2 ", "w0 start a.0.0.0 run 3 "]
    );
}

fn status(number: u64, stamp: u64, running: Vec<Run>, ended: Vec<End>) -> Notice {
    let worker = Some(harness::worker(number));
    Notice::Status {
        stamp,
        worker,
        fenced: true,
        listed_at: Some(1),
        running,
        ended,
        truncated: false,
    }
}
