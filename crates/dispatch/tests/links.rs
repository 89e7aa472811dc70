//! Connections to agents that break, carry nothing or are opened twice.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_wire::Notice;

// Nothing started or ended any more at some workers, without a log line. The connection to an agent
// stays open but carries nothing, and only a closed connection was considered lost.
#[test]
fn connection_that_carries_nothing_is_closed() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.advance(2000);
    let before = harness.take_orders();
    harness.advance(600);
    assert_snapshot!(format!("{before}\n{}", harness.take_orders()), @r"
    nothing
    close 0
    ");
}

#[test]
fn second_connection_replaces_the_first() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.on_connected("w0", 9, harness.now);
    harness.tick();
    assert_snapshot!(harness.take_orders(), @r"close 0");
}

// A start was lost: the connection breaks after the order, which is lost with it, so the owner must
// send it again.
#[test]
fn unconfirmed_orders_are_sent_again_on_a_new_connection() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.tick();
    harness.owner.on_disconnected(0);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    let again = harness.take_orders();
    harness.owner.on_disconnected(0);
    harness.connect(0);
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    assert_snapshot!(format!("{again}\n-- it runs\n{}", harness.take_orders()), @r"
    w0 start a.0.0.0 run 1 
    w0 start a.0.0.0 run 1 
    -- it runs
    nothing
    ");
}

// One task had a hundred starts within a second, two of them running at once. A worker's answers
// are lost for longer than a lease; the owner considers its runs lapsed, starts them there again,
// and considers those lapsed at once. The silence was counted against runs that started within it.
#[test]
fn silent_worker_loses_only_its_old_runs_and_gets_no_new_ones() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    let first = harness.take_orders();
    harness.owner.add_job("b", job(1, vec![step(1, 8)]), 151, None);
    harness.owner.add_job("c", job(1, vec![step(1, 1)]), 152, None);
    for silent in [2000, 4000, 6300, 6400] {
        harness.advance(1600);
        harness.deliver(1, Notice::Ping { stamp: harness.now, silent: 0 });
        harness.deliver(0, Notice::Ping { stamp: harness.now, silent });
    }
    assert_snapshot!(format!("{first}\n-- silent\n{}", harness.take_orders()), @r"
    w0 start a.0.0.0 run 1 
    -- silent
    w1 start b.0.0.0 run 1
    ");
}

// Gangs waited 19 s for `remains of a former start`, while a lease is 10 s. A worker is removed;
// its agent runs for as long as it has for its shutdown, sends pings, and ends just before the
// silence reaches a lease. From then on the leases were counted from the agent's last ping, as if
// its worker had answered then.
#[test]
fn runs_of_a_lost_worker_lapse_by_its_last_answer_though_its_agent_still_pings() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.take_orders();
    let begin = harness.now;
    for silent in (500..=5500).step_by(500) {
        harness.advance(500);
        harness.deliver(1, Notice::Ping { stamp: harness.now, silent: 0 });
        harness.deliver(0, Notice::Ping { stamp: harness.now, silent });
    }
    harness.owner.on_disconnected(0);
    let mut again = String::new();
    while again.is_empty() && harness.now < begin + 20_000 {
        harness.advance(100);
        harness.deliver(1, Notice::Ping { stamp: harness.now, silent: 0 });
        let orders = harness.take_orders();
        let start = orders.lines().find(|line| line.contains("start"));
        again = start.map(|line| format!("{} ms: {line}", harness.now - begin)).unwrap_or_default();
    }
    assert_snapshot!(again, @"7700 ms: w1 start a.0.0.0 run 2");
}
