//! Members that come back while their rows are being dropped.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::How;
use quincewheel_wire::Notice;

/// Passes `ms` while the agents ping; the worker of the second is silent for so long.
fn pass(harness: &mut Harness, ms: u64, mut silent: u64) -> u64 {
    for _ in 0..ms / 500 {
        harness.advance(500);
        silent += 500;
        harness.deliver(0, Notice::Ping { stamp: harness.now, silent: 0 });
        harness.deliver(1, Notice::Ping { stamp: harness.now, silent });
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
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    pass(&mut harness, 15_000, 0);
    let batch = harness.owner.record().unwrap_or_default();
    // It answers again before the table does.
    harness.deliver(1, Notice::Ping { stamp: harness.now, silent: 0 });
    harness.owner.job("a", job(1, vec![step(9, 1)]), 150, None);
    harness.tick();
    let began = harness.take_orders().lines().filter(|line| line.starts_with("w1")).count();
    harness.owner.recorded(&batch, true);
    harness.tick();
    assert_snapshot!(format!("gone {:?}, {began} began there", batch.gone), @r#"gone ["w1"], 0 began there"#);
}

// Symptom: as above. Sequence: as above, but the worker lists a run that goes on there.
// Cause: with the agent its lapse was forgotten, so its runs never lapsed.
#[test]
fn a_run_at_a_member_whose_row_was_just_dropped_ends_with_its_lease() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    pass(&mut harness, 15_000, 0);
    let batch = harness.owner.record().unwrap_or_default();
    // It answers again before the table does, and what it lists is taken in.
    harness.owner.job("b", job(1, vec![step(1, 8)]), 151, None);
    harness.report_status(1, &[run(task("b", 0, 0), 1)], &[]);
    harness.owner.recorded(&batch, true);
    harness.take_orders();
    let begin = harness.now;
    harness.report_status(0, &[], &[harness::end(1, task("a", 0, 0), 1, How::Done)]);
    let mut again = Vec::new();
    for _ in 0..20 {
        harness.advance(500);
        harness.deliver(0, Notice::Ping { stamp: harness.now, silent: 0 });
        let (told, ms) = (harness.take_orders(), harness.now - begin);
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
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let silent = pass(&mut harness, 15_000, 0);
    harness.record();
    let dropped = harness.take_orders();
    harness.owner.agent("w1", harness.now);
    harness.connect(1);
    // What the agent tells on a claim, and when: `Runner::claim` and `Runner::tick`.
    harness.report_status(1, &[], &[]);
    harness.owner.job("a", job(1, vec![step(9, 1)]), 150, None);
    harness.advance(1000);
    harness.deliver(1, Notice::Ping { stamp: harness.now, silent: silent + 1000 });
    let told = harness.take_orders();
    let there: Vec<&str> = told.lines().filter(|line| line.starts_with("w1")).collect();
    assert_snapshot!(format!("{dropped}\n-- announced\n{}", there.join("\n")), @"
    close 1
    -- announced
    ");
}
