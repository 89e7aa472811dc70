//! Workers that refuse starts: one and then not the next, or again and again.

mod bed;

use bed::{Bed, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::Run;
use quincewheel_wire::{Notice, Refused};

// Symptom: a job stands still beside an open worker with room until something else changes,
// here for as long as the other job runs. Sequence: two starts are ordered at a worker; it
// refuses the first (unhealthy for a moment, or room that is still being freed) and carries
// out the second, whose answer comes a moment after the decision that followed the refusal.
// Cause: a start that takes effect forgets the refusals and with them the time at which the
// owner would look again (`Owner::started` sets `refusals` to nothing and does not set
// `replan`; `ask_refusers` only looks at agents with `until > 0`).
#[test]
fn a_start_that_takes_effect_opens_a_worker_that_refused_another() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    bed.owner.add_job("b", job(1, vec![step(1, 1)]), 151, None);
    bed.step();
    bed.told();
    bed.notice(0, Notice::Unstarted { task: task("a", 0, 0), run: 1, why: Refused::Busy });
    bed.pass(10);
    bed.notice(0, Notice::Started { task: task("b", 0, 0), run: 1 });
    for second in 0..20 {
        bed.live(1000, 1);
        let listed = run(task("b", 0, 0), 1);
        bed.status(0, &[Run { percent: second, ..listed }], &[]);
    }
    assert_snapshot!(bed.told().trim_end(), @"w0 start a.0.0.0 run 2");
}

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
    bed.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    bed.step();
    assert_snapshot!(format!("{:?}", refuse(&mut bed, 5000)), @"[0, 50, 150, 350, 750, 1550, 3150, 4750]");
}
