//! Runs that start after their worker was silent.

mod simulation;

use simulation::{Behavior, Simulation, job};

// An order to start is lost with its connection, the worker accepts no connections until just after
// a report that it has been silent for a whole lease, and the order is sent again.
#[test]
fn a_silence_from_before_a_repeated_start_does_not_end_the_run() {
    let mut sim = Simulation::new(1, 2);
    for number in 0..2 {
        sim.send_heartbeat(number);
    }
    sim.connect(0);
    sim.advance(1000);
    sim.owner.add_job("long", job(1), 150, None);
    sim.advance(1000);
    sim.nodes[0].behavior = Behavior::SilentPolls;
    sim.advance(1400);
    sim.nodes[0].cut = true;
    sim.owner.add_job("a", job(1), 151, None);
    sim.advance(100);
    sim.nodes[0].behavior = Behavior::Down;
    sim.advance(2500);
    sim.nodes[0].cut = false;
    sim.connect(0);
    sim.advance(3100);
    sim.nodes[0].behavior = Behavior::Healthy;
    sim.connect(1);
    for _ in 0..20 {
        sim.advance(100);
        let violations = sim.violations();
        assert!(violations.is_empty(), "{violations:?}; orders: {}", sim.take_orders());
    }
}
