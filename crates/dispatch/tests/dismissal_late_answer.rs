//! Members that register again before the answer to the write that drops their row.

mod harness;

use harness::{Harness, job, run, step, task, worker};
use insta::assert_snapshot;
use quincewheel_dispatch::Output;
use quincewheel_job::Worker;
use quincewheel_wire::{Notice, Order};

// The runs at a sound worker were cut off and lost, and the worker got nothing until its agent
// registered once more, 4 to 8 s later. A worker shuts down, and its agent's row is dropped by a
// write whose answer is lost or late; the table's feed delivers the drop, the next incarnation of
// the worker reports, its agent registers at once, the feed delivers that too, and work starts
// there; then the owner learns by its second try that the write took effect. The answer dismissed
// whichever agent had the name by then (and the entry took the new row out of its mirror, so that
// the agent was not dialled), though the feed had delivered a row written after the drop.
#[test]
fn member_that_registered_again_is_not_dismissed_by_a_late_answer() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let (running, ended) = (Vec::new(), Vec::new());
    let no_worker = Notice::Status {
        listed_at: None,
        stamp: 0,
        worker: None,
        fenced: false,
        running,
        ended,
        truncated: false,
    };
    harness.deliver(1, Notice::Left { worker: "i1".into() });
    harness.deliver(1, no_worker);
    let batch = harness.owner.next_batch().unwrap_or_default();
    // The feed delivers the drop, and then the agent's new row.
    harness.owner.on_row_removed("w1");
    harness.take_orders();
    harness.owner.add_agent("w1", harness.now);
    harness.owner.on_connected("w1", 2, harness.now);
    let status = |running: &[_], stamp| Notice::Status {
        stamp,
        listed_at: None,
        worker: Some(Worker { id: "i1b".into(), ..worker(1) }),
        fenced: true,
        running: running.to_vec(),
        ended: Vec::new(),
        truncated: false,
    };
    harness.deliver(2, status(&[], harness.now));
    harness.owner.add_job("a", job(1, vec![step(2, 8)]), 150, None);
    harness.advance(100);
    harness.deliver(2, status(&[run(task("a", 0, 1), 1)], harness.now));
    let started = harness.take_orders().contains("w2 start a.0.0.1");
    harness.owner.on_recorded(&batch, true);
    harness.advance(100);
    let orders = harness.take_orders();
    harness.owner.on_notice(2, Notice::Ping { stamp: harness.now, silent: 0 }, harness.now);
    let granted = harness
        .owner
        .take_outputs()
        .iter()
        .any(|output| matches!(output, Output::Send { link: 2, order: Order::Grant { .. } }));
    let dropped = batch.departed.join(" ");
    assert_snapshot!(
        format!("dropped {dropped}, began there {started}\n-- answer\n{orders}, granted {granted}"),
        @r"
    dropped w1, began there true
    -- answer
    nothing, granted true
    "
    );
}
