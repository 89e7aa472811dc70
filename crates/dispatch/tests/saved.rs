//! Checkpoints outlive the workers that told them.

mod bed;

use bed::{Bed, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Run, Step};

fn listed(bed: &mut Bed, saved: &str) {
    let listed = Run { saved: saved.into(), ..run(task("a", 0, 0), 1) };
    bed.status(0, &[listed], &[]);
}

/// An owner that has heard three checkpoints, and its records.
fn played() -> (Bed, Vec<String>) {
    let mut bed = Bed::open(1, 1).idle(1);
    let saving = Step { checkpoints: true, estimate: 9000, ..step(1, 1) };
    bed.owner.add_job("a", job(1, vec![saving]), 150, None);
    bed.step();
    let mut told = Vec::new();
    for (ms, saved) in [(1600, "c1"), (500, "c2"), (500, "c3"), (600, "c3"), (1600, "c3")] {
        bed.pass(ms);
        listed(&mut bed, saved);
        let batch = bed.record();
        told.push(serde_json::to_string(&batch.saved).unwrap());
    }
    bed.told();
    (bed, told)
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
    let mut before = Bed::open(1, 1).idle(1);
    let saving = Step { checkpoints: true, estimate: 9000, ..step(1, 1) };
    before.owner.add_job("a", job(1, vec![saving.clone()]), 50, None);
    before.step();
    before.pass(1600);
    listed(&mut before, "c1");
    let batch = before.record();
    let mut bed = Bed::open(2, 1);
    bed.owner.add_job("a", job(1, vec![saving]), 50, None);
    for (id, saved) in &batch.saved {
        bed.owner.restore_checkpoints(id, saved);
    }
    bed.link(0);
    bed.status(0, &[], &[]);
    assert_snapshot!(bed.told(), @"w0 start a.0.0.0 run 1001 c1");
}
