//! Which incarnations of a worker an agent takes for ended.

mod simulation;

use insta::assert_snapshot;
use simulation::{Simulation, job};

// A worker crashes, and its next incarnation runs work. Its agent restarts, receives a heartbeat
// of that incarnation, and then a delayed one of the former. The restarted agent does not know
// which incarnations have ended. If it marked the current one as ended, it would ignore all its
// later heartbeats: the worker would get no work and no lease any more.
#[test]
fn a_stale_heartbeat_at_a_restarted_agent_does_not_shut_out_the_current_incarnation() {
    let mut sim = Simulation::new(1, 2);
    for number in 0..2 {
        sim.send_heartbeat(number);
        sim.connect(number);
    }
    sim.replace_worker(0);
    sim.advance(2000);
    sim.restart_agent(0);
    sim.advance(500);
    sim.deliver_stale_heartbeat(0);
    sim.advance(20_000);
    // The job fills both workers.
    sim.owner.add_job("new", job(16), 150, None);
    sim.advance(5000);
    let orders = sim.take_orders();
    let first = orders.lines().filter(|line| line.contains("w0 start")).count();
    let second = orders.lines().filter(|line| line.contains("w1 start")).count();
    assert_snapshot!(format!("w0 {first}, w1 {second}"), @"w0 8, w1 8");
}

// As above, with a run in progress at the worker.
#[test]
fn a_stale_heartbeat_at_a_restarted_agent_does_not_let_a_task_run_twice() {
    let mut sim = Simulation::new(1, 2);
    for number in 0..2 {
        sim.send_heartbeat(number);
        sim.connect(number);
    }
    sim.replace_worker(0);
    sim.advance(2000);
    sim.owner.add_job("new", job(1), 150, None);
    sim.advance(1000);
    sim.restart_agent(0);
    sim.advance(500);
    let before = sim.take_orders();
    sim.deliver_stale_heartbeat(0);
    sim.advance(3000);
    let runs = sim.running().join("\n");
    assert_snapshot!(format!("{before}\n-- stale heartbeat\n{}\n-- runs\n{runs}", sim.take_orders()), @r"
    2100 ms: w0 start new.0.0.0 run 1
    -- stale heartbeat
    nothing
    -- runs
    w0 new.0.0.0 run 1
    ");
}

// A worker crashes twice in quick succession, and the only heartbeat of the incarnation in between
// arrives after that of the current one. No agent restarts, but the agent has not seen that
// incarnation before, so it does not know that it has ended.
#[test]
fn a_stale_first_heartbeat_does_not_shut_out_the_current_incarnation() {
    let mut sim = Simulation::new(1, 2);
    sim.send_heartbeat(1);
    sim.connect(1);
    // Its first incarnation has sent no heartbeat, the second has.
    sim.replace_worker(0);
    sim.connect(0);
    sim.advance(2000);
    sim.deliver_stale_heartbeat(0);
    sim.advance(20_000);
    sim.owner.add_job("new", job(16), 150, None);
    sim.advance(5000);
    let orders = sim.take_orders();
    let first = orders.lines().filter(|line| line.contains("w0 start")).count();
    let second = orders.lines().filter(|line| line.contains("w1 start")).count();
    assert_snapshot!(format!("w0 {first}, w1 {second}"), @"w0 8, w1 8");
}

// Guards against a second start of all tasks of a worker whose agent restarted and first hears a
// delayed heartbeat of the worker's former incarnation.
#[test]
fn a_stale_heartbeat_to_a_restarted_agent_ends_no_run() {
    let mut sim = Simulation::new(1, 2);
    sim.accepts_records = true;
    for number in 0..2 {
        sim.send_heartbeat(number);
        sim.connect(number);
    }
    sim.advance(1000);
    sim.replace_worker(0);
    sim.advance(1000);
    sim.owner.add_job("a", job(2), 150, None);
    sim.advance(1000);
    sim.forget_agent_state(0);
    sim.deliver_stale_heartbeat(0);
    sim.connect(0);
    sim.advance(100);
    sim.finish_runs(0, "a");
    sim.send_heartbeat(0);
    sim.advance(2000);
    assert!(sim.owner.has_ended("a"), "the ends were not recorded");
    assert_snapshot!(sim.take_orders(), @r"
    2100 ms: w0 start a.0.0.0 run 1
    2100 ms: w0 start a.0.0.1 run 1
    ");
}
