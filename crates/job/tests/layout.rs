//! The division of a job's progress among rows of the table.

use insta::assert_snapshot;
use quincewheel_job::{Job, Layout, Progress, Queue, Schedule, Step, Task};

/// Highest run numbers that are recorded; an owner with any epoch may give them.
const LAST_RUN: u64 = u64::MAX;

/// Fewest bytes that a task takes with the most that may be recorded of it.
const MIN_SLOT_BYTES: usize = 300;

fn job(steps: &[(u32, bool)], times: u32, attempts: u32) -> Job {
    let steps = steps.iter().map(|&(count, gang)| Step { count, gang, ..Step::default() });
    Job {
        team: "t".into(),
        queue: Queue { attempts, ..Queue::default() },
        spec: String::new(),
        steps: steps.collect(),
        schedule: (times > 1).then_some(Schedule { times, first: 0, every: 1 }),
        accepted: 0,
    }
}

/// Jobs of many shapes, the largest that are accepted among them.
fn jobs() -> Vec<Job> {
    let shapes: [(&[(u32, bool)], u32); 9] = [
        (&[(1, false)], 1),
        (&[(100, false)], 1),
        (&[(1, false)], 4400),
        (&[(1, false)], 10_000),
        (&[(8000, false)], 1),
        (&[(10_000, false)], 1),
        (&[(10_000, true)], 3),
        (&[(256, true), (7, false), (256, true)], 40),
        (&[(3, false); 64], 30),
    ];
    let attempts = [1, 4, u32::MAX];
    shapes.iter().flat_map(|&(steps, times)| attempts.map(|n| job(steps, times, n))).collect()
}

fn tasks(job: &Job) -> impl Iterator<Item = Task> {
    (0..job.occurrences()).flat_map(move |occurrence| {
        (0u32..).zip(&job.steps).flat_map(move |(step, shape)| {
            let count = if shape.gang { 1 } else { shape.count };
            (0..count).map(move |index| Task { job: "j".into(), occurrence, step, index })
        })
    })
}

/// Records the most of a task that an owner ever does.
fn fill(progress: &mut Progress, job: &Job, task: &Task, done: bool) {
    let failures = u64::from(job.queue.attempts.min(40));
    let fail = |progress: &mut Progress| {
        for run in 0..failures {
            progress.record_failure(job, task, LAST_RUN - run);
        }
    };
    if done {
        progress.mark_done(job, task);
        // A copy of it may still run.
        fail(progress);
    } else {
        fail(progress);
    }
    for run in 0..12 {
        progress.record_crash(job, task, LAST_RUN - 100 - run, run % 2 == 0);
        progress.mark_unsettled(job, task, LAST_RUN - 200 - run);
    }
}

fn row_bytes(progress: &Progress) -> usize {
    serde_json::to_string(progress).unwrap().len()
}

// Guards against a row that the table refuses: no job that is accepted produces one, for the most that
// is recorded of all its tasks, and for tasks of which every other one is done.
#[test]
fn no_part_outgrows_a_row_with_the_most_that_is_recorded_of_each_task() {
    let mut checked = 0;
    for row in [8192, 65_536] {
        for job in jobs() {
            let layout = Layout::of(&job, row);
            for alternate in [false, true] {
                let mut progress = Progress::default();
                let all: Vec<Task> = tasks(&job).collect();
                // More slots than a part holds, at the begin and at the end of the job.
                let taken = all.len().min(row / MIN_SLOT_BYTES);
                let chosen = all[..taken].iter().chain(&all[all.len() - taken..]);
                for (number, task) in chosen.enumerate() {
                    fill(&mut progress, &job, task, alternate && number % 2 == 0);
                }
                for part in progress.occupied_parts(&job, &layout) {
                    let bytes = row_bytes(&progress.part(&layout, part));
                    let (times, steps) = (job.occurrences(), job.steps.len());
                    assert!(
                        bytes <= row,
                        "{bytes} of {row}: {times} times {steps} steps, part {part}"
                    );
                    checked += 1;
                }
            }
        }
    }
    assert!(checked > 300, "{checked} parts were checked");
}

#[test]
fn parts_join_to_the_progress_that_was_divided() {
    for job in jobs().into_iter().filter(|job| tasks(job).count() <= 2000) {
        let layout = Layout::of(&job, 8192);
        let mut progress = Progress::default();
        for (number, task) in tasks(&job).enumerate() {
            match number % 5 {
                0 | 1 => progress.mark_done(&job, &task),
                2 => fill(&mut progress, &job, &task, false),
                _ => {}
            }
        }
        let parts: Vec<u32> = progress.occupied_parts(&job, &layout).into_iter().rev().collect();
        let mut joined = Progress::default();
        for part in parts {
            let row = serde_json::to_string(&progress.part(&layout, part)).unwrap();
            joined.merge(serde_json::from_str(&row).unwrap());
        }
        for task in tasks(&job) {
            let slot = (task.occurrence, task.step, task.index);
            assert_eq!(joined.is_done(&task), progress.is_done(&task), "{task}");
            assert_eq!(joined.failures(slot), progress.failures(slot), "{task}");
            assert_eq!(
                joined.crash_count(&job, &task),
                progress.crash_count(&job, &task),
                "{task}"
            );
        }
    }
}

// Guards against members of a gang that start without the others: they are done together, so they are
// recorded together.
#[test]
fn a_gang_is_in_one_part() {
    let job = job(&[(256, true), (7, false), (256, true)], 400, 4);
    let layout = Layout::of(&job, 8192);
    let mut split = 0;
    for task in tasks(&job).filter(|task| task.step != 1) {
        let mut progress = Progress::default();
        progress.mark_done(&job, &task);
        let parts = progress.occupied_parts(&job, &layout);
        let mut joined = Progress::default();
        parts.iter().for_each(|&part| joined.merge(progress.part(&layout, part)));
        let step = &job.steps[task.step as usize];
        split +=
            usize::from(parts.len() != 1 || !joined.is_step_done(task.occurrence, task.step, step));
    }
    assert_snapshot!(format!("{} parts, {split} gangs split", layout.parts()), @"225 parts, 0 gangs split");
}

// Guards against a format that earlier versions cannot read where nothing requires it: the record of a
// job that fits in one row.
#[test]
fn a_small_job_is_recorded_as_earlier_versions_did() {
    let job = job(&[(3, false), (2, true)], 1, 4);
    let layout = Layout::of(&job, 65_536);
    let mut progress = Progress::default();
    let task = |step, index| Task { job: "j".into(), occurrence: 0, step, index };
    progress.record_failure(&job, &task(0, 0), 1);
    progress.mark_done(&job, &task(0, 2));
    progress.mark_done(&job, &task(1, 0));
    let row = serde_json::to_string(&progress.part(&layout, 0)).unwrap();
    assert_snapshot!(row, @r#"{"state":"Queued","done":{"0":{"0":[2],"1":[0,1]}},"failed":{"0":{"0":{"0":[1]}}}}"#);
}

// Guards against a task that starts once too often on a queue with many attempts, of which the first
// failures are counted without being listed.
#[test]
fn failures_beyond_those_listed_are_counted_once() {
    let job = job(&[(1, false)], 1, 1000);
    let mut progress = Progress::default();
    let task = Task { job: "j".into(), occurrence: 0, step: 0, index: 0 };
    let mut counts = Vec::new();
    for run in (1..=100).chain([100, 40, 68, 69]) {
        counts.push(progress.record_failure(&job, &task, run));
    }
    assert_snapshot!(format!("{:?}", &counts[98..]), @"[99, 100, 100, 100, 100, 100]");
}
