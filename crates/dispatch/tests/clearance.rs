//! Queues whose steps a service outside the system must clear for workers.

mod harness;

use harness::{Harness, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Advice, Config, How, Job, Step, Team};
use quincewheel_wire::{Notice, Refused};

fn job_needing_clearance(steps: Vec<Step>) -> Job {
    let mut job = job(1, steps);
    job.queue.advice = Some(Advice { decide: 100, each: 10, valid: 5000 });
    job
}

/// Answers the oldest request: these workers may run the step, with tickets for 5 s.
fn answer_oldest(harness: &mut Harness, cleared_workers: &[&str]) {
    answer_for(harness, cleared_workers, 5000);
}

/// Answers the oldest request with tickets that are valid for `valid_ms`.
fn answer_for(harness: &mut Harness, cleared_workers: &[&str], valid_ms: u64) {
    let question = harness.advice_requests.remove(0);
    let ticket = |worker: &&str| ((*worker).to_owned(), format!("ticket-{worker}"));
    let tickets: Vec<(String, String)> = cleared_workers.iter().map(ticket).collect();
    harness.owner.on_clearance(&question, Some((&tickets, valid_ms)), harness.now, harness.now);
    harness.tick();
}

#[test]
fn step_starts_only_at_workers_it_is_cleared_for() {
    let mut harness = Harness::new(1, 3).with_idle_workers(3);
    harness.owner.add_job("a", job_needing_clearance(vec![step(2, 8)]), 150, None);
    harness.tick();
    let requested = harness.take_orders();
    answer_oldest(&mut harness, &["i2"]);
    assert_snapshot!(format!("{requested}\n-- one may\n{}", harness.take_orders()), @r"
    ask i0 i1 i2
    -- one may
    w2 start a.0.0.0 run 1 with ticket-i2
    ");
}

#[test]
fn clearance_is_requested_again_only_when_its_ticket_expires() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.add_job("a", job_needing_clearance(vec![step(1, 8)]), 150, None);
    harness.tick();
    answer_oldest(&mut harness, &["i1"]);
    harness.report_status(
        1,
        &[],
        &[harness::end(1, task("a", 0, 0), 1, quincewheel_job::How::Stopped)],
    );
    let restarted = harness.take_orders();
    for _ in 0..5 {
        harness.advance(1000);
        for number in 0..2 {
            harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
        }
    }
    harness.report_status(
        1,
        &[],
        &[harness::end(2, task("a", 0, 0), 2, quincewheel_job::How::Stopped)],
    );
    assert_snapshot!(format!("{restarted}\n-- after 5 s\n{}", harness.take_orders()), @r"
    ask i0 i1
    w1 start a.0.0.0 run 1 with ticket-i1
    w1 start a.0.0.0 run 2 with ticket-i1
    -- after 5 s
    ask i1
    ");
}

// A task that needs clearance was never started again: its worker refuses the ticket, and the same
// ticket was used again and again.
#[test]
fn refused_ticket_is_requested_again() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job_needing_clearance(vec![step(1, 8)]), 150, None);
    harness.tick();
    answer_oldest(&mut harness, &["i0"]);
    harness.take_orders();
    harness.deliver(0, Notice::Unstarted { task: task("a", 0, 0), run: 1, why: Refused::Ticket });
    assert_snapshot!(harness.take_orders(), @"ask i0");
}

// Nothing on such queues started any more: one call to the service gets no answer, and the owner
// went on waiting for it.
#[test]
fn clearance_request_without_an_answer_is_repeated() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job_needing_clearance(vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.take_orders();
    let question = harness.advice_requests.remove(0);
    harness.owner.on_clearance(&question, None, harness.now, harness.now);
    harness.tick();
    let at_once = harness.take_orders();
    harness.advance(400);
    assert_snapshot!(format!("{at_once}\n-- 400 ms\n{}", harness.take_orders()), @r"
    nothing
    -- 400 ms
    ask i0
    ");
}

// Work was stopped for a step that then did not start: its ticket expired before the capacity was free, which
// made the reservation void.
#[test]
fn reservation_outlasts_the_ticket_it_was_made_with() {
    let (orders, _) = reserve_beside_short_tickets(step(1, 8));
    assert_snapshot!(orders, @r"
    ask i0
    w0 stop low.0.0.0 run 1
    -- then
    nothing
    -- then
    ask i0
    -- then
    w0 start high.0.0.0 run 1 with ticket-i0
    ");
}

// A call for reserved workers took several times as long: it named a worker once for each task there.
#[test]
fn reserved_worker_is_asked_about_once_for_all_its_tasks() {
    let (_, asked) = reserve_beside_short_tickets(Step { gang: true, ..step(4, 2) });
    assert_eq!(asked, "ask i0");
}

/// Reserves a worker for an urgent step whose ticket expires before the worker is free. Returns the orders,
/// and those when it is free.
fn reserve_beside_short_tickets(urgent: Step) -> (String, String) {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    let team = Team { name: "t".into(), guaranteed: 8, ..Team::default() };
    let teams = [("t".to_owned(), team)].into();
    harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
    harness.owner.add_job("low", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("low", 0, 0), 1)], &[]);
    harness.take_orders();
    let mut urgent = job_needing_clearance(vec![urgent]);
    urgent.queue.priority = 0;
    urgent.accepted = harness.now;
    harness.owner.add_job("high", urgent, 200, None);
    harness.tick();
    answer_for(&mut harness, &["i0"], 300);
    let made = harness.take_orders();
    harness.advance(400);
    let expired = harness.take_orders();
    harness.report_status(0, &[], &[end(1, task("low", 0, 0), 1, How::Stopped)]);
    let free = harness.take_orders();
    answer_for(&mut harness, &["i0"], 300);
    let cleared = harness.take_orders();
    ([made, expired, free.clone(), cleared].join("\n-- then\n"), free)
}
