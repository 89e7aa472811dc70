//! The table refuses calls, does not reply, is slow, or applies writes and loses
//! the replies.

use quincewheel_wire::{Ask, Job};

use crate::harness::{
    Cluster, Process, TEAM, TableState, answer_name, gang, is_not_run, job, ms, put_team, secs,
};

/// An outage of the table stops running work, blocks clients, or lets a refused
/// job run, because the data path depends on the table. The table is down for
/// two hours while work runs and more is submitted.
#[actix_rt::test]
async fn work_goes_on_through_an_outage_of_hours() {
    let mut cluster = Cluster::ready(2, 3, 1).await;
    let (owner, entry) = (cluster.owner().unwrap(), cluster.follower());
    let running = Job { deadline: secs(86_400), ..job("model", false, secs(3600)) };
    let running = cluster.submit(entry, &running);
    cluster.run(secs(1)).await;
    cluster.table = TableState::Down;
    cluster.run(secs(3)).await;
    let mut refused = Vec::new();
    let mut slowest = ms(0);
    for index in 0..20 {
        let submitted_at = cluster.now;
        let call = cluster.submit(entry, &job(&format!("bond-{index}"), false, ms(5)));
        cluster.run_until_answered(call, secs(5)).await;
        slowest = slowest.max(cluster.answered_at(call).unwrap() - submitted_at);
        refused.push(call);
    }
    let screen = cluster.submit(owner, &job("screen", true, ms(100)));
    let cancel = cluster.submit(entry, &job("long-screen", true, secs(4000)));
    let change = cluster.call(owner, put_team(TEAM, 1));
    cluster.run(secs(2)).await;
    let ask = Ask::Cancel { team: TEAM.to_owned(), request: "long-screen".to_owned() };
    cluster.call(entry, ask);
    cluster.run(secs(7200)).await;
    let ended = answer_name(cluster.answer(running));
    cluster.table = TableState::Up;
    cluster.run(secs(10)).await;
    let again = cluster.submit(owner, &job("bond-0", false, ms(5)));
    cluster.run(secs(10)).await;
    cluster.check_invariants("outage of two hours");
    assert!(refused.iter().all(|call| is_not_run(cluster.answer(*call))));
    assert!(cluster.rows.value("job/banco/model").unwrap().contains("STATE_DONE"));
    let names = [screen, cancel, change, again].map(|call| answer_name(cluster.answer(call)));
    insta::assert_snapshot!(
        format!("running {ended}; refused within {slowest:?}; {}", names.join(", ")),
        @r"running done; refused within 3ms; done, cancelled_stopped, unavailable, done"
    );
}

/// A job is refused as not run and runs later. The table applies the record of
/// its start and loses the reply; the owner gives up, and in some cases dies. The
/// refusal guessed the outcome of that write, and the next owner reads "started"
/// and sends go.
#[actix_rt::test]
async fn the_outcome_of_an_unanswered_start_is_not_guessed() {
    let mut lines = Vec::new();
    for (what, fault) in [
        ("deaf", TableState::CommitRepliesLost),
        ("mute", TableState::AllRepliesLost),
        ("silent", TableState::Unresponsive),
    ] {
        for dies in [None, Some(1300), Some(4000)] {
            for at_step in 1..=8 {
                let mut cluster = Cluster::ready(3, 3, 2).await;
                let (owner, entry) = (cluster.owner().unwrap(), cluster.follower());
                let bond = cluster.submit(entry, &job("bond", false, ms(5)));
                cluster.run(ms(at_step)).await;
                cluster.table = fault;
                cluster.run(ms(dies.unwrap_or(4000))).await;
                let first = answer_name(cluster.answer(bond));
                if dies.is_some() {
                    cluster.kill(Process::Entry(owner));
                }
                cluster.table = TableState::Up;
                cluster.run(secs(30)).await;
                let retry =
                    cluster.submit(entry, &Job { first: false, ..job("bond", false, ms(5)) });
                cluster.run(secs(15)).await;
                cluster.check_invariants(&format!("{what} at {at_step} ms, owner dies: {dies:?}"));
                let last = answer_name(cluster.answer(retry));
                let starts = cluster.start_times("bond").len();
                assert!(starts <= 1 && (first != "done" || last == "done"));
                let line = format!("{what}, dies {dies:?}: {first}, then {last}, starts {starts}");
                if lines.last() != Some(&line) {
                    lines.push(line);
                }
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    deaf, dies None: done, then done, starts 1
    deaf, dies Some(1300): done, then done, starts 1
    deaf, dies Some(4000): done, then done, starts 1
    mute, dies None: not_run, then done, starts 1
    mute, dies None: done, then done, starts 1
    mute, dies Some(1300): not_run, then done, starts 1
    mute, dies Some(1300): done, then done, starts 1
    mute, dies Some(4000): not_run, then done, starts 1
    mute, dies Some(4000): done, then done, starts 1
    silent, dies None: not_run, then done, starts 1
    silent, dies None: done, then done, starts 1
    silent, dies Some(1300): not_run, then done, starts 1
    silent, dies Some(1300): done, then done, starts 1
    silent, dies Some(4000): not_run, then done, starts 1
    silent, dies Some(4000): done, then done, starts 1
    ");
}

/// A slow table delays answers without end and deposes the owner repeatedly,
/// because slowness is taken for failure. Replies take less and more than the
/// table client's timeout.
#[actix_rt::test]
async fn a_slow_table_does_not_depose_the_owner() {
    let mut lines = Vec::new();
    for slow in [300, 900, 3000] {
        let mut cluster = Cluster::ready(3, 3, 3).await;
        cluster.table = TableState::Slow(ms(slow));
        let (owner, entry) = (cluster.owner().unwrap(), cluster.follower());
        cluster.run(secs(5)).await;
        let bond = cluster.submit(entry, &job("bond", false, ms(5)));
        let screen = cluster.submit(entry, &job("screen", true, ms(5)));
        cluster.run(secs(60)).await;
        cluster.check_invariants(&format!("{slow} ms"));
        assert_eq!(cluster.owner(), Some(owner));
        let names = [bond, screen].map(|call| answer_name(cluster.answer(call)));
        lines.push(format!("{slow} ms: {}, epoch {}", names.join(" "), cluster.epoch()));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    300 ms: done done, epoch 1
    900 ms: done done, epoch 1
    3000 ms: not_run done, epoch 1
    ");
}

/// Clients hang or a result is lost when the owner dies in an outage of the
/// table: no entry can take over without the table, and calls wait for it.
#[actix_rt::test]
async fn an_outage_with_the_loss_of_the_owner_loses_nothing() {
    let mut cluster = Cluster::ready(3, 3, 4).await;
    let (owner, entry) = (cluster.owner().unwrap(), cluster.follower());
    let running = Job { deadline: secs(7200), ..job("model", false, secs(600)) };
    cluster.submit(entry, &running);
    cluster.run(secs(1)).await;
    cluster.table = TableState::Down;
    cluster.run(secs(2)).await;
    cluster.kill(Process::Entry(owner));
    cluster.run(secs(10)).await;
    let submitted_at = cluster.now;
    let bond = cluster.submit(entry, &job("bond", false, ms(5)));
    cluster.run_until_answered(bond, secs(20)).await;
    let refused = cluster.answered_at(bond).unwrap() - submitted_at;
    cluster.run(secs(1800)).await;
    assert_eq!(cluster.owner(), None, "nobody can take over");
    let reads = cluster.rows.reads;
    cluster.table = TableState::Up;
    cluster.run(secs(1)).await;
    let storm = cluster.rows.reads - reads;
    cluster.run(secs(10)).await;
    let retry = cluster.submit(entry, &Job { first: false, ..running.clone() });
    let bond = cluster.submit(entry, &Job { first: false, ..job("bond", false, ms(5)) });
    cluster.run(secs(10)).await;
    cluster.check_invariants("outage and loss of the owner");
    let names = [retry, bond].map(|call| answer_name(cluster.answer(call)));
    insta::assert_snapshot!(
        format!("refused within {refused:?}, {storm} reads in the first second, {names:?}"),
        @r#"refused within 1ms, 10 reads in the first second, ["done", "done"]"#
    );
}

/// A gang is refused as not run, then one member starts. The record of its start
/// is applied and the reply lost; the owner gives up, and only one member
/// receives the stop and refuses the attempt from then on. The owner dies; the
/// next one reads "started", reconciles the waiting member first and sends go
/// before all members have reported.
#[actix_rt::test]
async fn a_start_that_one_member_refused_is_not_resumed() {
    let mut answers = Vec::new();
    for at_step in 1..=8 {
        let mut cluster = Cluster::ready(3, 2, 5).await;
        let (owner, entry) = (cluster.owner().unwrap(), cluster.follower());
        let call = cluster.submit(entry, &gang("gang", false, ms(500), 2));
        cluster.run(ms(at_step)).await;
        cluster.table = TableState::AllRepliesLost;
        cluster.run(ms(20)).await;
        cluster.dropped_frames.insert("stop");
        cluster.partition(Process::Entry(owner), Process::Agent(1));
        cluster.run(ms(900)).await;
        cluster.dropped_frames.clear();
        cluster.run(secs(3)).await;
        cluster.kill(Process::Entry(owner));
        cluster.table = TableState::Up;
        // The member that refuses the attempt reaches no other entry for a while.
        for entry in (0..3).filter(|entry| *entry != owner) {
            cluster.partition(Process::Entry(entry), Process::Agent(0));
        }
        cluster.run(secs(6)).await;
        cluster.partitions.clear();
        cluster.run(secs(30)).await;
        cluster.check_invariants(&format!("refused by one member, at {at_step} ms"));
        answers.push(format!(
            "{} {}",
            answer_name(cluster.answer(call)),
            cluster.start_times("gang").len()
        ));
    }
    answers.dedup();
    insta::assert_snapshot!(answers.join("; "), @r"not_run 0; done 2");
}

/// Each lost reply costs the ownership, and with it every call in flight, when a
/// commit without a reply is taken for a failed one. Replies to commits are lost
/// briefly, many times.
#[actix_rt::test]
async fn lost_answers_do_not_cost_the_ownership() {
    let mut cluster = Cluster::ready(2, 2, 6).await;
    let entry = cluster.follower();
    let mut calls = Vec::new();
    for index in 0..20 {
        cluster.table = TableState::CommitRepliesLost;
        calls.push(cluster.submit(entry, &job(&format!("bond-{index}"), false, ms(5))));
        cluster.run(ms(7 + index)).await;
        cluster.table = TableState::Up;
        cluster.run(secs(2)).await;
    }
    cluster.check_invariants("lost answers");
    let done = calls.iter().filter(|call| answer_name(cluster.answer(**call)) == "done").count();
    insta::assert_snapshot!(format!("{done} done, epoch {}", cluster.epoch()), @r"20 done, epoch 1");
}
