//! Waits beside idle workers that the bound on waits of idle jobs does not end.

mod harness;
mod site;

use harness::{job, step};
use quincewheel_dispatch::Settings;
use quincewheel_job::{Advice, How, Job, Run, Step};
use quincewheel_wire::{Notice, Refused};
use site::Site;

/// Longest time for which a job stands beside free workers, in milliseconds.
const MAX_STANDING_MS: u64 = 3000;
/// The same for a lasting task, from its last run on.
const MAX_LASTING_MS: u64 = 6000 + MAX_STANDING_MS;

/// A job of one step on workers with this label.
fn labelled(label: &str, step: Step) -> Job {
    let mut job = job(1, vec![Step { label: label.into(), ..step }]);
    job.queue.attempts = 2;
    job
}

/// Lets time pass until a task whose name begins so starts, and returns after how long; 60 s at
/// most.
fn start_of(site: &mut Site, name: &str) -> u64 {
    let before = site.harness.now;
    loop {
        let starts = site.take_starts();
        let waited = site.harness.now - before;
        if starts.contains(name) || waited >= 60_000 {
            return waited;
        }
        site.pass(100);
    }
}

/// Lets this many trials fail at once on the only worker with the label `r3`, the last of ten.
fn fail_trials(site: &mut Site, count: u32) {
    for number in 0..count {
        let mut trial = labelled("r3", step(1, 1));
        trial.queue.attempts = 1;
        site.add(&format!("x{number}"), trial);
        while !site.running.iter().any(|(at, ..)| *at == 9) {
            site.pass(100);
            site.take_starts();
        }
        site.end(9, How::Failed);
    }
}

// A job stood beside idle workers until the doubt was over: the only worker with its label was
// doubtful and ran a long trial, which took an eighth of it.
#[test]
fn job_does_not_wait_for_the_end_of_a_long_trial() {
    let mut site = Site::new(1, 10);
    fail_trials(&mut site, 3);
    site.add("trial", labelled("r3", step(1, 1)));
    start_of(&mut site, "trial.");
    site.add("a", labelled("r3", step(1, 1)));
    let waited = start_of(&mut site, "a.");
    assert!(waited < MAX_STANDING_MS, "{waited} ms");
}

// A lasting task stood beside idle workers since another one of its job ran: the only worker with its
// label was doubtful and in backoff, in a pool of which most was in use.
#[test]
fn lasting_task_does_not_wait_for_a_trial_while_others_of_its_job_run() {
    let mut site = Site::new(1, 10);
    site.add("long", job(1, vec![Step { estimate: 600_000, ..step(6, 8) }]));
    fail_trials(&mut site, 6);
    let lasting = |label: &str| Step { label: label.into(), perpetual: true, ..step(1, 1) };
    site.add("a", job(1, vec![lasting("r2"), lasting("r3")]));
    let waited = start_of(&mut site, "a.0.1.0");
    assert!(waited < MAX_LASTING_MS, "{waited} ms");
}

// A lasting task stood beside idle workers that a gang had claimed, in a pool of which most was in use:
// the gang waited for the end of a long run.
#[test]
fn lasting_task_does_not_wait_for_a_gang_that_claims() {
    let mut site = Site::new(1, 12);
    let settings = Settings { claim_after: 1000, ..Settings::default() };
    site.harness.owner.update_settings(settings);
    site.harness.logged_events = vec!["claim made", "claim moved", "claim abandoned", "waits"];
    site.add("long", job(1, vec![Step { estimate: 60_000, ..step(7, 8) }]));
    let mut gang = job(1, vec![Step { gang: true, ..step(12, 8) }]);
    gang.queue.slack = 3000;
    site.add("gang", Job { accepted: site.harness.now, ..gang });
    site.pass(1200);
    let first = site.add("a", job(2, vec![Step { perpetual: true, ..step(1, 8) }]));
    assert_eq!(first, "nothing", "{}", site.harness.take_logs());
    let waited = start_of(&mut site, "a.");
    assert!(waited < MAX_LASTING_MS, "{waited} ms");
}

// A job stood beside idle workers for 3 s: its start was refused at the end of its wait, and the wait
// began anew although nothing of it had run.
#[test]
fn refused_start_does_not_begin_the_wait_anew() {
    let mut site = Site::new(1, 10);
    site.add("long", job(1, vec![Step { estimate: 600_000, ..step(6, 8) }]));
    fail_trials(&mut site, 5);
    (0..6).for_each(|number| site.end(number, How::Done));
    site.pass(2000);
    let before = site.harness.now;
    site.add("a", labelled("r3", step(1, 1)));
    start_of(&mut site, "a.");
    let (_, task, run) = site.running.pop().unwrap();
    let refused = Notice::Unstarted { task, run, why: Refused::Busy };
    site.harness.deliver(9, refused);
    start_of(&mut site, "a.");
    let waited = site.harness.now - before;
    assert!(waited < MAX_STANDING_MS, "{waited} ms");
}

// A lasting task that failed at once was started several times a second at a doubtful worker, since
// another one of its step had no room and waited all the while.
#[test]
fn lasting_task_that_fails_at_once_waits_between_its_runs() {
    let mut site = Site::new(1, 10);
    let label = "r3".into();
    let lasting = Step { label, perpetual: true, per_worker: 1, ..step(2, 1) };
    site.add("a", job(1, vec![lasting]));
    let mut starts = 0;
    for _ in 0..100 {
        starts += site.running.iter().filter(|(_, task, _)| task.index == 0).count();
        site.end(9, How::Failed);
        site.pass(100);
        site.take_starts();
    }
    // One each 1.5 s, and the first.
    assert!(starts <= 7, "{starts} starts in 10 s");
}

// A lasting task stood beside idle workers for 12 s: its start was refused at the end of its wait, and
// the wait began anew.
#[test]
fn refused_start_does_not_begin_the_wait_of_a_lasting_task_anew() {
    let mut site = Site::new(1, 10);
    site.add("long", job(1, vec![Step { estimate: 600_000, ..step(6, 8) }]));
    fail_trials(&mut site, 6);
    let lasting = |label: &str| Step { label: label.into(), perpetual: true, ..step(1, 1) };
    let before = site.harness.now;
    site.add("a", job(1, vec![lasting("r2"), lasting("r3")]));
    start_of(&mut site, "a.0.1.0");
    let (_, task, run) = site.running.pop().unwrap();
    site.harness.deliver(9, Notice::Unstarted { task, run, why: Refused::Busy });
    start_of(&mut site, "a.0.1.0");
    let waited = site.harness.now - before;
    assert!(waited < MAX_LASTING_MS, "{waited} ms");
}

/// Number of jobs that need clearance at the same time.
const CLEARED_JOBS: u64 = 30;
/// Time that the clearance service takes for a request for twelve workers, in milliseconds.
const CLEARANCE_MS: u64 = 220;

// Jobs of one task each stood beside an idle pool: their requests for clearance go one after the other,
// each for twelve workers.
#[test]
fn many_small_jobs_are_cleared_in_time() {
    let mut site = Site::new(1, 60);
    for number in 0..CLEARED_JOBS {
        let mut small = job(1, vec![step(1, 1)]);
        small.queue.advice = Some(Advice { decide: 100, each: 10, valid: 5000 });
        site.add(&format!("a{number}"), small);
    }
    let (before, mut sent, mut started) = (site.harness.now, None, 0);
    while started < CLEARED_JOBS {
        let now = site.harness.now;
        assert!(now < before + MAX_STANDING_MS, "{started} of {CLEARED_JOBS} run after 3 s");
        if !site.harness.advice_requests.is_empty() {
            sent.get_or_insert(now);
        }
        if let Some(at) = sent.take_if(|at| now >= *at + CLEARANCE_MS) {
            let request = site.harness.advice_requests.remove(0);
            let tickets = request.workers.iter().map(|worker| (worker.id.clone(), "t".to_owned()));
            let tickets: Vec<(String, String)> = tickets.collect();
            site.harness.owner.on_clearance(&request, Some((&tickets, 5000)), at, now);
        }
        site.harness.advance(20);
        site.take_starts();
        started = site.running.len() as u64;
        for number in 0..site.workers {
            let here = site.running.iter().filter(|(worker, ..)| *worker == number);
            let listed: Vec<Run> =
                here.map(|(_, task, at)| harness::run(task.clone(), *at)).collect();
            site.harness.report_status(number, &listed, &[]);
        }
    }
}
