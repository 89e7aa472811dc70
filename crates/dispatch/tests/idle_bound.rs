//! What the bound on waits of idle jobs must not break: claims, trials, and the turn of others at the
//! clearance service.

mod busy_pool;
mod harness;
mod site;

use busy_pool::Pool;
use harness::{job, run, step};
use quincewheel_dispatch::Settings;
use quincewheel_job::{Advice, Config, How, Job, Run, Step, Team, Worker};
use quincewheel_wire::Notice;
use site::Site;

/// Longest wait of a gang that has claimed its workers, in milliseconds: three times that without a bound.
const MAX_GANG_WAIT_MS: u64 = 12_000;
/// Time that the clearance service takes for a request, in milliseconds.
const CLEARANCE_MS: u64 = 220;

/// Plays a stream of tasks of half a worker, one each `every` 100 ms, beside a gang that comes after
/// 3 s, and returns after how long the gang started.
fn gang_beside_stream(
    mut pool: Pool,
    every: u64,
    small: Step,
    gang: Step,
    mut each_step: impl FnMut(&mut Pool),
) -> Option<u64> {
    let mut began = 0;
    for number in 0..300 {
        each_step(&mut pool);
        if number % every == 0 {
            let small = Step { estimate: 4000, ..small.clone() };
            pool.add(&format!("s{number:03}"), 200 + 2 * number, 4000, job(1, vec![small]));
        }
        if number == 30 {
            began = pool.harness.now;
            pool.add("gang", 261, 1000, job(1, vec![gang.clone()]));
        }
        pool.advance(100);
    }
    pool.started("gang", began)
}

// A gang never started: its claim drained the pool below half, and smaller jobs that had waited for the
// bound took its workers again and again.
#[test]
fn gang_starts_although_its_claim_empties_the_pool() {
    let gang = Step { gang: true, ..step(3, 8) };
    let waited = gang_beside_stream(Pool::new(3, 2000), 6, step(1, 4), gang, |_| {});
    assert!(waited.is_some_and(|ms| ms <= MAX_GANG_WAIT_MS), "{waited:?}");
}

// The same beside idle workers that neither may use.
#[test]
fn gang_starts_beside_idle_workers_of_another_label() {
    let labelled = |step: Step| Step { label: "r0".into(), ..step };
    let gang = labelled(Step { gang: true, ..step(3, 8) });
    let pool = Pool::new(12, 2000);
    let waited = gang_beside_stream(pool, 6, labelled(step(1, 4)), gang, |_| {});
    assert!(waited.is_some_and(|ms| ms <= MAX_GANG_WAIT_MS), "{waited:?}");
}

// A job stood beside an idle worker of its label in an idle pool: a gang had claimed it, and waited for the
// runs of a minute on the other workers of that label.
#[test]
fn job_takes_a_claimed_worker_where_its_label_is_half_in_use() {
    let labelled = |step: Step| Step { label: "r0".into(), ..step };
    let mut pool = Pool::new(12, 2000);
    pool.add("long", 200, 60_000, job(1, vec![Step { estimate: 60_000, ..labelled(step(2, 8)) }]));
    pool.add("gang", 201, 1000, job(1, vec![labelled(Step { gang: true, ..step(3, 8) })]));
    pool.advance(3000);
    // The second one comes after the first has broken the claim.
    for (version, name) in [(202, "a"), (203, "b")] {
        let began = pool.harness.now;
        let small = Step { estimate: 90_000, ..labelled(step(1, 1)) };
        pool.add(name, version, 90_000, job(1, vec![small]));
        pool.advance(5000);
        let waited = pool.started(name, began);
        assert!(waited.is_some_and(|ms| ms < 3000), "{name}: {waited:?}");
    }
}

/// Reports a worker as draining.
fn drain(pool: &mut Pool, number: u64) {
    let notice = Notice::Status {
        listed_at: None,
        stamp: pool.harness.now,
        worker: Some(Worker { draining: true, ..harness::worker(number) }),
        fenced: true,
        running: Vec::new(),
        ended: Vec::new(),
        truncated: false,
    };
    pool.harness.deliver(number, notice);
}

// The same beside workers that drain.
#[test]
fn gang_starts_beside_draining_workers() {
    let mut pool = Pool::new(14, 2000);
    pool.silent.extend(6..14);
    let gang = Step { gang: true, same_rack: true, ..step(3, 8) };
    let waited = gang_beside_stream(pool, 3, step(1, 4), gang, |pool| {
        (6..14).for_each(|number| drain(pool, number));
    });
    assert!(waited.is_some_and(|ms| ms <= MAX_GANG_WAIT_MS), "{waited:?}");
}

// All idle jobs started at once on the only worker that could hold them, which failed each of them, and
// used up their attempts.
#[test]
fn doubtful_worker_takes_one_idle_job_at_a_time() {
    let mut site = Site::new(1, 10);
    let labelled = |attempts, step: Step| {
        let mut job = job(1, vec![Step { label: "r3".into(), ..step }]);
        job.queue.attempts = attempts;
        job
    };
    for name in ["x", "y", "z"] {
        site.add(name, labelled(1, step(1, 8)));
        while !site.running.iter().any(|(at, ..)| *at == 9) {
            site.pass(100);
            site.take_starts();
        }
        site.end(9, How::Failed);
    }
    for number in 0..8 {
        site.add(&format!("j{number}"), labelled(2, step(1, 1)));
    }
    for _ in 0..4 {
        let starts = site.next_start(5000);
        assert!(!starts.contains(',') && !starts.ends_with("nothing"), "{starts}");
        site.end(9, How::Failed);
    }
}

// Work was stopped for nothing: room began to be made for a job in the round in which the job then started
// on a worker that the ordinary attempt had held back.
#[test]
fn nothing_is_stopped_for_a_job_that_starts_as_an_idle_one() {
    let mut site = Site::new(1, 10);
    // Borrowed room is reclaimed 1,600 ms before the deadline, when the wait of the idle job is over.
    let deadline = Settings { reclaim_deadline: 3100, doubt: 10_000, ..Settings::default() };
    site.harness.owner.update_settings(deadline);
    let team = |name: &str, guaranteed| {
        (name.to_owned(), Team { name: name.into(), guaranteed, ..Team::default() })
    };
    let teams = [team("t", 8), team("other", 0)].into();
    site.harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
    let labelled = |priority, attempts, step: Step| {
        let mut job = job(priority, vec![Step { label: "r0".into(), ..step }]);
        job.queue.attempts = attempts;
        job
    };
    let borrowed = labelled(0, 1, Step { estimate: 60_000, ..step(2, 8) });
    site.add("borrowed", Job { team: "other".into(), ..borrowed });
    for name in ["x", "y", "z"] {
        site.add(name, labelled(1, 1, step(1, 8)));
        while !site.running.iter().any(|(_, task, _)| task.job == name) {
            site.pass(100);
            site.take_starts();
        }
        site.end(2, How::Failed);
    }
    let accepted = site.harness.now;
    let first = site.add("a", Job { accepted, ..labelled(0, 1, step(1, 8)) });
    let mut orders = String::new();
    while !orders.contains("start") && site.harness.now < accepted + 5000 {
        site.pass(100);
        orders = site.harness.take_orders();
        assert!(!orders.contains("stop"), "{orders}");
    }
    let waited = site.harness.now - accepted;
    assert_eq!((first.as_str(), waited), ("nothing", 1500), "{orders}");
}

// A job stood beside an empty pool: a gang with room, which needs clearance for more workers than can be
// requested before its first tickets expire, took every request.
#[test]
fn job_is_cleared_beside_a_gang_whose_tickets_expire() {
    let mut site = Site::new(1, 60);
    let cleared = |step: Step| -> Job {
        let mut job = job(1, vec![step]);
        job.queue.advice = Some(Advice { decide: 100, each: 10, valid: 2000 });
        job
    };
    site.add("gang", cleared(Step { gang: true, ..step(50, 8) }));
    site.add("a", cleared(step(1, 8)));
    let (before, mut sent) = (site.harness.now, None);
    while !site.take_starts().contains("a.0") {
        let now = site.harness.now;
        assert!(now < before + 3000, "nothing of the job runs after 3 s");
        if !site.harness.advice_requests.is_empty() {
            sent.get_or_insert(now);
        }
        if let Some(at) = sent.take_if(|at| now >= *at + CLEARANCE_MS) {
            let request = site.harness.advice_requests.remove(0);
            let tickets = request.workers.iter().map(|worker| (worker.id.clone(), "t".to_owned()));
            let tickets: Vec<(String, String)> = tickets.collect();
            site.harness.owner.on_clearance(&request, Some((&tickets, 2000)), at, now);
        }
        site.harness.advance(20);
        for number in 0..site.workers {
            let here = site.running.iter().filter(|(worker, ..)| *worker == number);
            let listed: Vec<Run> = here.map(|(_, task, at)| run(task.clone(), *at)).collect();
            site.harness.report_status(number, &listed, &[]);
        }
    }
}
