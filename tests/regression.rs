//! Faults that the seeded schedules found, each as the shortest sequence that
//! shows it. The seeds themselves don't repeat a fault once timing changes.

use quincewheel_wire::{Ask, Job};

use crate::harness::{Cluster, Process, TEAM, TableState, answer_name, is_not_run, job, ms, secs};

fn retry(job: &Job) -> Job {
    Job { first: false, ..job.clone() }
}

fn cancel_call(request: &str) -> Ask {
    Ask::Cancel { team: TEAM.to_owned(), request: request.to_owned() }
}

/// A job runs after its client got "not run". It is refused in an outage of the
/// table, and a duplicate of the call's frame arrives after the outage and is
/// taken for a new attempt.
#[actix_rt::test]
async fn a_duplicated_call_is_not_a_new_attempt() {
    let mut cluster = Cluster::ready(2, 2, 1).await;
    let entry = cluster.follower();
    cluster.table = TableState::Down;
    cluster.run(secs(3)).await;
    cluster.duplicated_frames.insert("ask", secs(15));
    let call = cluster.submit(entry, &job("bond", false, ms(5)));
    cluster.run(secs(1)).await;
    assert!(is_not_run(cluster.answer(call)));
    cluster.table = TableState::Up;
    cluster.run(secs(30)).await;
    cluster.check_invariants("doubled call");
    assert!(cluster.start_times("bond").is_empty());
}

/// A client gets "not run" while its job runs. The first call is refused in an
/// outage and the refusal is delayed; a retry at another entry after the outage
/// overtakes it.
#[actix_rt::test]
async fn a_refusal_is_not_overtaken_by_a_retry() {
    let mut cluster = Cluster::ready(3, 2, 2).await;
    let owner = cluster.owner().unwrap();
    let others: Vec<usize> = (0..3).filter(|entry| *entry != owner).collect();
    cluster.table = TableState::Down;
    cluster.run(secs(3)).await;
    cluster.delayed_frames.insert("answer", ms(900));
    let bond = job("bond", false, ms(5));
    let first = cluster.submit(others[0], &bond);
    cluster.run(ms(10)).await;
    cluster.table = TableState::Up;
    cluster.run(ms(700)).await;
    cluster.delayed_frames.clear();
    let second = cluster.submit(others[1], &retry(&bond));
    cluster.run(secs(20)).await;
    cluster.check_invariants("overtaken refusal");
    assert!(is_not_run(cluster.answer(first)), "{}", answer_name(cluster.answer(first)));
    assert!(is_not_run(cluster.answer(second)), "{}", answer_name(cluster.answer(second)));
}

/// A refused job runs after the outage. Its members don't answer, so it returns
/// to the queue in the outage and is refused there; then work that waits for the
/// table is queued again without a check of its current state.
#[actix_rt::test]
async fn what_was_refused_in_an_outage_stays_refused() {
    let mut cluster = Cluster::ready(2, 2, 3).await;
    let entry = cluster.follower();
    cluster.dropped_frames.insert("prepared");
    let call = cluster.submit(entry, &job("bond", false, ms(5)));
    cluster.run(ms(5)).await;
    cluster.table = TableState::Down;
    cluster.run(secs(6)).await;
    let refused = is_not_run(cluster.answer(call));
    cluster.dropped_frames.clear();
    cluster.table = TableState::Up;
    cluster.run(secs(20)).await;
    cluster.check_invariants("refused in an outage");
    assert!(refused && cluster.start_times("bond").is_empty());
}

/// A cancelled job runs. It was accepted and waits; it is cancelled in an outage
/// and the owner dies before it records that. The cancellation was reported
/// before its record, and the next owner reads "queued".
#[actix_rt::test]
async fn a_cancellation_in_an_outage_is_not_reported_before_it_is_recorded() {
    let mut cluster = Cluster::ready(3, 1, 4).await;
    let (owner, entry) = (cluster.owner().unwrap(), cluster.follower());
    for index in 0..8 {
        cluster.submit(entry, &job(&format!("screen-{index}"), true, secs(20)));
    }
    let promised = Job { wait: false, first: false, ..job("bond", false, ms(5)) };
    let call = cluster.submit(entry, &promised);
    cluster.run(secs(1)).await;
    assert_eq!(answer_name(cluster.answer(call)), "queued");
    cluster.table = TableState::Down;
    cluster.run(secs(3)).await;
    let cancellation = cluster.call(owner, cancel_call("bond"));
    cluster.run(secs(2)).await;
    let cancellation = answer_name(cluster.answer(cancellation));
    cluster.kill(Process::Entry(owner));
    cluster.table = TableState::Up;
    cluster.run(secs(40)).await;
    cluster.check_invariants("cancelled in an outage");
    let again = cluster.submit(entry, &promised);
    cluster.run(secs(2)).await;
    insta::assert_snapshot!(format!("told {cancellation}, later {}", answer_name(cluster.answer(again))), @r"told none, later done");
}

/// A client gets "not run" from a former owner about a job that the next owner
/// ran. The owner is partitioned from all others and from the table; another
/// takes over and runs the job; the client retries at the first, which may not
/// have noticed that it was replaced.
#[actix_rt::test]
async fn a_replaced_owner_never_answers_not_run() {
    let mut lines = Vec::new();
    for wait in [0, 500, 1200, 5000, 30_000] {
        let mut cluster = Cluster::ready(3, 3, 5).await;
        let (old, entry) = (cluster.owner().unwrap(), cluster.follower());
        cluster.isolate(Process::Entry(old));
        cluster.run(secs(5)).await;
        let bond = job("bond", false, ms(5));
        let done = cluster.submit(entry, &retry(&bond));
        cluster.run(ms(wait)).await;
        let denied = cluster.submit(old, &retry(&bond));
        let get = cluster.call(old, Ask::Get { team: TEAM.to_owned(), request: "bond".to_owned() });
        cluster.run(secs(20)).await;
        cluster.check_invariants(&format!("asked after {wait} ms"));
        let names = [done, denied, get].map(|call| answer_name(cluster.answer(call)));
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

/// "Cancelled, not run" is reported about a job that ran. It failed once, waits
/// for another worker and is cancelled; being queued was taken as proof that it
/// had not run.
#[actix_rt::test]
async fn a_cancelled_job_that_had_run_is_reported_as_stopped() {
    let mut cluster = Cluster::ready(2, 1, 6).await;
    let entry = cluster.owner().unwrap();
    cluster.fail_all_tasks(0);
    let screen = cluster.submit(entry, &job("screen", true, ms(5)));
    cluster.run(secs(1)).await;
    let cancellation = cluster.call(entry, cancel_call("screen"));
    cluster.run(secs(1)).await;
    cluster.check_invariants("cancelled after a failure");
    let names = [screen, cancellation].map(|call| answer_name(cluster.answer(call)));
    insta::assert_snapshot!(names.join(" "), @r"cancelled_stopped cancelled_stopped");
}

/// "Not run" is answered about idempotent work that ran. It runs under an owner
/// that dies, and its agent does not reach the next owner; the client retries
/// and the deadline passes. Such work has no row in the table.
#[actix_rt::test]
async fn unrecorded_work_is_never_answered_not_run() {
    let mut cluster = Cluster::ready(3, 1, 7).await;
    let owner = cluster.owner().unwrap();
    let others: Vec<usize> = (0..3).filter(|entry| *entry != owner).collect();
    cluster.submit(owner, &job("screen", true, secs(2)));
    cluster.run(ms(500)).await;
    for entry in &others {
        cluster.partition(Process::Entry(*entry), Process::Agent(0));
    }
    cluster.kill(Process::Entry(owner));
    cluster.run(secs(5)).await;
    let again = Job { deadline: secs(1), ..retry(&job("screen", true, secs(2))) };
    let again = cluster.submit(others[0], &again);
    cluster.run(secs(5)).await;
    cluster.check_invariants("no record");
    insta::assert_snapshot!(answer_name(cluster.answer(again)), @r"unavailable");
}
