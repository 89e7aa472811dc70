//! Workers that report themselves well while their runs stand still.

mod bed;

use bed::{Bed, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Run, Step};

/// A run of a task of 4 s on the first of two workers, listed each second.
fn play(percents: &[u32]) -> String {
    let mut bed = Bed::open(1, 2).idle(2);
    let long = Step { estimate: 4000, ..step(1, 8) };
    bed.owner.add_job("a", job(1, vec![long]), 150, None);
    bed.step();
    bed.told();
    for &percent in percents {
        bed.pass(1000);
        bed.status(0, &[Run { percent, ..run(task("a", 0, 0), 1) }], &[]);
        bed.status(1, &[], &[]);
    }
    bed.told()
}

#[test]
fn a_run_that_goes_on_is_left_alone_even_where_its_estimate_was_half() {
    assert_snapshot!(play(&[12, 25, 37, 50, 62, 75, 87]), @r"nothing");
}

// Symptom: a job never ends though its worker reports itself well.
// Sequence: the tasks on a worker stand still. Cause: nobody looked at progress.
#[test]
fn a_run_that_stands_still_is_stopped() {
    assert_snapshot!(play(&[12, 25, 25, 25, 25]), @r"w0 stop a.0.0.0 run 1");
}

#[test]
fn a_run_that_never_begins_is_stopped() {
    assert_snapshot!(play(&[0, 0, 0]), @r"w0 stop a.0.0.0 run 1");
}

// Symptom: most of the work of a quiet day is thrown away. Sequence: a task takes
// several times its estimate, is stopped as slow, and starts anew. Cause: an
// estimate was taken for more than a guess.
#[test]
fn a_run_that_takes_long_is_left_alone() {
    assert_snapshot!(play(&[2, 5, 8, 11]), @r"nothing");
}

// Symptom: gangs are stopped shortly before their end. Sequence: one member is
// through and waits for a slower one. Cause: its standstill was taken for trouble.
#[test]
fn a_member_that_waits_for_its_gang_is_left_alone() {
    let mut bed = Bed::open(1, 2).idle(2);
    let gang = Step { estimate: 4000, gang: true, ..step(2, 8) };
    bed.owner.add_job("a", job(1, vec![gang]), 150, None);
    bed.step();
    bed.told();
    for slow in [20, 30, 40, 50, 60, 70] {
        bed.pass(1000);
        for (number, percent) in [(0, 100), (1, slow)] {
            let listed = run(task("a", 0, number), 1);
            bed.status(u64::from(number), &[Run { percent, ..listed }], &[]);
        }
    }
    assert_snapshot!(bed.told(), @"nothing");
}
