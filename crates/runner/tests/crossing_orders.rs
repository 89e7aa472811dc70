//! Orders and notices that cross on a connection.

mod simulation;

use quincewheel_wire::Refused;
use simulation::{Simulation, job};

// An agent reconnects while its worker refuses a start; the owner orders the start again because of
// the reconnect, and only then learns of the refusal.
#[test]
fn a_refusal_that_crosses_a_repeated_start_does_not_free_the_task() {
    let mut sim = Simulation::new(1, 2);
    for number in 0..2 {
        sim.send_heartbeat(number);
    }
    sim.connect(0);
    sim.advance(1000);
    sim.nodes[0].orders_wait = true;
    sim.nodes[0].start_refusals.push_back(Refused::Lease);
    sim.owner.add_job("a", job(1), 150, None);
    sim.advance(500);
    sim.owner.on_disconnected(0);
    sim.connect(0);
    sim.connect(1);
    sim.advance(100);
    sim.nodes[0].orders_wait = false;
    for _ in 0..20 {
        sim.advance(100);
        let violations = sim.violations();
        assert!(violations.is_empty(), "{violations:?}; orders: {}", sim.take_orders());
    }
}
