//! Signs of life that prove nothing: they must not put off what waits for a proof.

mod world;

use insta::assert_snapshot;
use world::{Mood, World, job};

// Symptom: after all processes were killed, or lost power, jobs that had been accepted
// before never start again, while new ones run. Sequence: a worker is lost for good; all
// processes end; its agent starts anew, connects to the new owner, and pings. Cause: the
// new owner waited for each agent to report or its lease to lapse, and each ping of that
// agent renewed a lease under which nothing could run.
#[test]
fn older_jobs_start_though_an_agent_has_lost_its_worker_for_good() {
    let mut world = World::open(2, 2);
    world.owner.add_job("old", job(1), 50, None);
    world.report(0);
    world.link(0);
    world.link(1);
    world.pass(7600);
    let before = world.told();
    world.pass(1000);
    assert_snapshot!(format!("{before}\n{}", world.told()), @r"
    nothing
    7700 ms: w0 start old.0.0.0 run 1001
    ");
}

// Symptom: as above. Sequence: all processes are killed; a worker that is unhealthy
// reports itself well and refuses every look of the new owner. Cause: a refusal counted
// as an answer, so the worker never seemed silent, and nothing proved what it runs.
#[test]
fn older_jobs_start_though_a_worker_refuses_every_look() {
    let mut world = World::open(2, 2);
    world.owner.add_job("old", job(1), 50, None);
    world.sides[1].mood = Mood::Refusing;
    for number in 0..2 {
        world.report(number);
        world.link(number);
    }
    world.pass(6000);
    let before = world.told();
    world.pass(14_000);
    assert_snapshot!(format!("{before}\n{}", world.told()), @r"
    nothing
    7100 ms: w0 start old.0.0.0 run 1001
    ");
}

// Symptom: a job stands still beside idle workers. Sequence: a worker becomes unhealthy
// while nothing runs there and refuses the start that comes next, and the stop that was to
// make sure of it, again and again. Cause: a start that was refused each time was taken for
// one that may yet take effect.
#[test]
fn a_start_that_a_worker_refuses_goes_elsewhere_at_once() {
    let mut world = World::open(1, 2);
    for number in 0..2 {
        world.report(number);
        world.link(number);
    }
    world.pass(1000);
    world.sides[0].mood = Mood::Refusing;
    world.owner.add_job("new", job(1), 150, None);
    world.pass(14_000);
    assert_snapshot!(world.told(), @r"
    1100 ms: w0 start new.0.0.0 run 1
    1100 ms: w1 start new.0.0.0 run 2
    ");
}
