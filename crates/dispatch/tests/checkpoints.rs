//! Checkpoints outlive the workers that told them.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Run, Step};

fn listed(harness: &mut Harness, saved: &str) {
    let listed = Run { saved: saved.into(), ..run(task("a", 0, 0), 1) };
    harness.report_status(0, &[listed], &[]);
}

/// An owner that has heard three checkpoints, and its records.
fn played() -> (Harness, Vec<String>) {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    let saving = Step { checkpoints: true, estimate: 9000, ..step(1, 1) };
    harness.owner.job("a", job(1, vec![saving]), 150, None);
    harness.tick();
    let mut told = Vec::new();
    for (ms, saved) in [(1600, "c1"), (500, "c2"), (500, "c3"), (600, "c3"), (1600, "c3")] {
        harness.advance(ms);
        listed(&mut harness, saved);
        let batch = harness.record();
        told.push(serde_json::to_string(&batch.saved).unwrap());
    }
    harness.take_orders();
    (harness, told)
}

#[test]
fn checkpoints_are_recorded_once_in_a_while_along_with_other_writes() {
    assert_snapshot!(played().1.join("\n"), @r#"
    [["a",{"tasks":[[0,0,0,"c1"]]}]]
    []
    []
    [["a",{"tasks":[[0,0,0,"c3"]]}]]
    []
    "#);
}

// Symptom: jobs that save their progress begin anew. Sequence: all machines lose power;
// the workers come back without any memory. Cause: only workers had the checkpoints.
#[test]
fn a_job_goes_on_from_its_record_where_no_worker_remembers() {
    let mut before = Harness::new(1, 1).with_idle_workers(1);
    let saving = Step { checkpoints: true, estimate: 9000, ..step(1, 1) };
    before.owner.job("a", job(1, vec![saving.clone()]), 50, None);
    before.tick();
    before.advance(1600);
    listed(&mut before, "c1");
    let batch = before.record();
    let mut harness = Harness::new(2, 1);
    harness.owner.job("a", job(1, vec![saving]), 50, None);
    for (id, saved) in &batch.saved {
        harness.owner.restore(id, saved);
    }
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    assert_snapshot!(harness.take_orders(), @"w0 start a.0.0.0 run 1001 c1");
}
