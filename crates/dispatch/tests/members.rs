//! Which agents a later owner must wait for.

mod harness;

use harness::{Harness, job, step};
use insta::assert_snapshot;
use quincewheel_wire::Notice;

/// Passes `ms` while the agents of these numbers go on pinging.
fn pass(harness: &mut Harness, ms: u64, there: &[u64]) {
    for _ in 0..ms / 500 {
        harness.advance(500);
        for &number in there {
            harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
        }
    }
}

fn gone(harness: &mut Harness) -> String {
    let batch = harness.record();
    harness.take_orders();
    format!("{:?}", batch.gone)
}

// Symptom: after each change of owner older jobs stand still for 6 s. Sequence: a
// machine is taken away for good; later the owner is replaced. Cause: the row of the
// machine's agent stayed, and the new owner waited for it until its leases had lapsed.
#[test]
fn an_agent_that_is_gone_is_no_member_once_its_leases_have_lapsed() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.unlinked(1);
    pass(&mut harness, 8500, &[0]);
    let before = gone(&mut harness);
    pass(&mut harness, 500, &[0]);
    assert_snapshot!(format!("{before} {} {}", gone(&mut harness), gone(&mut harness)), @r#"
    [] ["w1"] []
    "#);
}

#[test]
fn an_agent_that_comes_back_in_time_stays_a_member() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.unlinked(1);
    pass(&mut harness, 5000, &[0]);
    harness.connect(1);
    harness.report_status(1, &[], &[]);
    pass(&mut harness, 5000, &[0, 1]);
    assert_snapshot!(gone(&mut harness), @"[]");
}

// A worker that left takes its agent's membership with it: the agent stays, and
// announces itself again when another worker reports.
#[test]
fn an_agent_without_a_worker_is_no_member_and_its_connection_is_closed() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let (running, ended) = (Vec::new(), Vec::new());
    let none = Notice::Status { stamp: 0, worker: None, fenced: false, running, ended };
    harness.deliver(1, none);
    pass(&mut harness, 9000, &[0, 1]);
    let batch = harness.record();
    assert_snapshot!(format!("{:?}\n{}", batch.gone, harness.take_orders()), @r#"
    ["w1"]
    close 1
    "#);
}

// Symptom: after each change of owner older jobs stand still for 6 s. Sequence: a worker is
// lost for good; its agent lives on, and asks for leases; later the owner is replaced. Cause:
// the agent stayed a member as long as it was connected and had ever known a worker.
#[test]
fn an_agent_whose_worker_answers_no_more_is_no_member_once_its_lease_has_lapsed() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    for silent in 1..17 {
        harness.advance(500);
        harness.deliver(0, Notice::Ping { stamp: harness.now, silent: 0 });
        harness.deliver(1, Notice::Ping { stamp: harness.now, silent: silent * 500 });
    }
    let before = gone(&mut harness);
    harness.advance(500);
    harness.deliver(1, Notice::Ping { stamp: harness.now, silent: 8500 });
    assert_snapshot!(format!("{before} {}", gone(&mut harness)), @r#"[] ["w1"]"#);
}

// Symptom: a task runs twice. Sequence: the owner loses the table, not its agents;
// another entry takes over and reaches few agents; the former owner, which does not
// know, goes on granting leases to the others. Cause: the new owner reckoned their
// leases from its own claim.
#[test]
fn a_new_owner_that_reaches_few_agents_waits_until_the_former_one_grants_no_more() {
    let mut harness = Harness::new(2, 3);
    harness.owner.job("old", job(1, vec![step(1, 1)]), 50, None);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    pass(&mut harness, 14_000, &[0]);
    let before = harness.take_orders();
    pass(&mut harness, 500, &[0]);
    assert_snapshot!(format!("{before}\n-- 14,500 ms\n{}", harness.take_orders()), @r"
    nothing
    -- 14,500 ms
    w0 start old.0.0.0 run 1001
    ");
}

// Symptom: a task runs twice. Sequence: a worker of the former owner's time carries out
// every renewal of its lease but answers nothing. Cause: its lease was reckoned from the
// claim, though its agent went on renewing it.
#[test]
fn a_worker_that_answers_nothing_is_waited_for_until_its_silence_is_a_lease_long() {
    let mut harness = Harness::new(2, 2);
    harness.owner.job("old", job(1, vec![step(1, 1)]), 50, None);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    harness.connect(1);
    // The agent has just started, and has not looked at its worker yet.
    let (running, ended) = (Vec::new(), Vec::new());
    let worker = Some(harness::worker(1));
    let unfenced = Notice::Status { stamp: 0, worker, fenced: false, running, ended };
    harness.deliver(1, unfenced);
    for silent in [2000, 4000, 6000] {
        harness.advance(2000);
        harness.deliver(0, Notice::Ping { stamp: harness.now, silent: 0 });
        harness.deliver(1, Notice::Ping { stamp: harness.now, silent });
    }
    harness.advance(300);
    let before = harness.take_orders();
    harness.deliver(1, Notice::Ping { stamp: harness.now, silent: 6300 });
    harness.advance(100);
    assert_snapshot!(format!("{before}\n-- silent for a lease\n{}", harness.take_orders()), @r"
    nothing
    -- silent for a lease
    w0 start old.0.0.0 run 1001
    ");
}

// Symptom: after all machines lost power, jobs stand still for 6 s. Sequence: a worker
// leaves; seconds later all lose power; the new owner waits for that worker's agent.
// Cause: an agent stayed a member for the length of a lease, though its worker had said
// that it ends.
#[test]
fn an_agent_whose_worker_has_left_is_no_member_at_once() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.tick();
    harness.deliver(1, Notice::Left { worker: "i1".into() });
    assert_snapshot!(gone(&mut harness), @r#"
    ["w1"]
    "#);
}
