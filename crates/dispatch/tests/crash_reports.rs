//! Reports of workers that may have crashed: what they count for, and when they are withdrawn.

mod harness;

use harness::{Harness, job, step};
use insta::assert_snapshot;
use quincewheel_dispatch::Batch;
use quincewheel_job::Worker;
use quincewheel_wire::Notice;

/// Reports that worker 0 broke its connections after a run of the first task of job `a`, and then
/// that another incarnation is there.
fn crash(harness: &mut Harness, run: u64, likely: bool) {
    let start = vec![(harness::task("a", 0, 0), run)];
    let (starts, possible) = if likely { (start, Vec::new()) } else { (Vec::new(), start) };
    let worker = format!("crashed-{run}").as_str().into();
    harness.deliver(0, Notice::Broke { worker, starts, possible });
}

// A sound task was given up as its worker restarted three times for other reasons. A crash that was
// noticed late after a start shows less than one just after it.
#[test]
fn possible_crashes_fail_a_job_later_than_likely_ones() {
    let mut failed_after = Vec::new();
    for likely in [[true; 5], [false; 5], [true, true, false, false, false]] {
        let mut harness = Harness::new(1, 1).with_idle_workers(1);
        harness.owner.add_job("a", job(1, vec![step(1, 16)]), 150, None);
        let crashes = likely.into_iter().zip(1..).position(|(likely, run)| {
            crash(&mut harness, run, likely);
            harness.owner.has_ended("a")
        });
        failed_after.push(crashes.map(|position| position + 1));
    }
    assert_snapshot!(format!("{failed_after:?}"), @"[Some(3), Some(4), Some(4)]");
}

// A connection was reset and the worker lives. The report is recorded before that is known, and the
// record must not count later.
#[test]
fn broken_connection_of_a_worker_that_answers_is_withdrawn() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    let run = harness::run(harness::task("a", 0, 0), 1);
    let starts = vec![(run.task.clone(), 1)];
    harness.deliver(0, Notice::Broke { worker: "i0".into(), starts, possible: Vec::new() });
    let suspected = |batch: &Batch| {
        batch.jobs.iter().map(|(_, progress)| progress.has_suspects()).collect::<Vec<_>>()
    };
    let before = suspected(&harness.record());
    harness.report_status(0, &[run], &[]);
    let after = suspected(&harness.record());
    assert_snapshot!(format!("{before:?} {after:?}"), @"[true] [false]");
}

// A start was named as in flight when a connection broke, and the agent learned afterwards that the
// worker had not received it. The record of the first report was left behind and counted.
#[test]
fn start_that_a_later_report_of_the_break_leaves_out_is_withdrawn() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(2, 8)]), 150, None);
    harness.tick();
    harness.logged_events = vec!["crash suspected"];
    let starts: Vec<_> = (0..2).map(|index| (harness::task("a", 0, index), 1)).collect();
    let (mut recorded, mut suspected) = (0, Vec::new());
    for count in [2, 1] {
        let (starts, possible) = (starts[..count].to_vec(), Vec::new());
        harness.deliver(0, Notice::Broke { worker: "i0".into(), starts, possible });
        let jobs = harness.record().jobs;
        recorded = jobs.last().map_or(recorded, |(_, progress)| progress.suspected_tasks().len());
        suspected.push(recorded);
    }
    let (stamp, running, ended) = (harness.now, Vec::new(), Vec::new());
    let worker = Some(Worker { id: "i0-2".into(), ..harness::worker(0) });
    harness.deliver(
        0,
        Notice::Status {
            listed_at: None,
            stamp,
            worker,
            fenced: false,
            running,
            ended,
            truncated: false,
        },
    );
    assert_snapshot!(format!("{suspected:?}\n{}", harness.take_logs()), @r"
    [2, 1]
    crash suspected a: a.0.0.0 run 1 at w0, likely cause, one of 1: 1 likely, 1 in all
    ");
}

// An agent reports a crash again to each new owner. A later run has survived its start since.
#[test]
fn crash_of_a_run_before_one_that_survived_does_not_count() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.logged_events = vec!["crash suspected", "crash cleared"];
    let run = harness::run(harness::task("a", 0, 0), 1);
    harness.report_status(0, std::slice::from_ref(&run), &[]);
    harness.advance(400);
    harness.report_status(0, &[run], &[]);
    crash(&mut harness, 0, true);
    assert_snapshot!(harness.take_logs(), @"nothing");
}

// A new owner learned of two crashes at an agent without a worker, and the second report replaced
// the first.
#[test]
fn two_crashes_reported_at_once_both_count() {
    let mut harness = Harness::new(1, 1);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.connect(0);
    harness.logged_events = vec!["crash suspected"];
    crash(&mut harness, 1, true);
    crash(&mut harness, 2, true);
    harness.report_status(0, &[], &[]);
    assert_snapshot!(harness.take_logs(), @r"
    crash suspected a: a.0.0.0 run 1 at w0, likely cause, one of 1: 1 likely, 2 in all
    crash suspected a: a.0.0.0 run 2 at w0, likely cause, one of 1: 2 likely, 2 in all
    ");
}

// A suspect's worker restarted for another reason a second after the start, and the crash before it
// still counted. The agent says when the start was survived.
#[test]
fn suspect_is_cleared_when_its_agent_says_that_it_survived() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.logged_events = vec!["crash suspected", "crash cleared"];
    crash(&mut harness, 0, true);
    harness.record();
    harness.tick();
    let (task, run) = (harness::task("a", 0, 0), 1);
    harness.deliver(0, Notice::Survived { task: task.clone(), run: 7 });
    harness.deliver(0, Notice::Survived { task, run });
    assert_snapshot!(harness.take_logs(), @r"
    crash suspected a: a.0.0.0 run 0 at w0, likely cause, one of 1: 1 likely, 1 in all
    crash cleared a: a.0.0.0: it outlived its start
    ");
}

// All members of a gang must have survived: one that waits for another shows nothing.
#[test]
fn gang_is_cleared_when_all_members_survived() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let mut gang = job(1, vec![step(2, 8)]);
    gang.steps[0].gang = true;
    harness.owner.add_job("a", gang, 150, None);
    harness.logged_events = vec!["crash suspected", "crash cleared"];
    crash(&mut harness, 0, true);
    harness.record();
    harness.tick();
    harness.take_logs();
    let mut logs = Vec::new();
    for index in 0..2 {
        let task = harness::task("a", 0, index);
        harness.deliver(0, Notice::Survived { task, run: 1 });
        logs.push(harness.take_logs());
    }
    assert_snapshot!(logs.join("\n"), @r"
    nothing
    crash cleared a: a.0.0.1: it outlived its start
    ");
}
