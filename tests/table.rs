//! The table refuses, is silent or slow, or takes writes and loses the answers.

use quincewheel_wire::{Ask, Job};

use crate::bed::{TEAM, Table, Who, World, gang, job, ms, name, not_run, put_team, secs};

/// Symptom: an outage of the table stops running work, or callers hang, or a
/// job runs that was refused. Sequence: the table is down for two hours while
/// work runs and more comes. Cause: the data path leans on the table.
#[actix_rt::test]
async fn work_goes_on_through_an_outage_of_hours() {
    let mut world = World::settled(2, 3, 1).await;
    let (owner, at) = (world.owner().unwrap(), world.follower());
    let running = Job { deadline: secs(86_400), ..job("model", false, secs(3600)) };
    let running = world.submit(at, &running);
    world.run(secs(1)).await;
    world.table = Table::Down;
    world.run(secs(3)).await;
    let mut refused = Vec::new();
    let mut slowest = ms(0);
    for index in 0..20 {
        let asked = world.now;
        let call = world.submit(at, &job(&format!("bond-{index}"), false, ms(5)));
        world.until_answered(call, secs(5)).await;
        slowest = slowest.max(world.answered_at(call).unwrap() - asked);
        refused.push(call);
    }
    let screen = world.submit(owner, &job("screen", true, ms(100)));
    let cancel = world.submit(at, &job("long-screen", true, secs(4000)));
    let change = world.ask(owner, put_team(TEAM, 1));
    world.run(secs(2)).await;
    let ask = Ask::Cancel { team: TEAM.to_owned(), request: "long-screen".to_owned() };
    world.ask(at, ask);
    world.run(secs(7200)).await;
    let ended = name(world.answer(running));
    world.table = Table::Up;
    world.run(secs(10)).await;
    let again = world.submit(owner, &job("bond-0", false, ms(5)));
    world.run(secs(10)).await;
    world.check("outage of two hours");
    assert!(refused.iter().all(|call| not_run(world.answer(*call))));
    assert!(world.rows.value("job/banco/model").unwrap().contains("STATE_DONE"));
    let names = [screen, cancel, change, again].map(|call| name(world.answer(call)));
    insta::assert_snapshot!(
        format!("running {ended}; refused within {slowest:?}; {}", names.join(", ")),
        @r"running done; refused within 3ms; done, cancelled_stopped, unavailable, done"
    );
}

/// Symptom: a bond is refused as not run and issued later. Sequence: the table
/// takes the record of its start and loses the answer; the owner gives up, and
/// sometimes dies. Cause: the refusal is a guess about a write whose outcome is
/// not known, and the next owner reads "started" and says go.
#[actix_rt::test]
async fn a_lost_answer_to_the_start_is_not_guessed() {
    let mut lines = Vec::new();
    for (what, fault) in [("deaf", Table::Deaf), ("mute", Table::Mute), ("silent", Table::Silent)] {
        for dies in [None, Some(1300), Some(4000)] {
            for at_step in 1..=8 {
                let mut world = World::settled(3, 3, 2).await;
                let (owner, at) = (world.owner().unwrap(), world.follower());
                let bond = world.submit(at, &job("bond", false, ms(5)));
                world.run(ms(at_step)).await;
                world.table = fault;
                world.run(ms(dies.unwrap_or(4000))).await;
                let first = name(world.answer(bond));
                if dies.is_some() {
                    world.kill(Who::Entry(owner));
                }
                world.table = Table::Up;
                world.run(secs(30)).await;
                let retry = world.submit(at, &Job { first: false, ..job("bond", false, ms(5)) });
                world.run(secs(15)).await;
                world.check(&format!("{what} at {at_step} ms, owner dies: {dies:?}"));
                let last = name(world.answer(retry));
                let starts = world.starts("bond").len();
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

/// Symptom: answers come late or not at all while the table is slow; the owner
/// is deposed again and again. Sequence: every answer takes long, below and
/// above the client's timeout. Cause: slowness is taken for death.
#[actix_rt::test]
async fn a_slow_table_delays_and_does_not_confuse() {
    let mut lines = Vec::new();
    for slow in [300, 900, 3000] {
        let mut world = World::settled(3, 3, 3).await;
        world.table = Table::Slow(ms(slow));
        let (owner, at) = (world.owner().unwrap(), world.follower());
        world.run(secs(5)).await;
        let bond = world.submit(at, &job("bond", false, ms(5)));
        let screen = world.submit(at, &job("screen", true, ms(5)));
        world.run(secs(60)).await;
        world.check(&format!("{slow} ms"));
        assert_eq!(world.owner(), Some(owner));
        let names = [bond, screen].map(|call| name(world.answer(call)));
        lines.push(format!("{slow} ms: {}, epoch {}", names.join(" "), world.epoch()));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    300 ms: done done, epoch 1
    900 ms: done done, epoch 1
    3000 ms: not_run done, epoch 1
    ");
}

/// Symptom: callers hang, or a result is lost. Sequence: the table is down and
/// the owner dies; later both are back. Cause: nobody can take over without the
/// table, and callers are kept waiting for it.
#[actix_rt::test]
async fn an_outage_with_the_loss_of_the_owner_loses_nothing() {
    let mut world = World::settled(3, 3, 4).await;
    let (owner, at) = (world.owner().unwrap(), world.follower());
    let running = Job { deadline: secs(7200), ..job("model", false, secs(600)) };
    world.submit(at, &running);
    world.run(secs(1)).await;
    world.table = Table::Down;
    world.run(secs(2)).await;
    world.kill(Who::Entry(owner));
    world.run(secs(10)).await;
    let asked = world.now;
    let bond = world.submit(at, &job("bond", false, ms(5)));
    world.until_answered(bond, secs(20)).await;
    let refused = world.answered_at(bond).unwrap() - asked;
    world.run(secs(1800)).await;
    assert_eq!(world.owner(), None, "nobody can take over");
    let reads = world.rows.reads;
    world.table = Table::Up;
    world.run(secs(1)).await;
    let storm = world.rows.reads - reads;
    world.run(secs(10)).await;
    let retry = world.submit(at, &Job { first: false, ..running.clone() });
    let bond = world.submit(at, &Job { first: false, ..job("bond", false, ms(5)) });
    world.run(secs(10)).await;
    world.check("outage and loss of the owner");
    let names = [retry, bond].map(|call| name(world.answer(call)));
    insta::assert_snapshot!(
        format!("refused within {refused:?}, {storm} reads in the first second, {names:?}"),
        @r#"refused within 1ms, 10 reads in the first second, ["done", "done"]"#
    );
}

/// Symptom: a gang is refused as not run, then one member of it starts. Sequence:
/// the record of its start is taken and the answer lost; the owner gives up; one
/// member buries the attempt, the other does not hear of it; the owner dies; the
/// next one reads "started" and hears first from the member that waits. Cause:
/// it says go before it has heard from all.
#[actix_rt::test]
async fn a_start_that_one_member_buried_stays_buried() {
    let mut answers = Vec::new();
    for at_step in 1..=8 {
        let mut world = World::settled(3, 2, 5).await;
        let (owner, at) = (world.owner().unwrap(), world.follower());
        let call = world.submit(at, &gang("gang", false, ms(500), 2));
        world.run(ms(at_step)).await;
        world.table = Table::Mute;
        world.run(ms(20)).await;
        world.lost.insert("stop");
        world.cut(Who::Entry(owner), Who::Agent(1));
        world.run(ms(900)).await;
        world.lost.clear();
        world.run(secs(3)).await;
        world.kill(Who::Entry(owner));
        world.table = Table::Up;
        // The member that buried it reaches no other entry for a while.
        for entry in (0..3).filter(|entry| *entry != owner) {
            world.cut(Who::Entry(entry), Who::Agent(0));
        }
        world.run(secs(6)).await;
        world.cuts.clear();
        world.run(secs(30)).await;
        world.check(&format!("buried, at {at_step} ms"));
        answers.push(format!("{} {}", name(world.answer(call)), world.starts("gang").len()));
    }
    answers.dedup();
    insta::assert_snapshot!(answers.join("; "), @r"not_run 0; done 2");
}

/// Symptom: each lost answer costs an ownership, and with it every call in
/// flight. Sequence: the answers to commits are lost for a moment, many times.
/// Cause: a commit without an answer is taken for one that failed.
#[actix_rt::test]
async fn lost_answers_do_not_cost_the_ownership() {
    let mut world = World::settled(2, 2, 6).await;
    let at = world.follower();
    let mut calls = Vec::new();
    for index in 0..20 {
        world.table = Table::Deaf;
        calls.push(world.submit(at, &job(&format!("bond-{index}"), false, ms(5))));
        world.run(ms(7 + index)).await;
        world.table = Table::Up;
        world.run(secs(2)).await;
    }
    world.check("lost answers");
    let done = calls.iter().filter(|call| name(world.answer(**call)) == "done").count();
    insta::assert_snapshot!(format!("{done} done, epoch {}", world.epoch()), @r"20 done, epoch 1");
}
