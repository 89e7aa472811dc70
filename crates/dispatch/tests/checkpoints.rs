//! Checkpoints outlive the workers that reported them.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Run, Step};

/// Sends a status of the worker whose run has this checkpoint.
fn report_checkpoint(harness: &mut Harness, saved: &str) {
    let listed = Run { saved: saved.into(), ..run(task("a", 0, 0), 1) };
    harness.report_status(0, &[listed], &[]);
}

/// Returns an owner that has received three checkpoints, and what it recorded of them.
fn owner_and_records() -> (Harness, Vec<String>) {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    let saving = Step { checkpoints: true, estimate: 9000, ..step(1, 1) };
    harness.owner.add_job("a", job(1, vec![saving]), 150, None);
    harness.tick();
    let mut records = Vec::new();
    for (ms, saved) in [(1600, "c1"), (500, "c2"), (500, "c3"), (600, "c3"), (1600, "c3")] {
        harness.advance(ms);
        report_checkpoint(&mut harness, saved);
        let batch = harness.record();
        records.push(serde_json::to_string(&batch.checkpoints).unwrap());
    }
    harness.take_orders();
    (harness, records)
}

#[test]
fn checkpoints_are_recorded_now_and_then_along_with_other_writes() {
    assert_snapshot!(owner_and_records().1.join("\n"), @r#"
    [["a",{"tasks":[[0,0,0,"c1"]]}]]
    []
    []
    [["a",{"tasks":[[0,0,0,"c3"]]}]]
    []
    "#);
}

// Jobs that save their progress started from the beginning: all machines lose power, and the
// workers restart without state. Only workers had the checkpoints.
#[test]
fn job_resumes_from_its_recorded_checkpoint_where_no_worker_has_one() {
    let mut before = Harness::new(1, 1).with_idle_workers(1);
    let saving = Step { checkpoints: true, estimate: 9000, ..step(1, 1) };
    before.owner.add_job("a", job(1, vec![saving.clone()]), 50, None);
    before.tick();
    before.advance(1600);
    report_checkpoint(&mut before, "c1");
    let batch = before.record();
    let mut harness = Harness::new(2, 1);
    harness.owner.add_job("a", job(1, vec![saving]), 50, None);
    for (id, saved) in &batch.checkpoints {
        harness.owner.restore_checkpoints(id, saved);
    }
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    assert_snapshot!(harness.take_orders(), @"w0 start a.0.0.0 run 1001 c1");
}
