//! Guarantees are reclaimed, cancellations are told truthfully.

use quincewheel_pool::{Adjacency, Shape};
use quincewheel_wire::{Ask, Job};

use crate::bed::{OTHER, TEAM, Table, Who, World, job, ms, name, put_guarantee, secs, share};

/// A world of four workers full of the other team's borrowed work, of which
/// `deaf` jobs ignore requests to checkpoint.
async fn full(deaf: usize) -> World {
    let mut world = World::settled(2, 4, 1).await;
    let at = world.owner().unwrap();
    let whole = Shape::new(2, 8, Adjacency::Any);
    world.ask(at, put_guarantee(TEAM, 0, vec![share(whole, 1)]));
    world.run(secs(1)).await;
    for index in 0..32 {
        let mark = if index < deaf { "x" } else { "" };
        let payload = format!("{mark}600000").into_bytes();
        let base = job(&format!("borrowed-{index}"), true, secs(600));
        let deadline = secs(3600);
        let borrowed = Job { team: OTHER.to_owned(), payload, deadline, ..base };
        world.submit(at, &borrowed);
    }
    world.run(secs(2)).await;
    assert_eq!((0..4).map(|a| world.grantor(a).granted_mask().count_ones()).sum::<u32>(), 32);
    world
}

/// Symptom: a team's guaranteed shape is not there when it is asked for.
/// Sequence: the pool is full of borrowed work; some of it ignores the request
/// to checkpoint, workers fail meanwhile, the table is down. Cause: what was
/// lent cannot be had back, or what is freed goes to somebody else.
#[actix_rt::test]
async fn a_guarantee_is_reclaimed_from_a_full_pool() {
    let mut lines = Vec::new();
    for (what, deaf) in
        [("obedient", 0), ("half deaf", 16), ("all deaf", 32), ("worker lost", 16), ("outage", 8)]
    {
        let mut world = full(deaf).await;
        let at = world.follower();
        let idempotent = what == "outage";
        if what == "outage" {
            world.table = Table::Down;
            world.run(secs(3)).await;
        }
        let asked = world.now;
        let shape = Shape::new(2, 8, Adjacency::Any);
        let claim = Job { shape, ..job("claim", idempotent, ms(100)) };
        let call = world.submit(at, &claim);
        if what == "worker lost" {
            world.run(ms(200)).await;
            world.vanish(0);
        }
        world.run(secs(60)).await;
        world.check(what);
        let start = *world.starts("claim").last().expect("the guarantee was honoured");
        let waited = (start - asked).as_millis();
        lines.push(format!("{what}: {} after {waited} ms", name(world.answer(call))));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    obedient: done after 29 ms
    half deaf: done after 7126 ms
    all deaf: done after 7126 ms
    worker lost: done after 7126 ms
    outage: done after 7124 ms
    ");
}

/// Symptom: borrowed work that gave way is lost. Sequence: as above, then the
/// guaranteed job ends. Cause: giving way is taken for failing.
#[actix_rt::test]
async fn work_that_gave_way_runs_again() {
    let mut world = full(0).await;
    let at = world.owner().unwrap();
    let shape = Shape::new(2, 8, Adjacency::Any);
    world.submit(at, &Job { shape, ..job("claim", false, ms(100)) });
    world.run(secs(20)).await;
    world.check("work that gave way");
    let granted: u32 = (0..4).map(|a| world.grantor(a).granted_mask().count_ones()).sum();
    assert_eq!(granted, 32, "the pool is full again");
}

/// Symptom: a cancelled bond is issued, or one that was issued is reported as
/// cancelled before it ran. Sequence: the cancel comes at any moment between
/// submission and result. Cause: the cancel races the start.
#[actix_rt::test]
async fn a_cancel_at_any_moment_is_told_truthfully() {
    let mut tally = std::collections::BTreeMap::<String, u32>::new();
    for offset in 0..40 {
        let mut world = World::settled(2, 3, 2).await;
        let (owner, at) = (world.owner().unwrap(), world.follower());
        let bond = world.submit(at, &job("bond", false, ms(20)));
        world.run(ms(offset)).await;
        let ask = Ask::Cancel { team: TEAM.to_owned(), request: "bond".to_owned() };
        let cancel = world.ask(owner, ask);
        world.run(secs(12)).await;
        world.check(&format!("cancel after {offset} ms"));
        let names = [bond, cancel].map(|call| name(world.answer(call)));
        let names = names.map(|name| name.chars().take(24).collect::<String>());
        *tally.entry(names.join(" / ")).or_default() += 1;
    }
    let lines: Vec<String> = tally.iter().map(|(what, n)| format!("{n:>3} {what}")).collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
     4 cancelled_not_run / cancelled_not_run
     1 cancelled_stopped / cancelled_stopped
    34 done / done
     1 done / refused: NotFound { fiel
    ");
}

/// Symptom: a wave of cancellations stops the start of other work. Sequence:
/// 300 jobs wait or run, all are cancelled at once, urgent work comes. Cause:
/// cancelling is worse than linear, or holds what it frees.
#[actix_rt::test]
async fn a_wave_of_cancellations_delays_no_start() {
    let mut world = World::settled(2, 4, 3).await;
    let (owner, at) = (world.owner().unwrap(), world.follower());
    for index in 0..300 {
        let request = format!("wave-{index}");
        let base = job(&request, index % 2 == 0, secs(600));
        world.submit(at, &Job { deadline: secs(3600), ..base });
    }
    world.run(secs(3)).await;
    let mut cancels = Vec::new();
    for index in 0..300 {
        let request = format!("wave-{index}");
        cancels.push(world.ask(owner, Ask::Cancel { team: TEAM.to_owned(), request }));
    }
    let asked = world.now;
    world.submit(at, &Job { urgent: true, ..job("urgent", true, ms(10)) });
    world.run(secs(10)).await;
    world.check("wave of cancellations");
    let waited = (world.starts("urgent")[0] - asked).as_millis();
    let told = cancels.iter().filter(|call| name(world.answer(**call)).starts_with("cancelled"));
    let told = told.count();
    insta::assert_snapshot!(format!("{told} told, urgent after {waited} ms"), @r"300 told, urgent after 26 ms");
}

/// Symptom: the same request has two outcomes, or another body under the same
/// id is taken for it. Sequence: the caller retries at every entry, during and
/// after the run. Cause: each entry keeps its own idea.
#[actix_rt::test]
async fn a_retry_anywhere_gets_the_same_outcome() {
    let mut world = World::settled(3, 3, 4).await;
    let mut calls: Vec<u64> =
        (0..3).map(|at| world.submit(at, &job("bond", false, ms(300)))).collect();
    world.run(secs(2)).await;
    calls.extend((0..3).map(|at| world.submit(at, &job("bond", false, ms(300)))));
    let other = Job { digest: "another body".to_owned(), ..job("bond", false, ms(300)) };
    let other = world.submit(0, &other);
    world.run(secs(2)).await;
    let owner = world.owner().unwrap();
    world.kill(Who::Entry(owner));
    let at = world.follower();
    calls.push(world.submit(at, &Job { first: false, ..job("bond", false, ms(300)) }));
    world.run(secs(6)).await;
    world.check("retries");
    assert_eq!(world.starts("bond").len(), 1);
    let names: Vec<String> = calls.iter().map(|call| name(world.answer(*call))).collect();
    insta::assert_snapshot!(format!("{}; {}", names.join(" "), name(world.answer(other))), @r"done done done done done done done; conflict, current 0");
}
