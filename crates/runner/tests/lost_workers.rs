//! Workers whose process has ended: when this is detected, and where work starts meanwhile.

mod simulation;

use insta::assert_snapshot;
use simulation::{Behavior, Simulation, gang, job};

/// An owner with idle workers whose state is known to it.
fn with_idle_workers(workers: usize) -> Simulation {
    let mut sim = Simulation::new(1, workers);
    for number in 0..workers {
        sim.send_heartbeat(number);
        sim.connect(number);
    }
    sim.advance(1000);
    sim
}

// A member of a gang is ordered at an idle worker that has just been lost, and its connection is
// refused. Such a start was never sent and needs no stop. If it were treated like one without a
// reply, the other members would wait for seconds and end alone, and guaranteed work would miss
// their capacity.
#[test]
fn a_gang_with_a_member_at_a_lost_worker_is_stopped_at_once() {
    let mut sim = with_idle_workers(4);
    sim.nodes[0].behavior = Behavior::Down;
    sim.owner.add_job("gang", gang(3), 150, None);
    sim.advance(3000);
    assert_snapshot!(sim.take_orders(), @r"
    1100 ms: w0 start gang.0.0.0 run 1
    1100 ms: w1 start gang.0.0.1 run 1
    1100 ms: w2 start gang.0.0.2 run 1
    1100 ms: w1 stop gang.0.0.1 run 1
    1100 ms: w2 stop gang.0.0.2 run 1
    1100 ms: w1 start gang.0.0.0 run 2
    1100 ms: w2 start gang.0.0.1 run 2
    1100 ms: w3 start gang.0.0.2 run 2
    ");
}

// An idle worker is lost, its heartbeats stop, and seconds later work is submitted. Nothing is
// sent to an idle worker, so only missing heartbeats show that it is lost.
#[test]
fn nothing_starts_at_an_idle_worker_without_heartbeats() {
    let mut sim = with_idle_workers(2);
    sim.nodes[0].behavior = Behavior::Down;
    sim.advance(4000);
    sim.owner.add_job("new", job(1), 150, None);
    sim.advance(1000);
    assert_snapshot!(sim.take_orders(), @"5100 ms: w1 start new.0.0.0 run 1");
}

// A worker that was taken for lost gets work again after its first reply to a poll, even if it
// sends no heartbeats.
#[test]
fn a_worker_that_replies_gets_work_even_without_heartbeats() {
    let mut sim = with_idle_workers(1);
    sim.nodes[0].behavior = Behavior::Down;
    sim.advance(4000);
    sim.owner.add_job("new", job(1), 150, None);
    sim.advance(1000);
    let before = sim.take_orders();
    sim.nodes[0].behavior = Behavior::Healthy;
    sim.stop_heartbeats(0);
    sim.advance(1000);
    assert_snapshot!(format!("{before}\n{}", sim.take_orders()), @r"
    nothing
    6300 ms: w0 start new.0.0.0 run 1
    ");
}

// A worker crashes behind a network partition and restarts. A delayed heartbeat of its former
// incarnation arrives after the first one of the new. If the incarnation of the last heartbeat
// were taken for the current one, all runs of the new one would start a second time elsewhere.
#[test]
fn a_stale_heartbeat_of_a_former_incarnation_is_ignored() {
    let mut sim = with_idle_workers(2);
    sim.replace_worker(0);
    sim.advance(2000);
    sim.owner.add_job("new", job(1), 150, None);
    sim.advance(1000);
    let before = sim.take_orders();
    sim.deliver_stale_heartbeat(0);
    sim.advance(3000);
    assert_snapshot!(format!("{before}\n-- stale heartbeat\n{}", sim.take_orders()), @r"
    3100 ms: w0 start new.0.0.0 run 1
    -- stale heartbeat
    nothing
    ");
}
