//! The progress of a job, and validation of jobs from clients.

use insta::assert_snapshot;
use quincewheel_job::{Job, Progress, Queue, Schedule, Step, Task};

fn job(steps: Vec<Step>) -> Job {
    Job {
        team: "a".into(),
        queue: Queue::default(),
        spec: String::new(),
        steps,
        schedule: None,
        accepted: 0,
    }
}

fn task(occurrence: u32, step: u32, index: u32) -> Task {
    Task { job: "j".into(), occurrence, step, index }
}

#[test]
fn a_step_waits_for_all_tasks_before_it() {
    let first = Step { count: 2, ..Step::default() };
    let second = Step { count: 1, after: vec![0], ..Step::default() };
    let job = job(vec![first, second]);
    let mut progress = Progress::default();
    let mut seen = Vec::new();
    for done in [task(0, 0, 1), task(0, 0, 0), task(0, 1, 0)] {
        seen.push(format!(
            "{} {:?}",
            progress.is_step_ready(&job, 0, &job.steps[1]),
            progress.state
        ));
        progress.mark_done(&job, &done);
    }
    seen.push(format!("{:?}", progress.state));
    assert_snapshot!(seen.join("\n"), @r"
    false Queued
    false Queued
    true Queued
    Succeeded
    ");
}

#[test]
fn a_gang_is_done_with_one_member_and_its_failures_are_counted_together() {
    let job = job(vec![Step { count: 3, gang: true, ..Step::default() }]);
    let mut progress = Progress::default();
    let counts = [
        progress.record_failure(&job, &task(0, 0, 2), 1),
        progress.record_failure(&job, &task(0, 0, 1), 2),
    ];
    progress.mark_done(&job, &task(0, 0, 1));
    assert_snapshot!(format!("{counts:?} {:?}", progress.state), @"[1, 2] Succeeded");
}

// A job failed although its tasks had attempts left: an owner recorded a failure and was replaced
// before it acknowledged it, so the worker reported the end again and the new owner counted it
// twice.
#[test]
fn an_end_that_is_reported_again_counts_once() {
    let job = job(vec![Step { count: 1, ..Step::default() }]);
    let mut progress = Progress::default();
    let counts = [1, 1, 1001, 1, 3].map(|run| progress.record_failure(&job, &task(0, 0, 0), run));
    assert_snapshot!(format!("{counts:?}"), @"[1, 1, 2, 2, 3]");
}

#[test]
fn a_scheduled_job_succeeds_after_all_occurrences() {
    let mut job = job(vec![Step { count: 1, ..Step::default() }]);
    job.schedule = Some(Schedule { times: 2, first: 1000, every: 500 });
    let mut progress = Progress::default();
    progress.mark_done(&job, &task(1, 0, 0));
    let half = progress.state;
    progress.mark_done(&job, &task(0, 0, 0));
    assert_snapshot!(format!("{half:?} {:?}", progress.state), @"Queued Succeeded");
}

#[test]
fn an_invalid_job_is_rejected_with_its_field() {
    let step = Step { count: 1, ..Step::default() };
    let mut messages = Vec::new();
    for steps in [
        vec![],
        vec![Step { count: 0, ..step.clone() }],
        vec![Step { after: vec![0], ..step.clone() }],
        vec![step.clone(), Step { after: vec![7], ..step.clone() }],
        vec![Step { count: 20_000, ..step.clone() }],
    ] {
        messages.push(job(steps).check().unwrap_err().to_string());
    }
    let long = Job { spec: "x".repeat(4001), ..job(vec![step]) };
    messages.push(long.check().unwrap_err().to_string());
    assert_snapshot!(messages.join("\n"), @r"
    steps must have 1 to 64 entries
    steps[0].count must be at least 1
    steps[0].after must name earlier steps only, counted from 0
    steps[1].after must name earlier steps only, counted from 0
    steps must have at most 10000 tasks in all
    spec must have at most 4000 bytes
    ");
}
