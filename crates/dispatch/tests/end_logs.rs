//! Log lines about ends of runs that the owner did not expect, and about runs that it takes for over.

mod harness;

use harness::{Harness, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::How;

// Guards against an end that vanishes without a line: it is acknowledged, and its task may run again.
#[test]
fn an_end_of_an_unknown_job_is_logged() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.logged_events = vec!["end of unknown job"];
    harness.report_status(0, &[], &[end(1, task("a", 0, 0), 1, How::Done)]);
    harness.report_status(0, &[], &[end(1, task("a", 0, 0), 1, How::Done)]);
    assert_snapshot!(harness.take_logs(), @"end of unknown job a: a.0.0.0 run 1 Done at w0");
}

// Guards against a task that started twice without a line that names both runs, and tells whether
// the lease of the first had ended.
#[test]
fn a_run_that_was_done_before_a_later_one_started_is_logged() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.logged_events = vec!["run lapsed", "done before restart"];
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.owner.on_disconnected(0);
    for _ in 0..70 {
        harness.now += 100;
        harness.report_status(1, &[], &[]);
    }
    harness.connect(0);
    harness.report_status(0, &[], &[end(1, task("a", 0, 0), 1, How::Done)]);
    assert_snapshot!(harness.take_logs(), @r"
    run lapsed a: (0, 0, 0) at w0; silent for 0 ms, lease for 0 ms
    done before restart a: a.0.0.0 run 1 at w0, run 2 at w1 was started
    ");
}
