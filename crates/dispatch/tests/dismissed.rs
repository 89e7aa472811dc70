//! Members that come back while their rows are being dropped.

mod bed;

use bed::{Bed, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::How;
use quincewheel_wire::Notice;

/// Passes `ms` while the agents ping; the worker of the second is silent for so long.
fn pass(bed: &mut Bed, ms: u64, mut silent: u64) -> u64 {
    for _ in 0..ms / 500 {
        bed.pass(500);
        silent += 500;
        bed.notice(0, Notice::Ping { stamp: bed.now, silent: 0 });
        bed.notice(1, Notice::Ping { stamp: bed.now, silent });
    }
    silent
}

// Symptom: a job never goes on though the whole pool is free; or, if the owner changes
// first, a task runs twice. Sequence: a worker refuses everything for 14 s; the write that
// drops its agent's row is under way when it answers again, and work starts there; then
// the write is done; the machine loses power before its agent announces itself. Cause:
// whether nothing runs there was asked before the write only.
#[test]
fn nothing_starts_at_a_member_whose_row_is_being_dropped() {
    let mut bed = Bed::open(1, 2).idle(2);
    pass(&mut bed, 15_000, 0);
    let batch = bed.owner.record().unwrap_or_default();
    // It answers again before the table does.
    bed.notice(1, Notice::Ping { stamp: bed.now, silent: 0 });
    bed.owner.add_job("a", job(1, vec![step(9, 1)]), 150, None);
    bed.step();
    let began = bed.told().lines().filter(|line| line.starts_with("w1")).count();
    bed.owner.recorded(&batch, true);
    bed.step();
    assert_snapshot!(format!("gone {:?}, {began} began there", batch.gone), @r#"gone ["w1"], 0 began there"#);
}

// Symptom: as above. Sequence: as above, but the worker lists a run that goes on there.
// Cause: with the agent its lapse was forgotten, so its runs never lapsed.
#[test]
fn a_run_at_a_member_whose_row_was_just_dropped_ends_with_its_lease() {
    let mut bed = Bed::open(1, 2).idle(2);
    bed.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    bed.step();
    bed.status(0, &[run(task("a", 0, 0), 1)], &[]);
    pass(&mut bed, 15_000, 0);
    let batch = bed.owner.record().unwrap_or_default();
    // It answers again before the table does, and what it lists is taken in.
    bed.owner.add_job("b", job(1, vec![step(1, 8)]), 151, None);
    bed.status(1, &[run(task("b", 0, 0), 1)], &[]);
    bed.owner.recorded(&batch, true);
    bed.told();
    let begin = bed.now;
    bed.status(0, &[], &[bed::end(1, task("a", 0, 0), 1, How::Done)]);
    let mut again = Vec::new();
    for _ in 0..20 {
        bed.pass(500);
        bed.notice(0, Notice::Ping { stamp: bed.now, silent: 0 });
        let (told, ms) = (bed.told(), bed.now - begin);
        let starts = told.lines().filter(|line| line.contains("start"));
        again.extend(starts.map(|line| format!("{ms} ms: {line}")));
    }
    assert_snapshot!(format!("gone {:?}\n{}", batch.gone, again.join("\n")), @r#"
    gone ["w1"]
    6500 ms: w0 start b.0.0.0 run 2
    "#);
}

// Symptom: every 12 s or so, tasks are given to a worker that answers nothing and stand
// still there for a lease, beside idle workers. Sequence: a worker reports itself and
// answers no call; its agent's row is dropped, and the agent announces itself, as its
// worker reports. Cause: the owner forgets the silence with the agent, and the agent's
// first status says that the worker answered under this epoch, as it once did; the first
// ping follows a second later.
#[test]
fn a_worker_that_is_silent_gets_nothing_when_its_agent_announces_itself_again() {
    let mut bed = Bed::open(1, 2).idle(2);
    let silent = pass(&mut bed, 15_000, 0);
    bed.record();
    let dropped = bed.told();
    bed.owner.agent("w1", bed.now);
    bed.link(1);
    // What the agent tells on a claim, and when: `Runner::claim` and `Runner::tick`.
    bed.status(1, &[], &[]);
    bed.owner.add_job("a", job(1, vec![step(9, 1)]), 150, None);
    bed.pass(1000);
    bed.notice(1, Notice::Ping { stamp: bed.now, silent: silent + 1000 });
    let told = bed.told();
    let there: Vec<&str> = told.lines().filter(|line| line.starts_with("w1")).collect();
    assert_snapshot!(format!("{dropped}\n-- announced\n{}", there.join("\n")), @"
    close 1
    -- announced
    ");
}
