//! Members that announce themselves before the answer to the write that drops them.

mod bed;

use bed::{Bed, job, run, step, task, worker};
use insta::assert_snapshot;
use quincewheel_dispatch::Output;
use quincewheel_job::Worker;
use quincewheel_wire::{Notice, Order};

// Symptom: what runs at a sound worker is cut off and lost, and the worker gets nothing until
// its agent announces itself once more, 4 to 8 s later. Sequence: a worker leaves, and its
// agent's row is dropped by a write whose answer is lost or late; the table's feed tells of
// the drop, the next life of the worker reports, its agent announces itself at once, the feed
// tells that, too, and work starts there; then the owner learns, by its second try, that the
// write was done. Cause: the answer dismisses whoever has the name by then (`Owner::recorded`;
// `finish` in the entry takes the new row out of the mirror likewise, so that it is not
// dialled), though the feed has told a row that was written after the drop.
#[test]
fn a_member_that_announced_itself_is_not_dismissed_by_a_late_answer() {
    let mut bed = Bed::open(1, 2).idle(2);
    let (running, ended) = (Vec::new(), Vec::new());
    let none = Notice::Status { stamp: 0, worker: None, fenced: false, running, ended };
    bed.notice(1, Notice::Left { worker: "i1".into() });
    bed.notice(1, none);
    let batch = bed.owner.record().unwrap_or_default();
    // The feed tells of the drop, and then of the agent's new row.
    bed.owner.unlisted("w1");
    bed.told();
    bed.owner.agent("w1", bed.now);
    bed.owner.linked("w1", 2, bed.now);
    let status = |running: &[_], stamp| Notice::Status {
        stamp,
        worker: Some(Worker { id: "i1b".into(), ..worker(1) }),
        fenced: true,
        running: running.to_vec(),
        ended: Vec::new(),
    };
    bed.notice(2, status(&[], bed.now));
    bed.owner.add_job("a", job(1, vec![step(2, 8)]), 150, None);
    bed.pass(100);
    bed.notice(2, status(&[run(task("a", 0, 1), 1)], bed.now));
    let began = bed.told().contains("w2 start a.0.0.1");
    bed.owner.recorded(&batch, true);
    bed.pass(100);
    let told = bed.told();
    bed.owner.on_notice(2, Notice::Ping { stamp: bed.now, silent: 0 }, bed.now);
    let granted = bed
        .owner
        .take_outputs()
        .iter()
        .any(|output| matches!(output, Output::Send { link: 2, order: Order::Grant { .. } }));
    let gone = batch.gone.join(" ");
    assert_snapshot!(
        format!("dropped {gone}, began there {began}\n-- answer\n{told}, granted {granted}"),
        @r"
    dropped w1, began there true
    -- answer
    nothing, granted true
    "
    );
}
