//! Jobs from submission to result, without failures.

use crate::harness::{self, Cluster, answer_name, gang, job, ms, secs};
use quincewheel_wire::Ask;

#[actix_rt::test]
async fn jobs_of_every_kind_end() {
    let mut cluster = Cluster::ready(2, 3, 1).await;
    let (owner, follower) = (cluster.owner().unwrap(), cluster.follower());
    let bond = cluster.submit(owner, &job("bond", false, ms(20)));
    let again = cluster.submit(follower, &job("bond", false, ms(20)));
    let score = cluster.submit(follower, &gang("score", true, ms(500), 3));
    let mut detached = job("later", false, ms(50));
    detached.wait = false;
    let later = cluster.submit(follower, &detached);
    cluster.run(secs(3)).await;
    let get = Ask::Get { team: harness::TEAM.to_owned(), request: "later".to_owned() };
    let got = cluster.call(owner, get);
    cluster.run(secs(1)).await;
    cluster.check_invariants("no failures");
    let names = [bond, again, score, later, got].map(|call| answer_name(cluster.answer(call)));
    insta::assert_snapshot!(names.join(" "), @"done done done queued done");
}

#[actix_rt::test]
async fn idempotent_work_needs_no_row() {
    let mut cluster = Cluster::ready(2, 3, 2).await;
    let entry = cluster.owner().unwrap();
    cluster.run(secs(10)).await;
    let idle = cluster.rows.commits;
    cluster.run(secs(10)).await;
    let renewals = cluster.rows.commits - idle;
    for index in 0..100 {
        cluster.submit(entry, &job(&format!("screen-{index}"), true, ms(20)));
    }
    let before = cluster.rows.commits;
    cluster.run(secs(10)).await;
    assert_eq!(cluster.rows.commits - before, renewals, "only the owner's renewals");
    assert!(cluster.rows.value("job/banco/screen-1").is_none());
    cluster.check_invariants("idempotent work");
}
