//! Workers that have just broken a connection or have just started, as urgent work sees them.

mod harness;

use harness::{Harness, job, step};
use insta::assert_snapshot;
use quincewheel_job::{Step, Worker};
use quincewheel_wire::Notice;

// Load: urgent gangs come while workers go down and up in turn. Each gang had a member at a worker
// whose connections had just broken, waited for it for seconds, and started again elsewhere, as a
// worker was considered silent only after 3 s.
#[test]
fn worker_that_broke_its_connections_gets_nothing_until_it_answers() {
    let mut harness = Harness::new(1, 3).with_idle_workers(3);
    let worker = harness::worker(0).incarnation();
    harness.deliver(0, Notice::Broke { worker, starts: Vec::new(), possible: Vec::new() });
    let gang = |count| Step { gang: true, ..step(count, 8) };
    harness.owner.add_job("two", job(0, vec![gang(2)]), 150, None);
    harness.owner.add_job("one", job(0, vec![gang(1)]), 151, None);
    harness.tick();
    let broken = harness.take_orders();
    harness.report_status(0, &[], &[]);
    assert_snapshot!(format!("{broken}\n-- it answers\n{}", harness.take_orders()), @r"
    w1 start two.0.0.0 run 1 
    w2 start two.0.0.1 run 1 
    -- it answers
    w0 start one.0.0.0 run 1
    ");
}

// Load: the evacuation of a zone ends with all its workers cold. Urgent work started at workers
// that were slow, beside others that were not.
#[test]
fn cold_worker_is_the_last_choice() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let cold = |cold| Worker { cold, ..harness::worker(0) };
    let report_worker = |harness: &mut Harness, worker| {
        let (stamp, running, ended) = (harness.now, Vec::new(), Vec::new());
        let worker = Some(worker);
        harness.deliver(
            0,
            Notice::Status {
                listed_at: None,
                stamp,
                worker,
                fenced: true,
                running,
                ended,
                truncated: false,
            },
        );
    };
    report_worker(&mut harness, cold(800));
    harness.owner.add_job("cold", job(0, vec![step(1, 1)]), 150, None);
    harness.tick();
    harness.advance(500);
    report_worker(&mut harness, cold(800));
    harness.advance(400);
    harness.owner.add_job("warm", job(0, vec![step(1, 8)]), 151, None);
    harness.tick();
    assert_snapshot!(harness.take_orders(), @r"
    w1 start cold.0.0.0 run 1 
    w0 start warm.0.0.0 run 1
    ");
}
