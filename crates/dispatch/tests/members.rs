//! Which agents a later owner must wait for.

mod harness;

use harness::{Harness, job, step};
use insta::assert_snapshot;
use quincewheel_wire::Notice;

/// Advances the clock by `ms` while the agents of these numbers keep sending pings.
fn advance(harness: &mut Harness, ms: u64, connected: &[u64]) {
    for _ in 0..ms / 500 {
        harness.advance(500);
        for &number in connected {
            harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
        }
    }
}

/// Writes the pending batch and returns the agents whose rows it drops.
fn dropped_members(harness: &mut Harness) -> String {
    let batch = harness.record();
    harness.take_orders();
    format!("{:?}", batch.departed)
}

// After each change of owner older jobs stood still for 6 s. A machine is removed for good, and
// later the owner is replaced; the row of the machine's agent stayed, and the new owner waited for
// it until its leases had lapsed.
#[test]
fn disconnected_agent_is_dropped_once_its_leases_have_lapsed() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.on_disconnected(1);
    advance(&mut harness, 8500, &[0]);
    let before = dropped_members(&mut harness);
    advance(&mut harness, 500, &[0]);
    assert_snapshot!(format!("{before} {} {}", dropped_members(&mut harness), dropped_members(&mut harness)), @r#"
    [] ["w1"] []
    "#);
}

#[test]
fn agent_that_reconnects_in_time_stays_a_member() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.on_disconnected(1);
    advance(&mut harness, 5000, &[0]);
    harness.connect(1);
    harness.report_status(1, &[], &[]);
    advance(&mut harness, 5000, &[0, 1]);
    assert_snapshot!(dropped_members(&mut harness), @"[]");
}

// An agent's membership ends with its worker's shutdown: the agent stays up and registers again
// when another worker reports.
#[test]
fn agent_without_a_worker_is_dropped_and_its_connection_closed() {
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
    harness.deliver(1, no_worker);
    advance(&mut harness, 9000, &[0, 1]);
    let batch = harness.record();
    assert_snapshot!(format!("{:?}\n{}", batch.departed, harness.take_orders()), @r#"
    ["w1"]
    close 1
    "#);
}

// After each change of owner older jobs stood still for 6 s. A worker is lost for good while its
// agent stays up and asks for leases, and later the owner is replaced. The agent stayed a member as
// long as it was connected and had ever known a worker.
#[test]
fn agent_with_an_unresponsive_worker_is_dropped_once_the_lease_has_lapsed() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    for silent in 1..17 {
        harness.advance(500);
        harness.deliver(0, Notice::Ping { stamp: harness.now, silent: 0 });
        harness.deliver(1, Notice::Ping { stamp: harness.now, silent: silent * 500 });
    }
    let before = dropped_members(&mut harness);
    harness.advance(500);
    harness.deliver(1, Notice::Ping { stamp: harness.now, silent: 8500 });
    assert_snapshot!(format!("{before} {}", dropped_members(&mut harness)), @r#"[] ["w1"]"#);
}

// A task ran twice. The owner loses the table but not its agents; another entry takes over and
// reaches few agents; the previous owner is not aware of it and goes on granting leases to the
// others. The new owner counted their leases from its own claim.
#[test]
fn new_owner_connected_to_few_agents_waits_until_the_previous_one_stops_granting() {
    let mut harness = Harness::new(2, 3);
    harness.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    advance(&mut harness, 14_000, &[0]);
    let before = harness.take_orders();
    advance(&mut harness, 500, &[0]);
    assert_snapshot!(format!("{before}\n-- 14,500 ms\n{}", harness.take_orders()), @r"
    nothing
    -- 14,500 ms
    w0 start old.0.0.0 run 1001
    ");
}

// A task ran twice. A worker from the previous owner's time carries out every renewal of its lease
// but answers nothing. Its lease was counted from the claim, though its agent went on renewing it.
#[test]
fn new_owner_waits_for_an_unresponsive_worker_until_its_silence_reaches_a_lease() {
    let mut harness = Harness::new(2, 2);
    harness.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    harness.connect(1);
    // The agent has just started and has not polled its worker yet.
    let (running, ended) = (Vec::new(), Vec::new());
    let worker = Some(harness::worker(1));
    let unfenced = Notice::Status {
        listed_at: None,
        stamp: 0,
        worker,
        fenced: false,
        running,
        ended,
        truncated: false,
    };
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

// After all machines lost power, jobs stood still for 6 s. A worker shuts down, and seconds later
// all machines lose power; the new owner waits for that worker's agent. An agent stayed a member
// for the length of a lease, though its worker had reported its shutdown.
#[test]
fn agent_whose_worker_shut_down_is_dropped_at_once() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.tick();
    harness.deliver(1, Notice::Left { worker: "i1".into() });
    assert_snapshot!(dropped_members(&mut harness), @r#"
    ["w1"]
    "#);
}
