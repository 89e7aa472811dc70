//! Records under the limits of the table, for jobs whose record is larger than a row.

mod harness;

use std::collections::BTreeMap;

use harness::{CLAIM_VERSION, Harness, end, job, step, task};
use insta::assert_snapshot;
use quincewheel_dispatch::{JobView, Mirror};
use quincewheel_job::{End, How, Job, Progress, Schedule, Step, Task};
use quincewheel_store::{Change, Limits};

/// The record of an owner in a table that refuses rows beyond its limit.
struct Record {
    harness: Harness,
    /// The rows of the table.
    rows: BTreeMap<String, String>,
    /// Bytes of all values that were written.
    written: usize,
    refused: usize,
    next_end: u64,
}

impl Record {
    fn new(jobs: &[(&str, &Job)]) -> Record {
        let mut harness = Harness::new(1, 1).with_idle_workers(1);
        for (number, (id, job)) in (1..).zip(jobs) {
            harness.owner.add_job(id, (*job).clone(), CLAIM_VERSION + number, None);
        }
        Record { harness, rows: BTreeMap::new(), written: 0, refused: 0, next_end: 1 }
    }

    /// Passes on ends, as the worker lists them at most 500 at a time.
    fn report_ends(&mut self, ends: Vec<(Task, u64, How)>) {
        for chunk in ends.chunks(500) {
            let first = self.next_end;
            self.next_end += chunk.len() as u64;
            let numbered = (first..).zip(chunk);
            let ends: Vec<End> = numbered
                .map(|(number, (task, run, how))| end(number, task.clone(), *run, *how))
                .collect();
            self.harness.report_status(0, &[], &ends);
            self.write_all();
        }
    }

    /// Writes until there is nothing to record, or the table refuses a write.
    fn write_all(&mut self) {
        while self.harness.owner.has_unrecorded() && self.refused == 0 {
            self.write_once();
        }
    }

    /// Writes one batch, and returns the number of rows that the table has taken.
    fn write_once(&mut self) -> usize {
        let Some(batch) = self.harness.owner.next_batch() else { return 0 };
        let accepted = batch.check(&Limits::default()).is_ok();
        self.harness.owner.on_recorded(&batch, accepted);
        self.harness.collect_outputs();
        if !accepted {
            self.refused += 1;
            return 0;
        }
        let rows = batch.rows.len();
        self.written += batch.rows.iter().map(|row| row.value.len()).sum::<usize>();
        self.rows.extend(batch.rows.into_iter().map(|row| (row.key, row.value)));
        rows
    }

    /// Returns an owner that has read the rows, as a mirror does.
    fn take_over(&self, id: &str, job: &Job) -> Harness {
        let mut mirror = Mirror::default();
        for (key, value) in &self.rows {
            let (key, value) = (key.clone(), Some(value.clone()));
            mirror.apply(&Change { key, version: CLAIM_VERSION, value });
        }
        let mut next = Harness::new(2, 1);
        let progress = mirror.jobs.get(id).and_then(JobView::progress);
        next.owner.add_job(id, job.clone(), CLAIM_VERSION - 1, progress);
        next.with_idle_workers(1)
    }

    fn outcome(&mut self) -> String {
        let acknowledged: Vec<String> =
            self.harness.take_orders().lines().map(str::to_owned).collect();
        let last = acknowledged.iter().rfind(|order| order.contains("seen"));
        format!("refused writes: {}; last acknowledgement: {last:?}", self.refused)
    }
}

fn scheduled(times: u32) -> Job {
    Job { schedule: Some(Schedule { times, first: 0, every: 8 }), ..job(1, vec![step(1, 0)]) }
}

fn occurrence(job: &str, occurrence: u32) -> Task {
    Task { occurrence, ..task(job, 0, 0) }
}

// Guards against a job whose record outgrows a row: the table refused each write that held it, nothing
// was recorded for any team, and tasks of others that were done ran again.
#[test]
fn ends_of_other_jobs_are_recorded_beside_a_job_with_thousands_of_occurrences() {
    let mut record =
        Record::new(&[("often", &scheduled(4400)), ("small", &job(1, vec![step(12, 0)]))]);
    record.report_ends((0..4400).map(|k| (occurrence("often", k), 1, How::Done)).collect());
    record.report_ends((0..12).map(|index| (task("small", 0, index), 1, How::Done)).collect());
    let ended = record.harness.owner.has_ended("often") && record.harness.owner.has_ended("small");
    assert_snapshot!(format!("{}; ended: {ended}", record.outcome()), @r#"refused writes: 0; last acknowledgement: Some("w0 seen 4412"); ended: true"#);
}

// Guards against the same from one job of many tasks of which many fail: failures stayed in the record
// after their tasks were done.
#[test]
fn ends_are_recorded_of_a_job_with_thousands_of_tasks_that_fail_once() {
    let mut record = Record::new(&[("wide", &job(1, vec![step(8000, 0)]))]);
    let failed = (0..8000).step_by(2).map(|index| (task("wide", 0, index), 1, How::Failed));
    record.report_ends(failed.collect());
    record.report_ends((0..8000).map(|index| (task("wide", 0, index), 1001, How::Done)).collect());
    let ended = record.harness.owner.has_ended("wide");
    assert_snapshot!(format!("{}; ended: {ended}", record.outcome()), @r#"refused writes: 0; last acknowledgement: Some("w0 seen 12000"); ended: true"#);
}

// Guards against a new owner that reads only a part of a long record, or reads it wrongly: tasks that
// are done would run again.
#[test]
fn a_new_owner_starts_only_what_is_not_done_in_any_part_of_the_record() {
    let wide = job(1, vec![step(3000, 0)]);
    let mut record = Record::new(&[("wide", &wide)]);
    let left = [0, 1, 700, 1999, 2999];
    let done = (0..3000).filter(|index| !left.contains(index));
    record.report_ends(done.map(|index| (task("wide", 0, index), 1, How::Done)).collect());
    record.report_ends(vec![(task("wide", 0, 700), 1, How::Failed)]);
    let mut next = record.take_over("wide", &wide);
    next.tick();
    assert_snapshot!(format!("{} rows\n{}", record.rows.len(), next.take_orders()), @r"
    21 rows
    w0 start wide.0.0.0 run 1001 
    w0 start wide.0.0.1 run 1001 
    w0 start wide.0.0.700 run 1001 
    w0 start wide.0.0.1999 run 1001 
    w0 start wide.0.0.2999 run 1001
    ");
}

// Guards against a job that hangs: its last tasks were recorded, and the owner ended before it recorded
// that the job had ended.
#[test]
fn a_job_of_which_all_tasks_are_recorded_as_done_ends_under_the_next_owner() {
    let wide = job(1, vec![step(3000, 0)]);
    let mut record = Record::new(&[("wide", &wide)]);
    record.report_ends((0..2999).map(|index| (task("wide", 0, index), 1, How::Done)).collect());
    let first = record.rows.get("run/wide").cloned();
    record.report_ends(vec![(task("wide", 0, 2999), 1, How::Done)]);
    record.rows.extend(first.map(|row| ("run/wide".to_owned(), row)));
    let mut next = record.take_over("wide", &wide);
    let ended = next.owner.has_ended("wide");
    let states = next.record().jobs.into_iter().map(|(_, part)| (part.part, part.state));
    assert_snapshot!(format!("{ended} {:?}", states.collect::<Vec<_>>()), @"true [(0, Succeeded)]");
}

// Guards against work that runs again after an upgrade: an earlier version recorded a job in one row
// that this version records in several, and the owner ended during the change.
#[test]
fn a_record_of_an_earlier_version_is_divided_with_its_first_row_last() {
    let wide = job(1, vec![step(3000, 0)]);
    let done: Vec<String> = (0..2900).map(|index| index.to_string()).collect();
    let row = format!(
        r#"{{"state":"Running","done":{{"0":{{"0":[{}]}}}},"failed":{{"0":{{"0":{{"2950":[1,2]}}}}}}}}"#,
        done.join(",")
    );
    let progress: Progress = serde_json::from_str(&row).unwrap();
    let mut owner = Harness::new(2, 1).with_idle_workers(1);
    owner.owner.add_job("wide", wide.clone(), CLAIM_VERSION + 1, Some(progress));
    let batch = owner.record();
    let parts: Vec<u32> = batch.jobs.iter().map(|(_, part)| part.part).collect();
    let mut starts = Vec::new();
    for written in [0, 1, batch.rows.len() - 1, batch.rows.len()] {
        let mut record = Record::new(&[]);
        record.rows.insert("run/wide".to_owned(), row.clone());
        let rows = batch.rows.iter().take(written);
        record.rows.extend(rows.map(|row| (row.key.clone(), row.value.clone())));
        let mut next = record.take_over("wide", &wide);
        next.tick();
        let orders = next.take_orders();
        starts.push(format!("{} from {:?}", orders.lines().count(), orders.lines().next()));
    }
    assert_snapshot!(format!("{parts:?}\n{}", starts.join("\n")), @r#"
    [19, 18, 17, 16, 15, 14, 13, 12, 11, 10, 9, 8, 7, 6, 5, 4, 3, 2, 1, 0]
    64 from Some("w0 start wide.0.0.2900 run 1001 ")
    64 from Some("w0 start wide.0.0.2900 run 1001 ")
    64 from Some("w0 start wide.0.0.2900 run 1001 ")
    64 from Some("w0 start wide.0.0.2900 run 1001 ")
    "#);
}

// Guards against writes that the table refuses for their size: many jobs with large records change at
// once, beside checkpoints.
#[test]
fn what_does_not_fit_in_a_transaction_is_left_for_the_next() {
    let saving = Step { checkpoints: true, ..step(400, 0) };
    let wide = job(1, vec![saving]);
    let ids: Vec<String> = (0..60).map(|number| format!("j{number:02}")).collect();
    let jobs: Vec<(&str, &Job)> = ids.iter().map(|id| (id.as_str(), &wide)).collect();
    let mut record = Record::new(&jobs);
    let mut ends = Vec::new();
    for (number, id) in (0..).zip(&ids) {
        // Every other task is done, and the others have failed.
        let how =
            |index: u32| if (index + number).is_multiple_of(2) { How::Done } else { How::Failed };
        ends.extend((0..400).map(|index| (task(id, 0, index), 1, how(index))));
    }
    let numbered = (1..).zip(&ends);
    let ends: Vec<End> = numbered
        .map(|(number, (task, run, how))| End {
            saved: "c".repeat(200),
            ..end(number, task.clone(), *run, *how)
        })
        .collect();
    record.harness.report_status(0, &[], &ends);
    record.harness.now += 2000;
    record.write_all();
    let progress = record.rows.keys().filter(|key| key.starts_with("run/")).count();
    let checkpoints = record.rows.keys().filter(|key| key.starts_with("save/")).count();
    assert_snapshot!(format!("{} {progress} {checkpoints}", record.outcome()), @r#"refused writes: 0; last acknowledgement: Some("w0 seen 24000") 180 100"#);
}

// Guards against a record that grows again, and a job that fails although its tasks are done: a worker
// lists failures of a task after its end as done.
#[test]
fn failures_of_a_task_that_is_done_are_not_recorded() {
    let mut record = Record::new(&[("a", &job(1, vec![step(2, 0)]))]);
    let ends = [(1, How::Done), (2, How::Failed), (3, How::Failed), (4, How::Failed)];
    record.report_ends(ends.map(|(run, how)| (task("a", 0, 0), run, how)).to_vec());
    assert_snapshot!(record.rows["run/a"], @r#"{"state":"Queued","done":{"0":{"0":[0]}},"failed":{}}"#);
}

// Guards against ends that are never acknowledged: busy jobs filled each batch, and the others were not
// recorded for as long as that went on.
#[test]
fn busy_jobs_do_not_hold_up_the_record_of_others() {
    let ids: Vec<String> = (0..80).map(|number| format!("busy{number:02}")).collect();
    let (busy, last) = (job(1, vec![step(40, 0)]), job(1, vec![step(1, 0)]));
    let mut jobs: Vec<(&str, &Job)> = ids.iter().map(|id| (id.as_str(), &busy)).collect();
    jobs.push(("last", &last));
    let mut harness = Record::new(&jobs).harness;
    let mut number = 0;
    let mut recorded_after = None;
    for index in 0..30 {
        // A task of each busy job ends between two writes.
        let mut ends: Vec<Task> = ids.iter().map(|id| task(id, 0, index)).collect();
        ends.extend((index == 0).then(|| task("last", 0, 0)));
        let ends: Vec<End> = ends
            .into_iter()
            .map(|task| {
                number += 1;
                end(number, task, 1, How::Done)
            })
            .collect();
        harness.report_status(0, &[], &ends);
        let batch = harness.record();
        let recorded = batch.jobs.iter().any(|(id, _)| id == "last");
        recorded_after = recorded_after.or(recorded.then_some(index + 1));
    }
    let orders = harness.take_orders();
    let first = orders.lines().find(|line| line.contains("seen"));
    assert_snapshot!(format!("recorded with write {recorded_after:?}, first {first:?}"), @r#"recorded with write Some(2), first Some("w0 seen 81")"#);
}

// Guards against an end that is acknowledged and not recorded: it changed a part of a job that had been
// written already while further parts were left for the next batch.
#[test]
fn a_part_that_changes_again_while_others_are_recorded_is_recorded_again() {
    let wide = job(1, vec![step(10_000, 0)]);
    let mut record = Record::new(&[("wide", &wide)]);
    let spread: Vec<u32> = (0..10_000).step_by(100).collect();
    let ends = (1..).zip(&spread).map(|(n, index)| end(n, task("wide", 0, *index), 1, How::Done));
    let ends: Vec<End> = ends.collect();
    record.harness.report_status(0, &[], &ends);
    let first = record.write_once();
    // The part with the highest indexes is written first.
    let later = end(ends.len() as u64 + 1, task("wide", 0, 9999), 1, How::Done);
    record.harness.report_status(0, &[], &[later]);
    record.write_all();
    let mut next = record.take_over("wide", &wide);
    next.tick();
    let again = next.take_orders().contains("wide.0.0.9999 ");
    let left = 10_000 - spread.len() - 1;
    let mut whole = Progress::default();
    for (_, row) in record.rows.iter().filter(|(key, _)| key.starts_with("run/wide")) {
        whole.merge(serde_json::from_str(row).unwrap());
    }
    let open = (0..10_000).filter(|index| !whole.is_done(&task("wide", 0, *index))).count();
    assert_snapshot!(format!("{first} rows first, {open} of {left} left, again {again}"), @"50 rows first, 9899 of 9899 left, again false");
}

// Guards against a record that is rewritten as a whole at each end of a run.
#[test]
fn an_end_writes_no_more_of_a_large_job_than_one_part() {
    let mut written = Vec::new();
    for count in [100, 1000, 10_000] {
        let mut record = Record::new(&[("wide", &job(1, vec![step(count, 0)]))]);
        let ends = 0..count - 1;
        record.report_ends(ends.map(|index| (task("wide", 0, index), 1, How::Done)).collect());
        let before = record.written;
        record.report_ends(vec![(task("wide", 0, count - 1), 1, How::Failed)]);
        written.push(format!("{count} tasks: {} bytes", record.written - before));
    }
    assert_snapshot!(written.join("\n"), @r"
    100 tasks: 358 bytes
    1000 tasks: 108 bytes
    10000 tasks: 112 bytes
    ");
}
