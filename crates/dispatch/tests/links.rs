//! Connections to agents that break, fall silent or come twice.

mod bed;

use bed::{Bed, job, run, step, task};
use insta::assert_snapshot;

// Symptom: nothing starts or ends any more at some workers, and nothing says why.
// Sequence: the connection to an agent stays open but carries nothing.
// Cause: only a closed connection was taken for a lost one.
#[test]
fn a_connection_on_which_nothing_comes_is_closed() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.pass(2000);
    let before = bed.told();
    bed.pass(600);
    assert_snapshot!(format!("{before}\n{}", bed.told()), @r"
    nothing
    close 0
    ");
}

#[test]
fn a_second_connection_replaces_the_first() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.owner.linked("w0", 9, bed.now);
    bed.step();
    assert_snapshot!(bed.told(), @r"close 0");
}

// Symptom: a start is lost. Sequence: the connection breaks after the order.
// Cause: the order went down with it; the owner must give it again.
#[test]
fn orders_are_given_again_on_a_new_connection() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.owner.job("a", job(1, vec![step(1, 1)]), 150, None);
    bed.step();
    bed.owner.unlinked(0);
    bed.link(0);
    bed.status(0, &[], &[]);
    let again = bed.told();
    bed.owner.unlinked(0);
    bed.link(0);
    bed.status(0, &[run(task("a", 0, 0), 1)], &[]);
    assert_snapshot!(format!("{again}\n-- it runs\n{}", bed.told()), @r"
    w0 start a.0.0.0 run 1 
    w0 start a.0.0.0 run 1 
    -- it runs
    nothing
    ");
}
