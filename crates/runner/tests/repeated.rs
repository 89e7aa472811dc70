//! Starts that are given again, and refused then.

mod world;

use insta::assert_snapshot;
use world::{Mood, World, job};

// Symptom: a task runs on two workers. Sequence: a start gets no answer at any try; the
// worker becomes unhealthy and refuses the stop that is to settle it; the connection to
// the owner breaks and is made anew, so the owner gives the start again; the worker
// refuses that each time, and later carries out the first one. Cause: only the tries of
// the order given again counted, and it was told as not started.
#[test]
fn a_start_given_again_on_a_new_connection_stays_doubtful() {
    let mut world = World::open(1, 2);
    for number in 0..2 {
        world.report(number);
        world.link(number);
    }
    world.pass(1000);
    world.sides[0].mood = Mood::Late(2000);
    world.owner.add_job("new", job(1), 150, None);
    world.pass(1200);
    world.sides[0].mood = Mood::Refusing;
    world.pass(500);
    world.owner.on_disconnected(0);
    world.link(0);
    world.pass(1000);
    assert_snapshot!(format!("{}\n-- runs\n{}", world.told(), world.running().join("\n")), @r"
    1100 ms: w0 start new.0.0.0 run 1
    2800 ms: w0 start new.0.0.0 run 1
    -- runs
    w0 new.0.0.0 run 1
    ");
}

// Symptom: as above. Sequence: a start is under way when its agent is killed; the agent
// starts anew and looks at its worker, which has not carried the start out yet; the owner
// gives it again, and the worker, unhealthy by now, refuses it each time and carries out
// the first one seconds later. Cause: the new agent cannot know that the order is a
// repeated one, and took it for one that cannot take effect.
#[test]
fn a_start_given_again_to_an_agent_started_anew_is_doubtful() {
    let mut world = World::open(1, 2);
    for number in 0..2 {
        world.report(number);
        world.link(number);
    }
    world.pass(1000);
    world.sides[0].mood = Mood::Late(3000);
    world.owner.add_job("new", job(1), 150, None);
    world.pass(500);
    world.sides[0].mood = Mood::RefusingStarts;
    world.restart(0);
    world.pass(4000);
    assert_snapshot!(format!("{}\n-- runs\n{}", world.told(), world.running().join("\n")), @r"
    1100 ms: w0 start new.0.0.0 run 1
    1600 ms: w0 start new.0.0.0 run 1
    -- runs
    w0 new.0.0.0 run 1
    ");
}
