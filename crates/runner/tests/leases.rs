//! Work needs a lease.

mod simulation;

use insta::assert_snapshot;
use simulation::{Behavior, Simulation, job};

// The table no longer confirms the ownership, so after 8 s the owner grants no leases, and agents
// refuse starts without one. If the owner ordered starts all the same, each refusal would make it
// plan again: hundreds of orders per second to one worker, and as many calls to it.
#[test]
fn nothing_is_ordered_where_no_lease_would_be_granted() {
    let mut sim = Simulation::new(1, 1);
    sim.send_heartbeat(0);
    sim.connect(0);
    sim.advance(1000);
    sim.ownership_confirmed = false;
    sim.advance(14_000);
    sim.owner.add_job("new", job(1), 150, None);
    sim.advance(1000);
    let before = sim.take_orders();
    sim.ownership_confirmed = true;
    sim.advance(2000);
    assert_snapshot!(format!("{before}\n{}", sim.take_orders()), @r"
    nothing
    16200 ms: w0 start new.0.0.0 run 1
    ");
}

// Guards against a lease without end: a worker starts its first run, and from then on its replies to
// polls are lost, while it receives each renewal. Its agent would not know what it runs, and its
// owner would not learn that it is silent.
#[test]
fn a_worker_whose_replies_are_lost_after_its_first_start_gets_no_longer_lease() {
    let mut sim = Simulation::new(1, 1);
    sim.send_heartbeat(0);
    sim.connect(0);
    sim.advance(1000);
    sim.nodes[0].behavior = Behavior::LosesPollReplies;
    sim.owner.add_job("new", job(1), 150, None);
    sim.advance(500);
    sim.advance(6000);
    for _ in 0..60 {
        sim.advance(100);
        let (end, clock) = (sim.nodes[0].lease_end, sim.nodes[0].clock(sim.now));
        assert!(end <= clock, "{} ms left", end - clock);
    }
}
