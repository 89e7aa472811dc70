//! Starts that are refused again and again.

mod world;

use world::{Mood, World, job};

// Symptom: thousands of starts of one task, and run numbers that belong to the next epoch.
// Sequence: all other workers are full, or there is none; an idle worker becomes unhealthy
// and refuses each start as busy, but answers looks. Cause: such a start is told as not
// started at once, the owner plans at once, and the worker has room; doubt makes it the
// last choice only. (One that refuses looks, too, is left alone after 3 s.)
#[test]
fn a_worker_that_refuses_every_start_is_not_asked_without_a_pause() {
    let mut world = World::open(1, 1);
    world.report(0);
    world.link(0);
    world.pass(1000);
    world.sides[0].mood = Mood::RefusingStarts;
    world.owner.add_job("new", job(1), 150, None);
    world.pass(30_000);
    let told = world.told();
    let starts = told.lines().filter(|line| line.contains("start")).count();
    let last = told.lines().last().unwrap_or_default();
    // Ten a second for half a minute would be plenty.
    assert!(starts <= 300, "{starts} starts in 30 s, the last one: {last}");
}
