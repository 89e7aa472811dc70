//! Connections to agents that break, fall silent or come twice.

mod bed;

use bed::{Bed, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_wire::Notice;

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
    bed.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
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

// Symptom: one task has a hundred starts within a second, two of them at once.
// Sequence: a worker's answers are lost for longer than a lease; the owner takes
// its runs for lapsed, starts them there again, and takes those for lapsed at once.
// Cause: the silence was counted against runs that began within it.
#[test]
fn a_silent_worker_loses_old_runs_only_and_gets_no_new_ones() {
    let mut bed = Bed::open(1, 2).idle(2);
    bed.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    bed.step();
    bed.status(0, &[run(task("a", 0, 0), 1)], &[]);
    let began = bed.told();
    bed.owner.add_job("b", job(1, vec![step(1, 8)]), 151, None);
    bed.owner.add_job("c", job(1, vec![step(1, 1)]), 152, None);
    for silent in [2000, 4000, 6300, 6400] {
        bed.pass(1600);
        bed.notice(1, Notice::Ping { stamp: bed.now, silent: 0 });
        bed.notice(0, Notice::Ping { stamp: bed.now, silent });
    }
    assert_snapshot!(format!("{began}\n-- silent\n{}", bed.told()), @r"
    w0 start a.0.0.0 run 1 
    -- silent
    w1 start b.0.0.0 run 1
    ");
}

// Symptom: gangs wait for 19 s with `remains of a former start`, while a lease is 10 s.
// Sequence: a worker is taken away; its agent lives on for as long as it has for shutting
// down, pings, and ends just before the silence is a lease long. Cause: from then on the
// leases counted from the agent's last ping, as if its worker had answered then.
#[test]
fn what_ran_at_a_dead_worker_lapses_by_its_last_answer_though_its_agent_lived_on() {
    let mut bed = Bed::open(1, 2).idle(2);
    bed.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    bed.step();
    bed.status(0, &[run(task("a", 0, 0), 1)], &[]);
    bed.told();
    let begin = bed.now;
    for silent in (500..=5500).step_by(500) {
        bed.pass(500);
        bed.notice(1, Notice::Ping { stamp: bed.now, silent: 0 });
        bed.notice(0, Notice::Ping { stamp: bed.now, silent });
    }
    bed.owner.unlinked(0);
    let mut again = String::new();
    while again.is_empty() && bed.now < begin + 20_000 {
        bed.pass(100);
        bed.notice(1, Notice::Ping { stamp: bed.now, silent: 0 });
        let told = bed.told();
        let start = told.lines().find(|line| line.contains("start"));
        again = start.map(|line| format!("{} ms: {line}", bed.now - begin)).unwrap_or_default();
    }
    assert_snapshot!(again, @"7700 ms: w1 start a.0.0.0 run 2");
}
