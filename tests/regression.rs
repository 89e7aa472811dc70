//! Faults that seeded schedules found, each as the shortest sequence that shows
//! it. The seeds themselves shift whenever timing changes.

use quincewheel_wire::{Ask, Job};

use crate::bed::{TEAM, Table, Who, World, job, ms, name, not_run, secs};

fn retry(job: &Job) -> Job {
    Job { first: false, ..job.clone() }
}

fn cancel(request: &str) -> Ask {
    Ask::Cancel { team: TEAM.to_owned(), request: request.to_owned() }
}

/// Symptom: a bond runs after its caller was told that it did not. Sequence: it
/// is refused in an outage, and the frame that carried it comes a second time
/// when the table is back. Cause: the copy is taken for a new try.
#[actix_rt::test]
async fn a_doubled_call_is_not_a_new_try() {
    let mut world = World::settled(2, 2, 1).await;
    let at = world.follower();
    world.table = Table::Down;
    world.run(secs(3)).await;
    world.twice.insert("ask", secs(15));
    let call = world.submit(at, &job("bond", false, ms(5)));
    world.run(secs(1)).await;
    assert!(not_run(world.answer(call)));
    world.table = Table::Up;
    world.run(secs(30)).await;
    world.check("doubled call");
    assert!(world.starts("bond").is_empty());
}

/// Symptom: a caller reads "not run" while the bond is being issued. Sequence:
/// its first try is refused in an outage, the refusal is slow to arrive; it
/// tries again elsewhere when the table is back. Cause: the second try overtakes
/// the refusal of the first.
#[actix_rt::test]
async fn a_refusal_is_not_overtaken_by_a_second_try() {
    let mut world = World::settled(3, 2, 2).await;
    let owner = world.owner().unwrap();
    let others: Vec<usize> = (0..3).filter(|at| *at != owner).collect();
    world.table = Table::Down;
    world.run(secs(3)).await;
    world.late.insert("answer", ms(900));
    let bond = job("bond", false, ms(5));
    let first = world.submit(others[0], &bond);
    world.run(ms(10)).await;
    world.table = Table::Up;
    world.run(ms(700)).await;
    world.late.clear();
    let second = world.submit(others[1], &retry(&bond));
    world.run(secs(20)).await;
    world.check("overtaken refusal");
    assert!(not_run(world.answer(first)), "{}", name(world.answer(first)));
    assert!(not_run(world.answer(second)), "{}", name(world.answer(second)));
}

/// Symptom: a refused bond runs when the table is back. Sequence: its members do
/// not answer, so that it goes back to the queue in an outage; there it is
/// refused. Cause: what waits for the table is put back without a look at what
/// became of it.
#[actix_rt::test]
async fn what_was_refused_in_an_outage_stays_refused() {
    let mut world = World::settled(2, 2, 3).await;
    let at = world.follower();
    world.lost.insert("prepared");
    let call = world.submit(at, &job("bond", false, ms(5)));
    world.run(ms(5)).await;
    world.table = Table::Down;
    world.run(secs(6)).await;
    let refused = not_run(world.answer(call));
    world.lost.clear();
    world.table = Table::Up;
    world.run(secs(20)).await;
    world.check("refused in an outage");
    assert!(refused && world.starts("bond").is_empty());
}

/// Symptom: a bond that was cancelled is issued. Sequence: it was promised and
/// waits; it is cancelled in an outage; the owner dies before it could write
/// that down. Cause: the cancellation is told before it is recorded, and the
/// next owner reads "queued".
#[actix_rt::test]
async fn a_cancellation_in_an_outage_is_not_told_before_its_record() {
    let mut world = World::settled(3, 1, 4).await;
    let (owner, at) = (world.owner().unwrap(), world.follower());
    for index in 0..8 {
        world.submit(at, &job(&format!("screen-{index}"), true, secs(20)));
    }
    let promised = Job { wait: false, first: false, ..job("bond", false, ms(5)) };
    let call = world.submit(at, &promised);
    world.run(secs(1)).await;
    assert_eq!(name(world.answer(call)), "queued");
    world.table = Table::Down;
    world.run(secs(3)).await;
    let told = world.ask(owner, cancel("bond"));
    world.run(secs(2)).await;
    let told = name(world.answer(told));
    world.kill(Who::Entry(owner));
    world.table = Table::Up;
    world.run(secs(40)).await;
    world.check("cancelled in an outage");
    let again = world.submit(at, &promised);
    world.run(secs(2)).await;
    insta::assert_snapshot!(format!("told {told}, later {}", name(world.answer(again))), @r"told none, later done");
}

/// Symptom: a caller reads "not run" at an entry whose ownership is over, about
/// a bond that its next owner issued. Sequence: the owner is cut off from all
/// and from the table; another takes over and runs the bond; the caller tries
/// again at the first. Cause: an owner that was replaced need not notice.
#[actix_rt::test]
async fn a_replaced_owner_denies_nothing() {
    let mut lines = Vec::new();
    for wait in [0, 500, 1200, 5000, 30_000] {
        let mut world = World::settled(3, 3, 5).await;
        let (old, at) = (world.owner().unwrap(), world.follower());
        world.isolate(Who::Entry(old));
        world.run(secs(5)).await;
        let bond = job("bond", false, ms(5));
        let done = world.submit(at, &retry(&bond));
        world.run(ms(wait)).await;
        let denied = world.submit(old, &retry(&bond));
        let get = world.ask(old, Ask::Get { team: TEAM.to_owned(), request: "bond".to_owned() });
        world.run(secs(20)).await;
        world.check(&format!("asked after {wait} ms"));
        let names = [done, denied, get].map(|call| name(world.answer(call)));
        lines.push(format!("after {wait} ms: {}", names.join(", ")));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    after 0 ms: done, unavailable, unavailable
    after 500 ms: done, unavailable, unavailable
    after 1200 ms: done, unavailable, unavailable
    after 5000 ms: done, unavailable, unavailable
    after 30000 ms: done, unavailable, unavailable
    ");
}

/// Symptom: "cancelled, not run" about a job that ran. Sequence: it failed once,
/// waits for another worker and is cancelled. Cause: whether it ran is judged by
/// its place in the queue.
#[actix_rt::test]
async fn a_cancelled_job_that_had_run_is_told_so() {
    let mut world = World::settled(2, 1, 6).await;
    let at = world.owner().unwrap();
    world.fail_all(0);
    let screen = world.submit(at, &job("screen", true, ms(5)));
    world.run(secs(1)).await;
    let told = world.ask(at, cancel("screen"));
    world.run(secs(1)).await;
    world.check("cancelled after a failure");
    let names = [screen, told].map(|call| name(world.answer(call)));
    insta::assert_snapshot!(names.join(" "), @r"cancelled_stopped cancelled_stopped");
}

/// Symptom: "not run" about idempotent work that ran. Sequence: it runs under an
/// owner that dies; its agent does not reach the next one; the caller tries
/// again, and its deadline passes. Cause: such work leaves no record.
#[actix_rt::test]
async fn nothing_is_denied_about_work_without_a_record() {
    let mut world = World::settled(3, 1, 7).await;
    let owner = world.owner().unwrap();
    let others: Vec<usize> = (0..3).filter(|at| *at != owner).collect();
    world.submit(owner, &job("screen", true, secs(2)));
    world.run(ms(500)).await;
    for entry in &others {
        world.cut(Who::Entry(*entry), Who::Agent(0));
    }
    world.kill(Who::Entry(owner));
    world.run(secs(5)).await;
    let again = Job { deadline: secs(1), ..retry(&job("screen", true, secs(2))) };
    let again = world.submit(others[0], &again);
    world.run(secs(5)).await;
    world.check("no record");
    insta::assert_snapshot!(name(world.answer(again)), @r"unavailable");
}
