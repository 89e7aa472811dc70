//! Starts that a worker refuses, again and again.

mod bed;

use bed::{Bed, job, step, task};
use insta::assert_snapshot;
use quincewheel_wire::{Notice, Refused};

/// Refuses each start at `w0` for so many milliseconds, in steps of 10, and returns when
/// they were ordered.
fn refuse(bed: &mut Bed, ms: u64) -> Vec<u64> {
    let begin = bed.now;
    let mut starts = Vec::new();
    for _ in 0..ms / 10 {
        if bed.told().contains("start") {
            starts.push(bed.now - begin);
            let (task, run) = (task("a", 0, 0), starts.len() as u64);
            bed.notice(0, Notice::Unstarted { task, run, why: Refused::Room });
        }
        bed.pass(10);
        if bed.now.is_multiple_of(1000) {
            bed.notice(0, Notice::Ping { stamp: bed.now, silent: 0 });
        }
    }
    starts
}

// Symptom: hundreds of starts a second at one worker, each refused. Sequence: the worker has
// less room than the owner believes, since a run that it was told is gone goes on there; no
// other worker suits the task. Cause: a refusal only made the worker the last choice, and the
// only one is the last as well.
#[test]
fn a_worker_that_refuses_a_start_is_left_alone_for_a_while() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.owner.job("a", job(1, vec![step(1, 1)]), 150, None);
    bed.step();
    assert_snapshot!(format!("{:?}", refuse(&mut bed, 5000)), @"[0, 50, 150, 350, 750, 1550, 3150, 4750]");
}
