//! Which work is preempted for which. The load is a full pool into which jobs of priority 0 come;
//! most of them are gangs of whole workers, and none can wait for more than half of its run time.

mod harness;

use harness::{Harness, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_dispatch::Settings;
use quincewheel_job::{Config, How, Job, Resources, Run, Step, Team};
use quincewheel_wire::Notice;

/// Fills a worker with a run of a job of this name, started `age` ms ago.
fn fill_worker(harness: &mut Harness, number: u64, name: &str, priority: u32, age: u64) {
    harness.owner.add_job(name, job(priority, vec![step(1, 8)]), 150 + number, None);
    harness.report_status(number, &[], &[]);
    harness.report_status(number, &[run(task(name, 0, 0), 1)], &[]);
    harness.take_orders();
    harness.advance(age);
}

fn urgent_job(steps: Vec<Step>, now: u64) -> Job {
    let mut job = job(0, steps);
    job.queue.stretch = 1.5;
    job.queue.slack = 250;
    Job { accepted: now, ..job }
}

fn set_guarantee(harness: &mut Harness, accelerators: u64) {
    let team = Team { name: "t".into(), guaranteed: accelerators, ..Team::default() };
    let teams = [("t".to_owned(), team)].into();
    harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
}

#[test]
fn guaranteed_job_preempts_the_run_that_loses_least() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    set_guarantee(&mut harness, 8);
    fill_worker(&mut harness, 0, "old", 1, 1500);
    fill_worker(&mut harness, 1, "young", 1, 200);
    harness.owner.add_job("g", urgent_job(vec![step(1, 8)], harness.now), 200, None);
    harness.tick();
    let stopped = harness.take_orders();
    harness.report_status(1, &[], &[end(1, task("young", 0, 0), 1, How::Stopped)]);
    assert_snapshot!(format!("{stopped}\n-- stopped\n{}", harness.take_orders()), @r"
    w1 stop young.0.0.0 run 1
    -- stopped
    w1 start g.0.0.0 run 1
    ");
}

// Who took the capacity is the first question of a reader of the logs, and no line answered it.
#[test]
fn end_of_a_preempted_run_is_logged_with_the_job_it_was_preempted_for() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    set_guarantee(&mut harness, 8);
    fill_worker(&mut harness, 0, "young", 1, 200);
    harness.owner.add_job("g", urgent_job(vec![step(1, 8)], harness.now), 200, None);
    harness.tick();
    harness.logged_events = vec!["run ended"];
    harness.report_status(0, &[], &[end(1, task("young", 0, 0), 1, How::Stopped)]);
    assert_snapshot!(
        harness.take_logs(),
        @"run ended young: young.0.0.0 run 1 Stopped at w0, started after 0 ms, ran 200 ms, for g"
    );
}

#[test]
fn beyond_its_guarantee_a_job_preempts_only_where_little_is_lost() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    fill_worker(&mut harness, 0, "old", 1, 2300);
    harness.owner.add_job("u", urgent_job(vec![step(1, 8)], harness.now), 200, None);
    harness.tick();
    let large_loss = harness.take_orders();
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    fill_worker(&mut harness, 0, "young", 1, 1500);
    harness.owner.add_job("u", urgent_job(vec![step(1, 8)], harness.now), 200, None);
    harness.tick();
    assert_snapshot!(format!("old: {large_loss}\nyoung: {}", harness.take_orders()), @r"
    old: nothing
    young: w0 stop young.0.0.0 run 1
    ");
}

// More work was thrown away than done: a job of priority 0 that was too late to meet its objective
// preempted others, which started first and were preempted again.
#[test]
fn late_job_preempts_nothing() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    fill_worker(&mut harness, 0, "young", 1, 200);
    harness.owner.add_job("late", urgent_job(vec![step(1, 8)], harness.now - 2000), 200, None);
    harness.tick();
    assert_snapshot!(harness.take_orders(), @r"nothing");
}

#[test]
fn runs_of_the_same_priority_are_not_preempted() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    set_guarantee(&mut harness, 8);
    fill_worker(&mut harness, 0, "equal", 0, 200);
    harness.owner.add_job("g", urgent_job(vec![step(1, 8)], harness.now), 200, None);
    harness.tick();
    assert_snapshot!(harness.take_orders(), @r"nothing");
}

// A guaranteed job did not start though its team held nothing: another team's jobs of priority 0
// filled the pool beyond their own guarantee, and only lower priorities were preempted. Borrowed
// capacity is reclaimed just in time for the guarantee, since the run may end before that.
#[test]
fn borrowed_capacity_is_preempted_in_time_for_a_guarantee() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let team = |name: &str, guaranteed| {
        (name.to_owned(), Team { name: name.into(), guaranteed, ..Team::default() })
    };
    let teams = [team("t", 8), team("other", 8)].into();
    harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
    fill_worker(&mut harness, 0, "own", 0, 100);
    fill_worker(&mut harness, 1, "borrowed", 0, 100);
    let theirs = Job { team: "other".into(), ..urgent_job(vec![step(1, 8)], harness.now) };
    harness.owner.add_job("g", theirs, 200, None);
    harness.tick();
    let at_once = harness.take_orders();
    harness.advance(1100);
    assert_snapshot!(format!("{at_once}\n-- after 1,100 ms\n{}", harness.take_orders()), @r"
    nothing
    -- after 1,100 ms
    w1 stop borrowed.0.0.0 run 1
    ");
}

// An urgent job preempted a run that was nearly done: the run is at 80 percent after 800 ms and
// would end within 200 ms, while a stop takes up to 900 ms. The remaining time of runs was not
// considered.
#[test]
fn run_close_to_its_end_is_not_preempted() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("old", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.advance(800);
    let listed = Run { percent: 80, ..run(task("old", 0, 0), 1) };
    harness.report_status(0, &[listed], &[]);
    harness.take_orders();
    harness.owner.add_job("u", urgent_job(vec![step(1, 8)], harness.now), 200, None);
    harness.tick();
    let waiting = harness.take_orders();
    harness.advance(200);
    harness.report_status(0, &[], &[end(1, task("old", 0, 0), 1, How::Done)]);
    assert_snapshot!(format!("{waiting}\n-- done\n{}", harness.take_orders()), @r"
    nothing
    -- done
    w0 start u.0.0.0 run 1
    ");
}

// Jobs waited for seconds for capacity that others had already taken: capacity is being freed for
// one job when a guaranteed job comes, ranks before it and takes it. The first went on waiting
// until its reservation expired.
#[test]
fn reservation_taken_by_a_better_rank_is_made_again() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    set_guarantee(&mut harness, 8);
    fill_worker(&mut harness, 0, "young", 1, 100);
    fill_worker(&mut harness, 1, "old", 1, 900);
    let other = Job { team: "other".into(), ..urgent_job(vec![step(1, 8)], harness.now) };
    harness.owner.add_job("u", other, 200, None);
    harness.tick();
    let first = harness.take_orders();
    harness.owner.add_job("g", urgent_job(vec![step(1, 8)], harness.now), 201, None);
    harness.tick();
    assert_snapshot!(format!("{first}\n-- guaranteed\n{}", harness.take_orders()), @r"
    w1 stop old.0.0.0 run 1
    -- guaranteed
    w0 stop young.0.0.0 run 1
    ");
}

// Load: long jobs with much slack fill a pool, each part of which could hold urgent gangs. They
// took the last whole workers, so each urgent gang had to preempt some of them.
#[test]
fn job_with_slack_leaves_the_last_whole_workers_to_urgent_work() {
    let mut harness = Harness::new(1, 6).with_idle_workers(6);
    let relaxed = |now| {
        let need = Resources { cpu: 60_000, memory: 250_000, accelerators: 8 };
        let mut job = job(1, vec![Step { estimate: 9000, need, ..step(1, 8) }]);
        job.queue.stretch = 3.0;
        Job { accepted: now, ..job }
    };
    for number in 0..6 {
        harness.owner.add_job(&format!("easy{number}"), relaxed(harness.now), 150 + number, None);
    }
    harness.tick();
    let at_first = harness.take_orders().lines().count();
    for _ in 0..16 {
        harness.advance(1000);
        for number in 0..6 {
            harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
        }
    }
    let when_urgent = harness.take_orders();
    assert_snapshot!(format!("{at_first} of 6 at first\n-- when time presses\n{when_urgent}"), @r"
    5 of 6 at first
    -- when time presses
    w3 start easy5.0.0.0 run 1
    ");
}

// At the end of a day a job stood still beside idle workers: little runs, and the last whole
// workers are kept free for urgent work that does not come. The job has ten seconds of slack and
// waited until it had used them up.
#[test]
fn job_of_which_nothing_runs_starts_in_a_pool_that_is_half_free() {
    let mut harness = Harness::new(1, 4).with_idle_workers(4);
    for number in 1..4 {
        harness.owner.add_job(
            &format!("small{number}"),
            job(0, vec![step(1, 5)]),
            140 + number,
            None,
        );
        harness.tick();
    }
    harness.take_orders();
    let mut relaxed = job(1, vec![Step { estimate: 9000, ..step(1, 8) }]);
    relaxed.queue.stretch = 3.0;
    harness.owner.add_job("easy", Job { accepted: harness.now, ..relaxed }, 150, None);
    harness.tick();
    let at_first = harness.take_orders();
    harness.advance(1600);
    assert_snapshot!(format!("{at_first}\n-- 1,600 ms\n{}", harness.take_orders()), @r"
    nothing
    -- 1,600 ms
    w3 start easy.0.0.0 run 1
    ");
}

// A guaranteed job started seconds too late. Four fifths of the workers are lost; a guaranteed gang
// of one team fills the two that are left when a job within another team's guarantee comes.
// Guaranteed work that had started was never preempted for other guaranteed work, though a
// guarantee is a promise about the start only.
#[test]
fn guaranteed_job_starts_in_time_in_a_pool_full_of_other_guaranteed_work() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let team = |name: &str, guaranteed| {
        (name.to_owned(), Team { name: name.into(), guaranteed, ..Team::default() })
    };
    let teams = [team("t", 8), team("u", 16)].into();
    harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
    let mut gang = urgent_job(vec![Step { gang: true, ..step(2, 8) }], harness.now);
    gang.team = "u".into();
    harness.owner.add_job("begun", gang, 150, None);
    harness.tick();
    (0..2).for_each(|at| harness.report_status(at, &[run(task("begun", 0, at as u32), 1)], &[]));
    harness.advance(1000);
    harness.take_orders();
    harness.owner.add_job("waits", urgent_job(vec![step(1, 8)], harness.now), 200, None);
    let mut orders = String::new();
    for _ in 0..Settings::default().reclaim_deadline / 100 {
        harness.advance_with_pings(100, 2);
        let new_orders = harness.take_orders();
        for at in (0..2).filter(|at| new_orders.contains(&format!("w{at} stop"))) {
            harness.report_status(at, &[], &[end(1, task("begun", 0, at as u32), 1, How::Stopped)]);
        }
        orders += &new_orders;
    }
    assert!(orders.contains("start waits.0.0.0"), "{orders}");
}

// Load: guaranteed jobs of several teams come in turn into a pool that holds one of them. The same
// work was preempted again and again, so that all started and none ended.
#[test]
fn guaranteed_work_is_preempted_for_another_guarantee_once_only() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    let team = |name: &str| {
        (name.to_owned(), Team { name: name.into(), guaranteed: 8, ..Team::default() })
    };
    let teams = [team("a"), team("b"), team("c"), team("d")].into();
    harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
    let mut end_number = 0;
    let mut orders = String::new();
    for (name, at) in [("a", 150), ("b", 151), ("c", 152), ("d", 153)] {
        if name == "d" {
            // The first preempted job starts again, and is not preempted a second time.
            harness.owner.cancel("c", harness.now);
            harness.report_status(0, &[], &[end(9, task("c", 0, 0), 1, How::Stopped)]);
        }
        let job = Job { team: name.into(), ..urgent_job(vec![step(1, 8)], harness.now) };
        harness.owner.add_job(name, job, at, None);
        for _ in 0..27 {
            harness.advance_with_pings(100, 1);
            let new_orders = harness.take_orders();
            for order in new_orders.lines().filter(|order| *order != "nothing") {
                let words: Vec<&str> = order.split(' ').collect();
                let run_number: u64 = words[4].parse().unwrap();
                let task = task(&words[2][..1], 0, 0);
                match words[1] {
                    "start" => harness.report_status(0, &[run(task, run_number)], &[]),
                    _ => {
                        end_number += 1;
                        harness.report_status(
                            0,
                            &[],
                            &[end(end_number, task, run_number, How::Stopped)],
                        );
                    }
                }
                orders += &format!("{order}\n");
            }
        }
    }
    assert_snapshot!(orders.replace(" \n", "\n"), @r"
    w0 start a.0.0.0 run 1
    w0 stop a.0.0.0 run 1
    w0 start b.0.0.0 run 1
    w0 stop b.0.0.0 run 1
    w0 start c.0.0.0 run 1
    w0 stop c.0.0.0 run 1
    w0 start a.0.0.0 run 2
    ");
}

// A guaranteed job started 0.3 s too late, though capacity was freed in time: while the stops are
// under way, another team's guaranteed job that was accepted earlier finds the capacity about to be
// free and takes it. Reserved capacity was open to every better rank.
#[test]
fn capacity_being_freed_for_a_guarantee_is_kept_for_its_job() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let team = |name: &str, guaranteed| {
        (name.to_owned(), Team { name: name.into(), guaranteed, ..Team::default() })
    };
    let teams = [team("t", 8), team("u", 8), team("v", 8)].into();
    harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
    fill_worker(&mut harness, 0, "low", 1, 500);
    fill_worker(&mut harness, 1, "firm", 0, 500);
    let owed = Job { team: "v".into(), ..urgent_job(vec![step(1, 8)], harness.now) };
    harness.owner.add_job("owed", owed, 200, None);
    harness.tick();
    let first = harness.take_orders();
    let older = Job { team: "u".into(), ..urgent_job(vec![step(1, 8)], harness.now - 300) };
    harness.owner.add_job("older", older, 190, None);
    harness.advance_with_pings(100, 2);
    harness.report_status(0, &[], &[end(1, task("low", 0, 0), 1, How::Stopped)]);
    harness.advance_with_pings(100, 2);
    assert_snapshot!(format!("{first}\n--\n{}", harness.take_orders()), @r"
    w0 stop low.0.0.0 run 1
    --
    w0 start owed.0.0.0 run 1
    ");
}
