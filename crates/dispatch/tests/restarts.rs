//! Workers that restart under the same id, as the owner sees them.

mod harness;

use harness::{Harness, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Advice, End, How, Run, Worker};
use quincewheel_wire::Notice;

/// The first worker reports, as the incarnation that started at `born`.
fn report_incarnation(harness: &mut Harness, born: u64, running: &[Run], ended: &[End]) {
    let worker = Some(Worker { born, ..harness::worker(0) });
    let (running, ended) = (running.to_vec(), ended.to_vec());
    harness.deliver(
        0,
        Notice::Status {
            listed_at: None,
            stamp: harness.now,
            worker,
            fenced: true,
            running,
            ended,
            truncated: false,
        },
    );
}

/// Creates an owner with a worker that has restarted since an end of a run at it was recorded.
fn restarted_after_a_recorded_end() -> Harness {
    let mut harness = Harness::new(1, 1);
    harness.connect(0);
    report_incarnation(&mut harness, 1, &[], &[]);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    report_incarnation(&mut harness, 1, &[], &[end(1, task("a", 0, 0), 1, How::Done)]);
    harness.record();
    report_incarnation(&mut harness, 2, &[], &[]);
    harness.take_orders();
    harness
}

// A job whose gang broke waited without end for `remains of a former start`, and others for the
// capacity that those held. A worker whose first end is recorded restarts under its id, and a
// member of the gang ends there, as its first end again. The owner took the number for one that it
// had recorded, and the run for one that goes on. When this was recorded, members had ended as
// broken at two restarted workers, and five steps waited to the end.
#[test]
fn end_numbered_from_one_after_a_restart_counts() {
    let mut harness = restarted_after_a_recorded_end();
    harness.owner.add_job("b", job(1, vec![step(1, 8)]), 160, None);
    harness.tick();
    report_incarnation(&mut harness, 2, &[run(task("b", 0, 0), 1)], &[]);
    report_incarnation(&mut harness, 2, &[], &[end(1, task("b", 0, 0), 1, How::Broken)]);
    harness.record();
    assert_snapshot!(harness.take_orders(), @r"
    w0 start b.0.0.0 run 1 
    w0 start b.0.0.0 run 2 
    w0 seen 1
    ");
}

// A call names a worker by its id only, so the next incarnation may carry out a start that was sent
// to the previous one: the task would run twice if it started elsewhere at once.
#[test]
fn start_that_a_previous_incarnation_never_listed_is_stopped_before_it_starts_elsewhere() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    let ordered = harness.take_orders();
    report_incarnation(&mut harness, 2, &[], &[]);
    let restarted = harness.take_orders();
    harness.deliver(0, Notice::Stopped { task: task("a", 0, 0), run: 1 });
    harness.tick();
    assert_snapshot!(format!("{ordered}\n-- restarted\n{restarted}\n-- stopped\n{}", harness.take_orders()), @r"
    w0 start a.0.0.0 run 1 
    -- restarted
    w0 stop a.0.0.0 run 1
    -- stopped
    w0 start a.0.0.0 run 2
    ");
}

// A run that the previous incarnation had listed has certainly ended with it.
#[test]
fn run_that_a_previous_incarnation_listed_starts_again_at_once() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.take_orders();
    report_incarnation(&mut harness, 2, &[], &[]);
    assert_snapshot!(harness.take_orders(), @"w0 start a.0.0.0 run 2");
}

// A sound task was suspected of crashing workers: an agent's machine restarts, and its clock begins
// again, while the task runs on. The time for which it had been listed was counted from a stamp of
// the previous clock, which the new one does not reach for as long as the machine had been up.
#[test]
fn task_outlives_its_start_though_its_agents_clock_restarted() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.tick();
    harness.logged_events = vec!["crash suspected"];
    for stamp in [500_000, 1000, 1400] {
        let (worker, running) = (Some(harness::worker(0)), vec![run(task("a", 0, 0), 1)]);
        let status = Notice::Status {
            listed_at: None,
            stamp,
            worker,
            fenced: true,
            running,
            ended: Vec::new(),
            truncated: false,
        };
        harness.deliver(0, status);
    }
    let starts = vec![(task("a", 0, 0), 1), (task("other", 0, 0), 1)];
    harness.deliver(0, Notice::Broke { worker: "i0".into(), starts, possible: Vec::new() });
    report_incarnation(&mut harness, 2, &[], &[]);
    assert_snapshot!(harness.take_logs(), @"nothing");
}

// A ticket is valid for the incarnation that it was issued for: a worker that restarts may be of
// another kind, and refuses the old one.
#[test]
fn restarted_worker_needs_another_ticket() {
    let mut harness = Harness::new(1, 1);
    harness.connect(0);
    report_incarnation(&mut harness, 1, &[], &[]);
    let mut cleared = job(1, vec![step(1, 8)]);
    cleared.queue.advice = Some(Advice { decide: 100, each: 10, ..Advice::default() });
    harness.owner.add_job("a", cleared, 150, None);
    harness.tick();
    let question = harness.advice_requests.remove(0);
    report_incarnation(&mut harness, 2, &[], &[]);
    harness.take_orders();
    let tickets = [("i0".to_owned(), "ticket".to_owned())];
    harness.owner.on_clearance(&question, Some((&tickets, 60_000)), harness.now, harness.now);
    harness.tick();
    assert_snapshot!(harness.take_orders(), @"ask i0 born 2");
}
