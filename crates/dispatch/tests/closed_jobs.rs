//! Ended jobs leave the owner's memory.

mod harness;

use harness::{Harness, end, job, run, step, task};
use quincewheel_job::How;

// Guards against ended jobs that stay in memory for good: the last run of a cancelled job ended while a
// batch without the job was being recorded.
#[test]
fn a_job_whose_last_run_ends_during_a_write_is_closed() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.record();
    harness.owner.cancel("a", harness.now);
    harness.tick();
    harness.record();
    let batch = harness.owner.next_batch().expect("no batch is in flight");
    harness.report_status(0, &[], &[end(1, task("a", 0, 0), 1, How::Stopped)]);
    harness.owner.on_recorded(&batch, true);
    harness.record();
    harness.advance_with_pings(1000, 1);
    harness.record();
    assert_eq!(harness.owner.active_jobs(), 0);
}
