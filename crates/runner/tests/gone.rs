//! Workers whose process is gone: how soon it is known, and what starts there meanwhile.

mod world;

use insta::assert_snapshot;
use world::{Mood, World, gang, job};

/// A settled owner with so many idle workers.
fn idle(workers: usize) -> World {
    let mut world = World::open(1, workers);
    for number in 0..workers {
        world.report(number);
        world.link(number);
    }
    world.pass(1000);
    world
}

// Symptom: the members of a gang wait for one another for seconds and end alone; the room
// that they hold is missed by guaranteed work. Sequence: an idle worker is lost; a member of
// a gang is ordered there, and the connection is refused. Cause: the agent could not tell a
// start that was never sent from one without an answer, and tried to make sure of it.
#[test]
fn a_gang_with_a_member_at_a_lost_worker_is_called_back_at_once() {
    let mut world = idle(4);
    world.sides[0].mood = Mood::Gone;
    world.owner.add_job("gang", gang(3), 150, None);
    world.pass(3000);
    assert_snapshot!(world.told(), @r"
    1100 ms: w0 start gang.0.0.0 run 1
    1100 ms: w1 start gang.0.0.1 run 1
    1100 ms: w2 start gang.0.0.2 run 1
    1100 ms: w1 stop gang.0.0.1 run 1
    1100 ms: w2 stop gang.0.0.2 run 1
    1100 ms: w1 start gang.0.0.0 run 2
    1100 ms: w2 start gang.0.0.1 run 2
    1100 ms: w3 start gang.0.0.2 run 2
    ");
}

// Symptom: as above, for one gang after the other. Sequence: a worker that was idle is lost,
// and its reports stay away; seconds later work is ordered there. Cause: the owner knew of
// lost workers only by calls, and an idle worker is not called.
#[test]
fn nothing_starts_at_an_idle_worker_whose_reports_stay_away() {
    let mut world = idle(2);
    world.sides[0].mood = Mood::Gone;
    world.pass(4000);
    world.owner.add_job("new", job(1), 150, None);
    world.pass(1000);
    assert_snapshot!(world.told(), @"5100 ms: w1 start new.0.0.0 run 1");
}

// A worker that reports nothing and answers all the same is sound, and one that was taken
// for gone takes work again after its first answer to a look.
#[test]
fn a_worker_that_answers_takes_work_whether_it_reports_or_not() {
    let mut world = idle(1);
    world.sides[0].mood = Mood::Gone;
    world.pass(4000);
    world.owner.add_job("new", job(1), 150, None);
    world.pass(1000);
    let before = world.told();
    world.sides[0].mood = Mood::Sound;
    world.mute(0);
    world.pass(1000);
    assert_snapshot!(format!("{before}\n{}", world.told()), @r"
    nothing
    6300 ms: w0 start new.0.0.0 run 1
    ");
}

// Symptom: a task runs twice. Sequence: a worker crashes behind a cut and starts anew; a
// report of its former life, which the cut held up, comes after the first of the new one.
// Cause: whichever life reported last was taken for the one that is there, so all that runs
// on the new life was taken for lost and started elsewhere.
#[test]
fn a_late_report_of_a_former_life_is_not_believed() {
    let mut world = idle(2);
    world.reborn(0);
    world.pass(2000);
    world.owner.add_job("new", job(1), 150, None);
    world.pass(1000);
    let before = world.told();
    world.late_report(0);
    world.pass(3000);
    assert_snapshot!(format!("{before}\n-- late\n{}", world.told()), @r"
    3100 ms: w0 start new.0.0.0 run 1
    -- late
    nothing
    ");
}
