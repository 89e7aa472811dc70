//! Members that come back while their rows are being dropped.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::How;
use quincewheel_wire::Notice;

/// Advances the clock by `ms` while both agents send pings; the worker of the second has been silent
/// for `silent` ms at the start. Returns how long it has been silent at the end.
fn advance(harness: &mut Harness, ms: u64, mut silent: u64) -> u64 {
    for _ in 0..ms / 500 {
        harness.advance(500);
        silent += 500;
        harness.deliver(0, Notice::Ping { stamp: harness.now, silent: 0 });
        harness.deliver(1, Notice::Ping { stamp: harness.now, silent });
    }
    silent
}

// A job never went on though the whole pool was free, or, if the owner changed first, a task ran
// twice. A worker refuses everything for 14 s; the write that drops its agent's row is in flight
// when it answers again, and work starts there; the write takes effect; then the machine loses
// power before its agent registers. Whether anything runs there was checked only before the write.
#[test]
fn nothing_starts_at_a_member_whose_row_is_being_dropped() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    advance(&mut harness, 15_000, 0);
    let batch = harness.owner.next_batch().unwrap_or_default();
    // The worker answers again before the table does.
    harness.deliver(1, Notice::Ping { stamp: harness.now, silent: 0 });
    harness.owner.add_job("a", job(1, vec![step(9, 1)]), 150, None);
    harness.tick();
    let started = harness.take_orders().lines().filter(|line| line.starts_with("w1")).count();
    harness.owner.on_recorded(&batch, true);
    harness.tick();
    assert_snapshot!(format!("gone {:?}, {started} began there", batch.departed), @r#"gone ["w1"], 0 began there"#);
}

// The same, but the worker lists a run that goes on there. The time of the lapse was forgotten with
// the agent, so its runs never lapsed.
#[test]
fn run_at_a_member_whose_row_was_just_dropped_ends_with_its_lease() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    advance(&mut harness, 15_000, 0);
    let batch = harness.owner.next_batch().unwrap_or_default();
    // The worker answers again before the table does, and the run that it lists is adopted.
    harness.owner.add_job("b", job(1, vec![step(1, 8)]), 151, None);
    harness.report_status(1, &[run(task("b", 0, 0), 1)], &[]);
    harness.owner.on_recorded(&batch, true);
    harness.take_orders();
    let begin = harness.now;
    harness.report_status(0, &[], &[harness::end(1, task("a", 0, 0), 1, How::Done)]);
    let mut again = Vec::new();
    for _ in 0..20 {
        harness.advance(500);
        harness.deliver(0, Notice::Ping { stamp: harness.now, silent: 0 });
        let (orders, ms) = (harness.take_orders(), harness.now - begin);
        let starts = orders.lines().filter(|line| line.contains("start"));
        again.extend(starts.map(|line| format!("{ms} ms: {line}")));
    }
    assert_snapshot!(format!("gone {:?}\n{}", batch.departed, again.join("\n")), @r#"
    gone ["w1"]
    6500 ms: w0 start b.0.0.0 run 2
    "#);
}

// Every 12 s or so, tasks were started at a worker that answers nothing and stood still there for a
// lease, beside idle workers. A worker reports itself but answers no call; its agent's row is
// dropped, and the agent registers again because its worker reports. The owner forgot the silence
// with the agent, and the agent's first status says that the worker acknowledged this epoch, as it
// once did; the first ping follows a second later.
#[test]
fn silent_worker_gets_nothing_when_its_agent_registers_again() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let silent = advance(&mut harness, 15_000, 0);
    harness.record();
    let dropped = harness.take_orders();
    harness.owner.add_agent("w1", harness.now);
    harness.connect(1);
    // What an agent sends on a claim, and its first ping a second later.
    harness.report_status(1, &[], &[]);
    harness.owner.add_job("a", job(1, vec![step(9, 1)]), 150, None);
    harness.advance(1000);
    harness.deliver(1, Notice::Ping { stamp: harness.now, silent: silent + 1000 });
    let orders = harness.take_orders();
    let second: Vec<&str> = orders.lines().filter(|line| line.starts_with("w1")).collect();
    assert_snapshot!(format!("{dropped}\n-- announced\n{}", second.join("\n")), @"
    close 1
    -- announced
    ");
}
