//! Starts that an owner repeats and a worker then refuses.

mod simulation;

use insta::assert_snapshot;
use simulation::{Behavior, Simulation, job};

// No attempt of a start gets a reply, and the worker becomes unhealthy and refuses the stop that
// should settle it. The connection to the owner breaks and is made again, so the owner repeats the
// start. The worker refuses it each time, and later carries out the first one. If only the
// attempts of the repeated order counted, the start would be reported as not started, and the task
// would run on two workers.
#[test]
fn a_repeated_start_on_a_new_connection_stays_unsettled() {
    let mut sim = Simulation::new(1, 2);
    for number in 0..2 {
        sim.send_heartbeat(number);
        sim.connect(number);
    }
    sim.advance(1000);
    sim.nodes[0].behavior = Behavior::DelaysStarts(2000);
    sim.owner.add_job("new", job(1), 150, None);
    sim.advance(1200);
    sim.nodes[0].behavior = Behavior::Busy;
    sim.advance(500);
    sim.owner.on_disconnected(0);
    sim.connect(0);
    sim.advance(1000);
    assert_snapshot!(format!("{}\n-- runs\n{}", sim.take_orders(), sim.running().join("\n")), @r"
    1100 ms: w0 start new.0.0.0 run 1
    2800 ms: w0 start new.0.0.0 run 1
    -- runs
    w0 new.0.0.0 run 1
    ");
}

// An agent is killed with a start in flight, restarts, and polls its worker, which has not carried
// the start out yet. The owner repeats the start; the worker, now unhealthy, refuses it each time,
// and carries out the first one seconds later. The restarted agent can only know from the order
// that it is a repeated one.
#[test]
fn a_repeated_start_at_a_restarted_agent_is_unsettled() {
    let mut sim = Simulation::new(1, 2);
    for number in 0..2 {
        sim.send_heartbeat(number);
        sim.connect(number);
    }
    sim.advance(1000);
    sim.nodes[0].behavior = Behavior::DelaysStarts(3000);
    sim.owner.add_job("new", job(1), 150, None);
    sim.advance(500);
    sim.nodes[0].behavior = Behavior::RefusesStarts;
    sim.restart_agent(0);
    sim.advance(4000);
    assert_snapshot!(format!("{}\n-- runs\n{}", sim.take_orders(), sim.running().join("\n")), @r"
    1100 ms: w0 start new.0.0.0 run 1
    1600 ms: w0 start new.0.0.0 run 1
    -- runs
    w0 new.0.0.0 run 1
    ");
}
