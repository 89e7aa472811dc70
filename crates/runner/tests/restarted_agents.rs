//! Agents whose processes restart while their workers run on.

mod simulation;

use simulation::{Simulation, job};

/// Two workers with agents, of which the first has been replaced by an incarnation that runs a task.
fn replaced_worker() -> Simulation {
    let mut sim = Simulation::new(1, 2);
    for number in 0..2 {
        sim.send_heartbeat(number);
    }
    sim.connect(0);
    sim.advance(1000);
    sim.replace_worker(0);
    sim.advance(1000);
    sim.owner.add_job("a", job(1), 150, None);
    sim.advance(500);
    sim.connect(1);
    sim.advance(200);
    assert_eq!(sim.running(), ["w0 a.0.0.0 run 1"]);
    sim
}

/// Fails if the task is started a second time.
fn assert_runs_once(mut sim: Simulation) {
    for _ in 0..50 {
        sim.advance(100);
        let violations = sim.violations();
        assert!(violations.is_empty(), "{violations:?}; orders: {}", sim.take_orders());
    }
}

// An agent restarts, and the first heartbeat that it receives is a delayed one of the worker's
// former incarnation.
#[test]
fn a_stale_heartbeat_to_a_restarted_agent_does_not_end_the_runs_of_the_present_incarnation() {
    let mut sim = replaced_worker();
    sim.forget_agent_state(0);
    sim.deliver_stale_heartbeat(0);
    sim.connect(0);
    assert_runs_once(sim);
}

// An agent restarts, and a delayed heartbeat of the worker's former incarnation follows one of the
// present incarnation, which has not replied to a poll yet.
#[test]
fn a_stale_heartbeat_does_not_replace_an_incarnation_that_has_not_replied_yet() {
    let mut sim = replaced_worker();
    sim.forget_agent_state(0);
    sim.send_heartbeat(0);
    sim.deliver_stale_heartbeat(0);
    sim.connect(0);
    assert_runs_once(sim);
}

// A restarted agent reports for seconds that it has no worker, loses its connection, and only then
// hears of its worker and extends its lease.
#[test]
fn a_worker_that_its_agent_finds_while_disconnected_keeps_its_runs() {
    let mut sim = replaced_worker();
    sim.forget_agent_state(0);
    sim.stop_heartbeats(0);
    sim.connect(0);
    sim.advance(3500);
    sim.owner.on_disconnected(0);
    sim.send_heartbeat(0);
    assert_runs_once(sim);
}
