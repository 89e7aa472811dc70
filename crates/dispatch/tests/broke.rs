//! Workers that broke a connection a moment ago, or that have just started, as urgent work sees them.

mod bed;

use bed::{Bed, job, step};
use insta::assert_snapshot;
use quincewheel_job::{Step, Worker};
use quincewheel_wire::Notice;

// Load: urgent gangs come while workers go down and up by turns. Symptom: each gang has a member at a
// worker whose connections have just broken, waits for it for seconds, and begins anew elsewhere. Cause:
// a worker was taken for silent only after 3 s.
#[test]
fn a_worker_that_broke_its_connections_takes_nothing_until_it_answers() {
    let mut bed = Bed::open(1, 3).idle(3);
    let worker = bed::worker(0).incarnation();
    bed.notice(0, Notice::Broke { worker, starts: Vec::new() });
    let gang = |count| Step { gang: true, ..step(count, 8) };
    bed.owner.add_job("two", job(0, vec![gang(2)]), 150, None);
    bed.owner.add_job("one", job(0, vec![gang(1)]), 151, None);
    bed.step();
    let broken = bed.told();
    bed.status(0, &[], &[]);
    assert_snapshot!(format!("{broken}\n-- it answers\n{}", bed.told()), @r"
    w1 start two.0.0.0 run 1 
    w2 start two.0.0.1 run 1 
    -- it answers
    w0 start one.0.0.0 run 1
    ");
}

// Load: a zone is taken back with all its workers cold. Symptom: urgent work starts at workers that are
// slow, beside others that are not.
#[test]
fn a_worker_that_is_slow_after_its_start_is_the_last_choice() {
    let mut bed = Bed::open(1, 2).idle(2);
    let cold = |cold| Worker { cold, ..bed::worker(0) };
    let report = |bed: &mut Bed, worker| {
        let (stamp, running, ended) = (bed.now, Vec::new(), Vec::new());
        let worker = Some(worker);
        bed.notice(0, Notice::Status { stamp, worker, fenced: true, running, ended });
    };
    report(&mut bed, cold(800));
    bed.owner.add_job("cold", job(0, vec![step(1, 1)]), 150, None);
    bed.step();
    bed.pass(500);
    report(&mut bed, cold(800));
    bed.pass(400);
    bed.owner.add_job("warm", job(0, vec![step(1, 8)]), 151, None);
    bed.step();
    assert_snapshot!(bed.told(), @r"
    w1 start cold.0.0.0 run 1 
    w0 start warm.0.0.0 run 1
    ");
}
