//! Lives that are taken for over.

mod world;

use insta::assert_snapshot;
use world::{World, job};

// Symptom: a task runs on two workers, and the first worker gets nothing any more for as long
// as it lives: its reports are ignored, its runs go on without lease until they lapse.
// Sequence: a worker crashes and its next life runs work; its agent starts anew and hears that
// life; a report of the former life, which a cut held up, comes after that. Cause: the new
// agent does not know which lives are over, takes the former life for the later one, and
// remembers the one that lives as replaced; its reports, which used to set this right within
// 1.5 s, are not believed any more, also once the look has shown that the former life is over.
#[test]
fn a_late_report_to_an_agent_started_anew_does_not_shut_the_life_that_is_there() {
    let mut world = World::open(1, 2);
    for number in 0..2 {
        world.report(number);
        world.link(number);
    }
    world.reborn(0);
    world.pass(2000);
    world.restart(0);
    world.pass(500);
    world.late_report(0);
    world.pass(20_000);
    // The other worker is full, so that only the first has room.
    world.owner.add_job("new", job(16), 150, None);
    world.pass(5000);
    let told = world.told();
    let first = told.lines().filter(|line| line.contains("w0 start")).count();
    let second = told.lines().filter(|line| line.contains("w1 start")).count();
    assert_snapshot!(format!("w0 {first}, w1 {second}"), @"w0 8, w1 8");
}

// Symptom, sequence and cause: as above, with work that runs there.
#[test]
fn a_late_report_to_an_agent_started_anew_does_not_let_a_task_run_twice() {
    let mut world = World::open(1, 2);
    for number in 0..2 {
        world.report(number);
        world.link(number);
    }
    world.reborn(0);
    world.pass(2000);
    world.owner.add_job("new", job(1), 150, None);
    world.pass(1000);
    world.restart(0);
    world.pass(500);
    let before = world.told();
    world.late_report(0);
    world.pass(3000);
    let runs = world.running().join("\n");
    assert_snapshot!(format!("{before}\n-- late\n{}\n-- runs\n{runs}", world.told()), @r"
    2100 ms: w0 start new.0.0.0 run 1
    -- late
    nothing
    -- runs
    w0 new.0.0.0 run 1
    ");
}

// Symptom: as the first. Sequence: a worker crashes twice in quick succession; the only report
// of the life between is held up, and comes after that of the life that is there. No agent
// starts anew. Cause: as the first; a life whose first report comes late is no former one to
// the agent.
#[test]
fn a_late_first_report_does_not_shut_the_life_that_is_there() {
    let mut world = World::open(1, 2);
    world.report(1);
    world.link(1);
    // Its first life has not reported; the second has.
    world.reborn(0);
    world.link(0);
    world.pass(2000);
    world.late_report(0);
    world.pass(20_000);
    world.owner.add_job("new", job(16), 150, None);
    world.pass(5000);
    let told = world.told();
    let first = told.lines().filter(|line| line.contains("w0 start")).count();
    let second = told.lines().filter(|line| line.contains("w1 start")).count();
    assert_snapshot!(format!("w0 {first}, w1 {second}"), @"w0 8, w1 8");
}
