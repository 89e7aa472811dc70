//! Workers at which more runs have ended than they list at a time.

mod simulation;

use insta::assert_snapshot;
use quincewheel_job::Job;
use simulation::{CLAIM_VERSION, Simulation, job};

/// Tasks of which the ends are more than a worker lists at a time.
const TASKS: u32 = 620;

/// A job of small tasks, all of which fit on one worker.
fn small_tasks(count: u32) -> Job {
    let mut job = job(count);
    job.steps[0].need.accelerators = 0;
    job.steps[0].need.cpu = 100;
    job.steps[0].need.memory = 256;
    job
}

/// One worker at which all tasks of a job have ended as done, which the owner has not heard.
fn with_many_ends() -> Simulation {
    let mut sim = Simulation::new(1, 1);
    sim.accepts_records = true;
    sim.send_heartbeat(0);
    sim.connect(0);
    sim.advance(1000);
    let mut tasks = small_tasks(TASKS);
    tasks.queue.priority = 1;
    sim.submit("a", tasks, CLAIM_VERSION + 1);
    sim.advance(1000);
    assert_eq!(sim.running().len(), TASKS as usize, "not all tasks run");
    sim.take_orders();
    sim.finish_runs(0, "a");
    sim
}

/// Lets the table accept records again, and returns what was ordered, whether the job has ended, and
/// the violations.
fn outcome(mut sim: Simulation) -> String {
    sim.accepts_records = true;
    sim.advance(5000);
    let orders = sim.take_orders();
    let orders = orders.lines().filter(|line| *line != "nothing").count();
    format!("{orders} orders, ended {}, {} violations", sim.has_ended("a"), sim.violations().len())
}

// Guards against tasks that run again after their end: a new owner took the runs that a worker had not
// listed for runs that never were.
#[test]
fn a_new_owner_starts_no_task_of_which_the_end_is_not_listed_yet() {
    let mut sim = with_many_ends();
    sim.take_over(2);
    assert_snapshot!(outcome(sim), @"0 orders, ended true, 0 violations");
}

// The same without a change of owner: while the table could not record, runs of which the ends were not
// listed counted as missing and were stopped.
#[test]
fn an_owner_that_cannot_record_stops_no_run_of_which_the_end_is_not_listed_yet() {
    let mut sim = with_many_ends();
    sim.accepts_records = false;
    sim.advance(9000);
    assert_snapshot!(outcome(sim), @"0 orders, ended true, 0 violations");
}

// The same after an agent that was restarted has read the list anew.
#[test]
fn a_restarted_agent_makes_no_owner_stop_a_run_of_which_the_end_is_not_listed_yet() {
    let mut sim = with_many_ends();
    sim.accepts_records = false;
    sim.advance(1000);
    sim.restart_agent(0);
    sim.advance(9000);
    sim.take_over(2);
    sim.advance(2000);
    assert_snapshot!(outcome(sim), @"0 orders, ended true, 0 violations");
}

// The same where room is made for urgent work: the confirmed stop of a run that was not listed counted as
// its end, and its task started again.
#[test]
fn a_task_that_was_stopped_before_its_end_was_listed_does_not_start_again() {
    let mut sim = with_many_ends();
    sim.accepts_records = false;
    sim.advance(100);
    let mut urgent = small_tasks(1);
    urgent.steps[0].need.cpu = 64_000;
    sim.submit("b", urgent, CLAIM_VERSION + 2);
    sim.advance(3000);
    sim.owner.cancel("b", sim.now);
    sim.advance(3000);
    let orders = sim.take_orders();
    let starts = orders.lines().filter(|line| line.contains(" start a.")).count();
    sim.accepts_records = true;
    sim.advance(3000);
    let (ended, violations) = (sim.has_ended("a"), sim.violations().len());
    assert_snapshot!(format!("{starts} starts of a, ended {ended}, {violations} violations"), @"0 starts of a, ended true, 0 violations");
}
