//! Claims of waiting gangs, and what other work may still use. Each worker has 8 accelerators, and
//! three consecutive ones share a rack.

mod busy_pool;
mod harness;

use busy_pool::Pool;
use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_dispatch::Settings;
use quincewheel_job::{Config, Job, Step, Team, Worker};
use quincewheel_wire::Notice;

/// A gang of whole workers that requires one rack.
fn rack_gang(count: u32) -> Job {
    job(1, vec![Step { gang: true, same_rack: true, ..step(count, 8) }])
}

/// A job of one task with this estimate.
fn single(priority: u32, accelerators: u64, estimate: u64) -> Job {
    job(priority, vec![Step { estimate, ..step(1, accelerators) }])
}

/// Two workers of 8 accelerators, each half used by a run that takes 3 s, and a gang of both
/// workers that has claimed them after 1 s, to start 2 s later.
fn claimed_pool() -> Pool {
    let mut pool = Pool::new(2, 1000);
    for (number, id) in [(0, "a"), (1, "b")] {
        let first = Step { estimate: 3000, label: "a".into(), per_worker: 1, ..step(1, 5) };
        pool.add(id, 150 + number, 3000, job(1, vec![first]));
    }
    pool.add("gang", 160, 1000, job(1, vec![Step { gang: true, ..step(2, 8) }]));
    pool.advance(1000);
    pool
}

/// A steady stream of tasks that take half a worker for 1.5 s, more than the workers can run, and
/// after 3 s a gang of a whole rack. Returns after which time the gang started.
fn start_beside_stream(claim_after: u64) -> Option<u64> {
    let mut pool = Pool::new(6, claim_after);
    let mut began = 0;
    for number in 0..300 {
        pool.add(&format!("s{number:03}"), 200 + 2 * number, 1500, single(1, 4, 1500));
        if number == 30 {
            began = pool.harness.now;
            pool.add("gang", 261, 1000, rack_gang(3));
        }
        pool.advance(100);
    }
    pool.started("gang", began)
}

// Load: a gang of a whole rack waits beside a steady stream of smaller tasks, of the same priority
// and accepted later, which fill each worker as soon as half of it is free. The gang started only
// after the end of the stream. With a claim it waits for the time after which it may claim, and for
// the runs in its rack.
#[test]
fn gang_of_a_rack_starts_beside_a_stream_of_small_later_tasks() {
    let waited = start_beside_stream(2000).expect("starts");
    assert!(waited <= 2000 + 1500 + 500, "{waited} ms");
    assert_eq!(start_beside_stream(0), None, "the load starves gangs without claims");
}

// Work that no claim concerns was held back with the rest, beside idle workers.
#[test]
fn only_work_that_would_delay_the_gang_is_held_back() {
    let mut pool = claimed_pool();
    let began = pool.harness.now;
    let made = pool.harness.take_logs();
    pool.add("long", 170, 2500, single(1, 1, 2500));
    pool.add("short", 171, 1000, single(1, 1, 1000));
    pool.add("urgent", 172, 2500, single(0, 1, 2500));
    pool.add("earlier", 155, 2500, single(1, 1, 2500));
    let at_once: Vec<&str> = pool.starts.iter().map(|(job, ..)| job.as_str()).skip(2).collect();
    let at_once = at_once.join(" ");
    pool.advance(6000);
    let gang = pool.started("gang", began);
    let long = pool.started("long", began);
    assert_snapshot!(format!("{made}\nat once: {at_once}\ngang {gang:?}, long {long:?}"), @r"
    claim made gang: gang.0.0 waited 1000 ms, may start in 1827 ms at w0, w1; after a.0.0.0 at w0 in 1827 ms (33 %, 0 ms ago), b.0.0.0 at w1 in 1766 ms (30 %, 100 ms ago)
    waits gang: gang.0.0, 2 tasks, 1000 ms: no room: room for 0 of 2, for 2 if nothing ran
    at once: short urgent earlier
    gang Some(2500), long Some(3500)
    ");
}

// A task for which the gang leaves enough of a worker waited for the gang's end.
#[test]
fn task_that_fits_beside_the_claim_starts() {
    let mut pool = Pool::new(1, 1000);
    pool.add("a", 150, 3000, single(1, 4, 3000));
    pool.add("gang", 160, 1000, job(1, vec![Step { gang: true, ..step(2, 3) }]));
    pool.advance(1000);
    pool.add("beside", 170, 9000, single(1, 2, 9000));
    pool.add("over", 171, 9000, single(1, 1, 9000));
    let starts: Vec<&str> = pool.starts.iter().map(|(job, ..)| job.as_str()).collect();
    assert_snapshot!(starts.join(" "), @"a beside");
}

#[test]
fn work_held_back_by_a_claim_says_so() {
    let mut pool = claimed_pool();
    pool.harness.take_logs();
    pool.add("long", 170, 2500, single(1, 1, 2500));
    pool.advance(1100);
    assert_snapshot!(pool.harness.take_logs(), @"waits long: long.0.0, 1 tasks, 1000 ms: room claimed by a gang: by gang.0.0, planned in 978 ms; room for 1 of 1, for 1 if nothing ran");
}

// The gang of a cancelled job left its claim until some other event caused a round of planning.
#[test]
fn work_starts_when_the_claim_is_cancelled() {
    let mut pool = claimed_pool();
    pool.add("long", 170, 2500, single(1, 1, 2500));
    let before = pool.agents_of("long").len();
    let now = pool.harness.now;
    pool.harness.owner.cancel("gang", now);
    pool.advance(100);
    assert_eq!((before, pool.agents_of("long").len()), (0, 1));
}

// Guarantees come first: a claim must not keep guaranteed work waiting.
#[test]
fn guaranteed_work_ignores_claims() {
    let mut pool = claimed_pool();
    let team = Team { name: "t".into(), guaranteed: 8, ..Team::default() };
    let teams = [("t".to_owned(), team)].into();
    pool.harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
    pool.add("guaranteed", 170, 9000, single(0, 2, 9000));
    assert_eq!(pool.agents_of("guaranteed").len(), 1);
}

// An urgent gang that was too late to preempt lost its claim to a later one, which preempted the
// run that the claim waited for. The later one preempts elsewhere.
#[test]
fn later_urgent_work_does_not_preempt_on_claimed_workers() {
    let stopped = |claim_after| {
        let mut pool = Pool::new(2, claim_after);
        pool.add("old", 150, 20_000, single(1, 8, 20_000));
        pool.advance(300);
        pool.add("young", 151, 12_000, single(1, 8, 12_000));
        let gang = job(0, vec![Step { gang: true, ..step(1, 8) }]);
        pool.harness.owner.add_job("late", Job { accepted: 0, ..gang }, 160, None);
        // A late gang claims after 8 s.
        pool.advance(8200);
        pool.add("urgent", 170, 12_000, single(0, 4, 12_000));
        pool.stopped.clone()
    };
    assert_eq!((stopped(0), stopped(1000)), (vec!["young".to_owned()], vec!["old".to_owned()]));
}

// Failure: a claimed worker is closed. The gang waited for it until it came back.
#[test]
fn claim_moves_when_a_claimed_worker_is_closed() {
    let mut pool = Pool::new(12, 1000);
    for number in 0..12 {
        let rack = number / 3;
        let estimate = 4000 + 1000 * rack;
        let run = Step { estimate, label: format!("r{rack}"), ..step(1, 8) };
        pool.add(&format!("r{number}"), 150 + number, estimate, job(1, vec![run]));
    }
    let began = pool.harness.now;
    pool.add("gang", 160, 1000, rack_gang(3));
    pool.advance(1500);
    let made = pool.harness.take_logs();
    let draining = Worker { draining: true, ..harness::worker(0) };
    let (stamp, running) = (pool.harness.now, pool.listed(0));
    let notice = Notice::Status {
        listed_at: None,
        stamp,
        worker: Some(draining),
        fenced: true,
        running,
        ended: Vec::new(),
        truncated: false,
    };
    pool.silent.push(0);
    pool.harness.deliver(0, notice);
    pool.advance(1500);
    let moved = pool.harness.take_logs();
    pool.advance(7000);
    let (agents, started) = (pool.agents_of("gang"), pool.started("gang", began));
    assert_snapshot!(format!("{made}\n-- closed\n{moved}\n-- {started:?} at {agents:?}"), @r"
    claim made gang: gang.0.0 waited 1000 ms, may start in 2736 ms in rack r0 at w0, w1, w2; after r1.0.0.0 at w1 in 2736 ms (22 %, 100 ms ago), r2.0.0.0 at w2 in 2736 ms (22 %, 100 ms ago), r0.0.0.0 at w0 in 2700 ms (25 %, 0 ms ago)
    waits gang: gang.0.0, 3 tasks, 1000 ms: no room: room for 0 of 3, for 3 if nothing ran
    -- closed
    claim moved gang: gang.0.0 waited 2000 ms, may start in 2836 ms in rack r1 at w3, w4, w5; after r3.0.0.0 at w3 in 2836 ms (38 %, 100 ms ago), r4.0.0.0 at w4 in 2836 ms (38 %, 100 ms ago), r5.0.0.0 at w5 in 2836 ms (38 %, 100 ms ago)
    -- Some(5000) at [3, 4, 5]
    ");
}

// Failure: the owner dies while a claim exists. The next owner must plan it anew, from the queue and
// from the runs that agents list, and start nothing a second time.
#[test]
fn new_owner_plans_claims_anew() {
    let mut harness = Harness::new(2, 2);
    harness.owner.update_settings(Settings { claim_after: 1000, ..Settings::default() });
    harness.logged_events = vec!["claim made"];
    let now = harness.now;
    let old = || Job { accepted: now - 1000, ..single(1, 5, 5000) };
    harness.owner.add_job("a", old(), 50, None);
    harness.owner.add_job("b", old(), 51, None);
    let gang = job(1, vec![Step { gang: true, ..step(2, 8) }]);
    let mut gang = Job { accepted: now - 500, ..gang };
    (gang.queue.stretch, gang.queue.slack) = (1.0, 3000);
    harness.owner.add_job("gang", gang, 52, None);
    for number in 0..2 {
        harness.connect(number);
        let id = ["a", "b"][number as usize];
        harness.report_status(number, &[run(task(id, 0, 0), 1)], &[]);
    }
    for _ in 0..11 {
        harness.advance(100);
        for number in 0..2 {
            harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
        }
    }
    harness.owner.add_job("later", single(1, 1, 9000), 110, None);
    harness.tick();
    assert_snapshot!(format!("{}\n{}", harness.take_logs(), harness.take_orders()), @r"
    claim made gang: gang.0.0 waited 1000 ms, may start in 3500 ms at w0, w1; after a.0.0.0 at w0 in 3500 ms (10 %, 1000 ms ago), b.0.0.0 at w1 in 3500 ms (10 %, 1000 ms ago)
    nothing
    ");
}

// Failure: an agent is unreachable. A claim on its worker would wait for a worker that may never
// come back.
#[test]
fn worker_of_an_unreachable_agent_is_not_claimed() {
    let mut pool = claimed_pool();
    pool.harness.take_logs();
    pool.silent.push(0);
    pool.advance(3500);
    pool.add("later", 170, 9000, single(1, 1, 9000));
    let counts = pool.harness.owner.claim_counts();
    assert_eq!((counts, pool.agents_of("later")), ((0, 0), vec![1]));
}

// Failure: the table is down. Claims need nothing from it.
#[test]
fn claims_are_planned_while_the_table_is_down() {
    let mut pool = Pool::new(2, 1000);
    pool.add("a", 150, 9000, single(1, 5, 9000));
    pool.add("b", 151, 9000, single(1, 5, 9000));
    pool.add("gang", 160, 1000, job(1, vec![Step { gang: true, ..step(2, 8) }]));
    let harness = &mut pool.harness;
    for _ in 0..15 {
        // Without a confirmation of the ownership and without a record.
        harness.now += 100;
        for number in 0..2 {
            let notice = Notice::Ping { stamp: harness.now, silent: 0 };
            harness.owner.on_notice(number, notice, harness.now);
        }
        harness.owner.tick(harness.now, harness.now);
    }
    let later = single(1, 1, 12_000);
    harness.owner.add_job("later", later, 170, None);
    harness.owner.tick(harness.now, harness.now);
    harness.collect_outputs();
    assert_snapshot!(format!("{:?}\n{}", harness.owner.claim_counts(), harness.take_orders()), @r"
    (1, 16)
    nothing
    ");
}

// Estimates were wrong: the runs that the gang waits for take ten times as long.
#[test]
fn overdue_claim_is_abandoned_and_logged() {
    let mut pool = Pool::new(2, 1000);
    pool.add("a", 150, 20_000, single(1, 5, 2000));
    pool.add("b", 151, 20_000, single(1, 5, 2000));
    pool.add("gang", 160, 1000, job(1, vec![Step { gang: true, ..step(2, 8) }]));
    pool.harness.logged_events = vec!["claim made", "claim moved", "claim abandoned"];
    pool.advance(25_000);
    let gang = pool.agents_of("gang");
    assert_snapshot!(format!("{}\ngang at {gang:?}", pool.harness.take_logs()), @r"
    claim made gang: gang.0.0 waited 1000 ms, may start in 1100 ms at w0, w1; after a.0.0.0 at w0 in 1100 ms (5 %, 0 ms ago), b.0.0.0 at w1 in 1100 ms (4 %, 100 ms ago)
    claim abandoned gang: planned after 1100 ms, overdue by 5000 ms; gang.0.0 waited 7100 ms, may start in 13000 ms at w0, w1; after a.0.0.0 at w0 in 13000 ms (35 %, 0 ms ago), b.0.0.0 at w1 in 12714 ms (35 %, 100 ms ago)
    gang at [0, 1]
    ");
}

// Claims must hold no more than half of a pool idle if estimates are wrong.
#[test]
fn at_most_half_of_the_pool_is_claimed_beyond_the_first_claim() {
    let counts = |workers: u64, gangs: u64, count: u32| {
        let mut pool = Pool::new(workers, 1000);
        for number in 0..workers {
            pool.add(&format!("r{number}"), 150 + number, 9000, single(1, 8, 9000));
        }
        for number in 0..gangs {
            let gang = job(1, vec![Step { gang: true, ..step(count, 8) }]);
            pool.add(&format!("g{number}"), 200 + number, 1000, gang);
        }
        pool.advance(1500);
        pool.harness.owner.claim_counts()
    };
    let first_larger = counts(4, 2, 3);
    let half = counts(8, 3, 2);
    let most = counts(12, 6, 1);
    assert_eq!((first_larger, half, most), ((1, 24), (2, 32), (4, 32)));
}
