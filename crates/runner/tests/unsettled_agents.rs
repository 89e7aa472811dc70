//! Agents of which a new owner does not know yet what their workers run.

mod simulation;

use simulation::{Behavior, Simulation, job};

// Guards against a second start of a task that has ended as done: an agent that restarts twice
// extends its worker's lease in between with a grant of the new owner, which then takes the lease for
// over together with those of the previous owner, because the agent reports no worker.
#[test]
fn a_lease_of_the_new_owner_delays_older_jobs_although_its_agent_has_no_worker() {
    let mut sim = Simulation::new(1, 2);
    for number in 0..2 {
        sim.send_heartbeat(number);
    }
    sim.connect(0);
    sim.advance(1000);
    sim.submit("a", job(1), 150);
    sim.advance(1000);
    assert_eq!(sim.running(), ["w0 a.0.0.0 run 1"]);
    sim.nodes[0].cut = true;
    sim.take_over(2);
    sim.advance(3500);
    sim.forget_agent_state(0);
    sim.nodes[0].cut = false;
    sim.nodes[0].behavior = Behavior::LosesPollReplies;
    sim.send_heartbeat(0);
    sim.connect(0);
    sim.advance(1400);
    sim.forget_agent_state(0);
    sim.stop_heartbeats(0);
    sim.nodes[0].behavior = Behavior::Healthy;
    sim.connect(0);
    sim.advance(1200);
    sim.finish_runs(0, "a");
    sim.advance(200);
    sim.send_heartbeat(0);
    sim.accepts_records = true;
    sim.advance(1000);
    let violations = sim.violations();
    assert!(violations.is_empty(), "{violations:?}; orders: {}", sim.take_orders());
}
