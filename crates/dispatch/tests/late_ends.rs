//! Ends that a worker lists after their runs were taken for over.

mod harness;

use harness::{Harness, end, job, run, step, task};
use quincewheel_job::{How, Job, Step};
use quincewheel_wire::Notice;

/// A step whose tasks need a whole worker of the first rack.
fn first_rack(count: u32) -> Step {
    Step { label: "r0".into(), ..step(count, 8) }
}

// The next step of a job stood beside six idle workers: the end of the step before was listed after its
// run had been taken for over, and caused no round of planning.
#[test]
fn next_step_starts_after_the_late_end_of_the_step_before() {
    let mut harness = Harness::new(1, 9).with_idle_workers(9);
    let add = |harness: &mut Harness, id: &str, version, job: Job| {
        harness.owner.add_job(id, Job { accepted: harness.now, ..job }, version, None);
        harness.tick();
    };
    add(&mut harness, "full", 150, job(1, vec![first_rack(2)]));
    let steps = vec![first_rack(1), Step { after: vec![0], ..step(1, 8) }];
    add(&mut harness, "a", 152, job(1, steps));
    add(&mut harness, "next", 151, job(0, vec![first_rack(1)]));
    harness.report_status(2, &[run(task("a", 0, 0), 1)], &[]);
    // The worker does not list the run, which is stopped, and its place is taken.
    for _ in 0..80 {
        harness.advance(100);
        for number in 0..2 {
            harness.report_status(number, &[run(task("full", 0, number as u32), 1)], &[]);
        }
        (2..9).for_each(|number| harness.report_status(number, &[], &[]));
    }
    harness.deliver(2, Notice::Stopped { task: task("a", 0, 0), run: 1 });
    let listed = [run(task("next", 0, 0), 1)];
    harness.report_status(2, &listed, &[]);
    harness.advance(500);
    harness.take_orders();
    harness.report_status(2, &listed, &[end(1, task("a", 0, 0), 1, How::Done)]);
    assert!(harness.take_orders().contains("start a.0.1.0"));
}
