//! The whole path without failures, as the fakes see it.

use crate::bed::{self, World, gang, job, ms, name, secs};
use quincewheel_wire::Ask;

#[actix_rt::test]
async fn jobs_of_every_kind_end() {
    let mut world = World::settled(2, 3, 1).await;
    let (owner, follower) = (world.owner().unwrap(), world.follower());
    let bond = world.submit(owner, &job("bond", false, ms(20)));
    let again = world.submit(follower, &job("bond", false, ms(20)));
    let score = world.submit(follower, &gang("score", true, ms(500), 3));
    let mut detached = job("later", false, ms(50));
    detached.wait = false;
    let later = world.submit(follower, &detached);
    world.run(secs(3)).await;
    let get = Ask::Get { team: bed::TEAM.to_owned(), request: "later".to_owned() };
    let got = world.ask(owner, get);
    world.run(secs(1)).await;
    world.check("no failures");
    let names = [bond, again, score, later, got].map(|call| name(world.answer(call)));
    insta::assert_snapshot!(names.join(" "), @"done done done queued done");
}

#[actix_rt::test]
async fn idempotent_work_needs_no_row() {
    let mut world = World::settled(2, 3, 2).await;
    let at = world.owner().unwrap();
    world.run(secs(10)).await;
    let idle = world.rows.commits;
    world.run(secs(10)).await;
    let renewals = world.rows.commits - idle;
    for index in 0..100 {
        world.submit(at, &job(&format!("screen-{index}"), true, ms(20)));
    }
    let before = world.rows.commits;
    world.run(secs(10)).await;
    assert_eq!(world.rows.commits - before, renewals, "only the owner's renewals");
    assert!(world.rows.value("job/banco/screen-1").is_none());
    world.check("idempotent work");
}
