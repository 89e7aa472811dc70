//! Workers that end, with work that goes on elsewhere.

mod bed;

use bed::{Bed, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_wire::Notice;

// Symptom: work stands still for a lease after a worker has left in good order, beside
// idle workers. Sequence: a worker says that it ends while it runs something, and
// the owner did not know it as draining; its agent
// tells that, and then that it knows no worker. Cause: the owner decides between the two,
// and the worker that has just left has the most room.
#[test]
fn what_ran_at_a_worker_that_left_starts_elsewhere_at_once() {
    let mut bed = Bed::open(1, 2).idle(2);
    bed.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    bed.step();
    let began = bed.told();
    bed.status(0, &[run(task("a", 0, 0), 1)], &[]);
    bed.pass(1000);
    // As `Runner::leave` tells it: two notices, each followed by a round of decisions.
    bed.notice(0, Notice::Left { worker: "i0".into() });
    let (running, ended) = (Vec::new(), Vec::new());
    bed.notice(0, Notice::Status { stamp: bed.now, worker: None, fenced: false, running, ended });
    for _ in 0..6 {
        bed.pass(500);
        for link in 0..2 {
            bed.notice(link, Notice::Ping { stamp: bed.now, silent: 0 });
        }
    }
    assert_snapshot!(format!("{began}\n-- left, 3 s pass\n{}", bed.told()), @r"
    w0 start a.0.0.0 run 1 
    -- left, 3 s pass
    w1 start a.0.0.0 run 2 
    ");
}
