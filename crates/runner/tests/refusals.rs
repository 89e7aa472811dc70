//! Signs of life that do not show what a worker runs must not delay work.

mod simulation;

use insta::assert_snapshot;
use simulation::{Behavior, Simulation, job};

// All processes end, and one worker is lost for good. Its agent restarts, connects to the new
// owner and pings. If each ping renewed a lease under which nothing can run, the new owner would
// wait for that agent forever, and jobs that were accepted before would never start again.
#[test]
fn older_jobs_start_although_an_agent_has_lost_its_worker_for_good() {
    let mut sim = Simulation::new(2, 2);
    sim.owner.add_job("old", job(1), 50, None);
    sim.send_heartbeat(0);
    sim.connect(0);
    sim.connect(1);
    sim.advance(7600);
    let before = sim.take_orders();
    sim.advance(1000);
    assert_snapshot!(format!("{before}\n{}", sim.take_orders()), @r"
    nothing
    7700 ms: w0 start old.0.0.0 run 1001
    ");
}

// All processes end, and an unhealthy worker sends heartbeats but refuses each poll of the new
// owner. If a refusal counted as a sign of life, the worker would never seem silent, and jobs that
// were accepted before would never start again.
#[test]
fn older_jobs_start_although_a_worker_refuses_every_poll() {
    let mut sim = Simulation::new(2, 2);
    sim.owner.add_job("old", job(1), 50, None);
    sim.nodes[1].behavior = Behavior::Busy;
    for number in 0..2 {
        sim.send_heartbeat(number);
        sim.connect(number);
    }
    sim.advance(6000);
    let before = sim.take_orders();
    sim.advance(14_000);
    assert_snapshot!(format!("{before}\n{}", sim.take_orders()), @r"
    nothing
    7100 ms: w0 start old.0.0.0 run 1001
    ");
}

// A worker becomes unhealthy while idle, and refuses the next start, and any stop, each time. A
// start that was refused at each attempt cannot take effect later; if it were treated as
// unsettled, its job would wait beside idle workers.
#[test]
fn a_start_that_a_worker_refuses_goes_elsewhere_at_once() {
    let mut sim = Simulation::new(1, 2);
    for number in 0..2 {
        sim.send_heartbeat(number);
        sim.connect(number);
    }
    sim.advance(1000);
    sim.nodes[0].behavior = Behavior::Busy;
    sim.owner.add_job("new", job(1), 150, None);
    sim.advance(14_000);
    assert_snapshot!(sim.take_orders(), @r"
    1100 ms: w0 start new.0.0.0 run 1
    1100 ms: w1 start new.0.0.0 run 2
    ");
}
