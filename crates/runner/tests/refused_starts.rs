//! Starts that a worker refuses each time.

mod simulation;

use simulation::{Behavior, Simulation, job};

// All other workers are full or there is none, and an idle worker becomes unhealthy: it refuses
// each start as busy, but replies to polls. Each start is reported as not started at once, and the
// owner plans again at once. Without a pause this would make thousands of starts of one task, and
// use up the run numbers of the epoch. (A worker that refuses polls, too, gets no work after 3 s.)
#[test]
fn starts_at_a_worker_that_refuses_each_are_limited() {
    let mut sim = Simulation::new(1, 1);
    sim.send_heartbeat(0);
    sim.connect(0);
    sim.advance(1000);
    sim.nodes[0].behavior = Behavior::RefusesStarts;
    sim.owner.add_job("new", job(1), 150, None);
    sim.advance(30_000);
    let orders = sim.take_orders();
    let starts = orders.lines().filter(|line| line.contains("start")).count();
    let last = orders.lines().last().unwrap_or_default();
    // Ten per second.
    assert!(starts <= 300, "{starts} starts in 30 s, the last one: {last}");
}
