//! Guaranteed capacity is reclaimed, and cancellations report the true outcome.

use quincewheel_pool::{Adjacency, Shape};
use quincewheel_wire::{Ask, Job};

use crate::harness::{
    Cluster, OTHER, Process, TEAM, TableState, answer_name, job, ms, put_guarantee, secs, share,
};

/// Starts a cluster of four workers, filled with the other team's borrowed work,
/// of which `unresponsive` jobs ignore requests to checkpoint.
async fn full_pool(unresponsive: usize) -> Cluster {
    let mut cluster = Cluster::ready(2, 4, 1).await;
    let entry = cluster.owner().unwrap();
    let whole = Shape::new(2, 8, Adjacency::Any);
    cluster.call(entry, put_guarantee(TEAM, 0, vec![share(whole, 1)]));
    cluster.run(secs(1)).await;
    for index in 0..32 {
        let mark = if index < unresponsive { "x" } else { "" };
        let payload = format!("{mark}600000").into_bytes();
        let base = job(&format!("borrowed-{index}"), true, secs(600));
        let deadline = secs(3600);
        let borrowed = Job { team: OTHER.to_owned(), payload, deadline, ..base };
        cluster.submit(entry, &borrowed);
    }
    cluster.run(secs(2)).await;
    assert_eq!((0..4).map(|a| cluster.grantor(a).granted_mask().count_ones()).sum::<u32>(), 32);
    cluster
}

/// A team does not get its guaranteed shape from a pool full of borrowed work:
/// borrowed capacity cannot be reclaimed, or freed capacity goes to another team.
/// Some of the work ignores the request to checkpoint, a worker fails meanwhile,
/// or the table is down.
#[actix_rt::test]
async fn a_guarantee_is_reclaimed_from_a_full_pool() {
    let mut lines = Vec::new();
    for (what, unresponsive) in
        [("obedient", 0), ("half deaf", 16), ("all deaf", 32), ("worker lost", 16), ("outage", 8)]
    {
        let mut cluster = full_pool(unresponsive).await;
        let entry = cluster.follower();
        let idempotent = what == "outage";
        if what == "outage" {
            cluster.table = TableState::Down;
            cluster.run(secs(3)).await;
        }
        let submitted_at = cluster.now;
        let shape = Shape::new(2, 8, Adjacency::Any);
        let claim = Job { shape, ..job("claim", idempotent, ms(100)) };
        let call = cluster.submit(entry, &claim);
        if what == "worker lost" {
            cluster.run(ms(200)).await;
            cluster.remove_worker(0);
        }
        cluster.run(secs(60)).await;
        cluster.check_invariants(what);
        let start = *cluster.start_times("claim").last().expect("the guarantee was honoured");
        let waited = (start - submitted_at).as_millis();
        lines.push(format!("{what}: {} after {waited} ms", answer_name(cluster.answer(call))));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    obedient: done after 29 ms
    half deaf: done after 7126 ms
    all deaf: done after 7126 ms
    worker lost: done after 7126 ms
    outage: done after 7124 ms
    ");
}

/// Preempted borrowed work is lost after the guaranteed job has ended, because
/// preemption is taken for failure.
#[actix_rt::test]
async fn preempted_work_runs_again() {
    let mut cluster = full_pool(0).await;
    let entry = cluster.owner().unwrap();
    let shape = Shape::new(2, 8, Adjacency::Any);
    cluster.submit(entry, &Job { shape, ..job("claim", false, ms(100)) });
    cluster.run(secs(20)).await;
    cluster.check_invariants("preempted work");
    let granted: u32 = (0..4).map(|a| cluster.grantor(a).granted_mask().count_ones()).sum();
    assert_eq!(granted, 32, "the pool is full again");
}

/// A cancelled job runs, or a job that ran is reported as cancelled before it
/// ran, because the cancel races the start. The cancel arrives at any moment
/// between submission and result.
#[actix_rt::test]
async fn a_cancel_at_any_moment_reports_the_true_outcome() {
    let mut tally = std::collections::BTreeMap::<String, u32>::new();
    for offset in 0..40 {
        let mut cluster = Cluster::ready(2, 3, 2).await;
        let (owner, entry) = (cluster.owner().unwrap(), cluster.follower());
        let bond = cluster.submit(entry, &job("bond", false, ms(20)));
        cluster.run(ms(offset)).await;
        let ask = Ask::Cancel { team: TEAM.to_owned(), request: "bond".to_owned() };
        let cancel = cluster.call(owner, ask);
        cluster.run(secs(12)).await;
        cluster.check_invariants(&format!("cancel after {offset} ms"));
        let names = [bond, cancel].map(|call| answer_name(cluster.answer(call)));
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

/// Mass cancellation delays the start of other work, because its cost grows more
/// than linearly or freed capacity is held back. 300 queued and running jobs are
/// cancelled at once, and urgent work is submitted.
#[actix_rt::test]
async fn mass_cancellation_delays_no_start() {
    let mut cluster = Cluster::ready(2, 4, 3).await;
    let (owner, entry) = (cluster.owner().unwrap(), cluster.follower());
    for index in 0..300 {
        let request = format!("wave-{index}");
        let base = job(&request, index % 2 == 0, secs(600));
        cluster.submit(entry, &Job { deadline: secs(3600), ..base });
    }
    cluster.run(secs(3)).await;
    let mut cancels = Vec::new();
    for index in 0..300 {
        let request = format!("wave-{index}");
        cancels.push(cluster.call(owner, Ask::Cancel { team: TEAM.to_owned(), request }));
    }
    let submitted_at = cluster.now;
    cluster.submit(entry, &Job { urgent: true, ..job("urgent", true, ms(10)) });
    cluster.run(secs(10)).await;
    cluster.check_invariants("mass cancellation");
    let waited = (cluster.start_times("urgent")[0] - submitted_at).as_millis();
    let cancelled =
        cancels.iter().filter(|call| answer_name(cluster.answer(**call)).starts_with("cancelled"));
    let cancelled = cancelled.count();
    insta::assert_snapshot!(format!("{cancelled} told, urgent after {waited} ms"), @r"300 told, urgent after 26 ms");
}

/// One request gets two outcomes, or another body under the same id is taken for
/// it, because each entry decides on its own. The client retries at every entry,
/// during and after the run.
#[actix_rt::test]
async fn a_retry_anywhere_gets_the_same_outcome() {
    let mut cluster = Cluster::ready(3, 3, 4).await;
    let mut calls: Vec<u64> =
        (0..3).map(|entry| cluster.submit(entry, &job("bond", false, ms(300)))).collect();
    cluster.run(secs(2)).await;
    calls.extend((0..3).map(|entry| cluster.submit(entry, &job("bond", false, ms(300)))));
    let other = Job { digest: "another body".to_owned(), ..job("bond", false, ms(300)) };
    let other = cluster.submit(0, &other);
    cluster.run(secs(2)).await;
    let owner = cluster.owner().unwrap();
    cluster.kill(Process::Entry(owner));
    let entry = cluster.follower();
    calls.push(cluster.submit(entry, &Job { first: false, ..job("bond", false, ms(300)) }));
    cluster.run(secs(6)).await;
    cluster.check_invariants("retries");
    assert_eq!(cluster.start_times("bond").len(), 1);
    let names: Vec<String> = calls.iter().map(|call| answer_name(cluster.answer(*call))).collect();
    insta::assert_snapshot!(format!("{}; {}", names.join(" "), answer_name(cluster.answer(other))), @r"done done done done done done done; conflict, current 0");
}
