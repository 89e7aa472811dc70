//! Agents of which a new owner does not know yet what their workers run.

mod simulation;

use quincewheel_job::Machine;
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

// Guards against two runs of a task at once: a restarted agent hears a delayed heartbeat of a former
// incarnation first, and the platform's list of machines, which lacks that incarnation, is taken as
// proof that nothing of the previous owner runs at the present one.
#[test]
fn the_end_of_a_former_incarnation_does_not_account_for_the_runs_of_the_present_one() {
    let mut sim = Simulation::new(1, 2);
    for number in 0..2 {
        sim.send_heartbeat(number);
    }
    sim.connect(0);
    sim.advance(1000);
    sim.replace_worker(0);
    sim.advance(1000);
    sim.submit("a", job(1), 150);
    sim.advance(500);
    assert_eq!(sim.running(), ["w0 a.0.0.0 run 1"]);
    sim.nodes[0].behavior = Behavior::SilentPolls;
    sim.stop_heartbeats(0);
    sim.forget_agent_state(0);
    sim.deliver_stale_heartbeat(0);
    sim.take_over(2);
    sim.advance(200);
    let listed = |name: &str, worker: &str| Machine {
        name: name.into(),
        worker: worker.into(),
        ..Machine::default()
    };
    let machines = vec![listed("m0", "i0-1"), listed("m1", "i1-0")];
    sim.owner.on_machines(machines, true, 1, (sim.now, sim.now));
    for _ in 0..40 {
        sim.advance(100);
        let violations = sim.violations();
        assert!(violations.is_empty(), "{violations:?}; orders: {}", sim.take_orders());
    }
}
