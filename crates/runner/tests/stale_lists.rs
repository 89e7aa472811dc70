//! Lists of a worker's runs that are older than what its owner knows of the runs.

mod simulation;

use insta::assert_snapshot;
use simulation::{Behavior, Simulation, job};

/// A worker that confirmed the starts of two tasks 2.5 s ago and has answered no poll since, so
/// that its last list is older than the starts. Both tasks have ended as done.
fn with_unlisted_ends() -> Simulation {
    let mut sim = Simulation::new(1, 2);
    sim.accepts_records = true;
    for number in 0..2 {
        sim.send_heartbeat(number);
        sim.connect(number);
    }
    sim.advance(1000);
    sim.owner.add_job("a", job(2), 150, None);
    sim.nodes[0].behavior = Behavior::SilentPolls;
    sim.advance(2500);
    sim.finish_runs(0, "a");
    sim
}

/// Lets the worker answer again before its lease ends, and returns all orders.
fn orders_after_answer(mut sim: Simulation) -> String {
    sim.advance(200);
    sim.nodes[0].behavior = Behavior::Healthy;
    sim.advance(3000);
    assert!(sim.owner.has_ended("a"), "the ends were not recorded");
    sim.take_orders()
}

// Guards against a second start of tasks that had ended as done, after their agent reconnected and
// sent its last list again.
#[test]
fn a_list_that_is_sent_again_after_a_reconnect_ends_no_later_run() {
    let mut sim = with_unlisted_ends();
    sim.advance(2700);
    sim.owner.on_disconnected(0);
    sim.connect(0);
    assert_snapshot!(orders_after_answer(sim), @r"
    1100 ms: w0 start a.0.0.0 run 1
    1100 ms: w0 start a.0.0.1 run 1
    ");
}

// The same after a heartbeat which reports that the worker is about to shut down.
#[test]
fn a_list_that_is_sent_again_with_a_heartbeat_ends_no_later_run() {
    let mut sim = with_unlisted_ends();
    sim.advance(2700);
    sim.nodes[0].draining = true;
    sim.send_heartbeat(0);
    assert_snapshot!(orders_after_answer(sim), @r"
    1100 ms: w0 start a.0.0.0 run 1
    1100 ms: w0 start a.0.0.1 run 1
    ");
}
