//! Workers that the platform lists no more.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_dispatch::{Owner, Settings};
use quincewheel_job::{How, Machine};
use quincewheel_wire::Notice;

/// An owner on a platform that lists machines, with a job that runs at the first worker.
fn running() -> Harness {
    let mut harness = Harness::new(1, 2);
    harness.owner.tune(Settings { listed: true, ..Settings::default() });
    let mut harness = harness.with_idle_workers(2);
    harness.tick();
    harness.owner.job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.take_orders();
    harness
}

/// A new owner that two of three agents follow, and a job of the former owner's time.
fn taken_over() -> Harness {
    let mut harness = Harness::new(2, 3);
    harness.owner.tune(Settings { listed: true, ..Settings::default() });
    harness.owner.job("old", job(1, vec![step(1, 1)]), 50, None);
    for number in 0..2 {
        harness.connect(number);
        harness.report_status(number, &[], &[]);
    }
    harness
}

/// The first agent's worker takes no connections any more.
fn refuse(harness: &mut Harness) {
    let running = vec![run(task("a", 0, 0), 1)];
    let worker = Some(harness::worker(0));
    let (stamp, ended) = (harness.now, Vec::new());
    harness.deliver(0, Notice::Status { stamp, worker, fenced: false, running, ended });
}

fn machines(workers: &[&str]) -> Vec<Machine> {
    let machine = |(number, worker): (usize, &&str)| Machine {
        name: format!("m{number}"),
        worker: (*worker).to_owned(),
        ..Machine::default()
    };
    workers.iter().enumerate().map(machine).collect()
}

/// The list comes, on one page and whole, and says what was ordered then.
fn listed(harness: &mut Harness, workers: &[&str]) -> String {
    harness.owner.machines(machines(workers), true, 1, harness.now);
    harness.tick();
    harness.take_orders()
}

// Symptom: gangs wait for 10 to 19 s with `remains of a former start`, beside idle workers.
// Sequence: a worker is taken away at short notice, or crashes; its agent finds the
// connection refused. Cause: nothing but its lease told that it was gone.
#[test]
fn what_ran_at_a_worker_that_is_not_listed_any_more_starts_elsewhere_at_once() {
    let mut harness = running();
    refuse(&mut harness);
    harness.advance(100);
    let asked = harness.take_orders();
    let told = listed(&mut harness, &["", "i1"]);
    assert_snapshot!(format!("{asked}\n-- listed\n{told}"), @r"
    list
    -- listed
    w1 start a.0.0.0 run 2
    ");
}

// A worker that is cut off runs on, and is still listed: two runs at once otherwise.
#[test]
fn a_worker_that_is_still_listed_is_waited_for_until_its_lease_is_over() {
    let mut harness = running();
    harness.owner.unlinked(0);
    let begin = harness.now;
    let mut told = Vec::new();
    while harness.now < begin + 7000 {
        harness.advance(100);
        harness.deliver(1, Notice::Ping { stamp: harness.now, silent: 0 });
        let lines = harness.take_orders();
        let lines = lines.lines().filter(|line| *line != "nothing");
        told.extend(lines.map(|line| format!("{} ms: {line}", harness.now - begin)));
        harness.owner.machines(machines(&["i0", "i1"]), true, 1, harness.now);
    }
    assert_snapshot!(told.join("\n"), @r"
    100 ms: list
    400 ms: list
    1000 ms: list
    2200 ms: list
    4200 ms: list
    6200 ms: w1 start a.0.0.0 run 2
    ");
}

// Neither a list that was asked for before the worker was missed, nor one of which a part
// could not be read, nor an empty one proves anything.
#[test]
fn only_a_whole_and_newer_list_proves_that_a_worker_is_gone() {
    let mut harness = running();
    let before = harness.now;
    harness.advance(200);
    refuse(&mut harness);
    harness.advance(100);
    harness.take_orders();
    harness.owner.machines(machines(&["", "i1"]), true, 1, before);
    harness.owner.machines(machines(&["", "i1"]), false, 1, harness.now);
    harness.owner.machines(Vec::new(), true, 1, harness.now);
    harness.tick();
    let none = harness.take_orders();
    // Pages that were made one after the other must agree.
    harness.owner.machines(machines(&["", "i1"]), true, 2, harness.now);
    harness.tick();
    let once = harness.take_orders();
    harness.owner.machines(machines(&["", "i1"]), true, 2, harness.now);
    harness.tick();
    assert_snapshot!(format!("{none}\n{once}\n{}", harness.take_orders()), @r"
    nothing
    nothing
    w1 start a.0.0.0 run 2
    ");
}

// The worker answers again before the list comes.
#[test]
fn a_worker_that_answers_is_not_taken_for_gone() {
    let mut harness = running();
    refuse(&mut harness);
    harness.advance(100);
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.advance(100);
    harness.take_orders();
    let told = listed(&mut harness, &["", "i1"]);
    harness.report_status(0, &[], &[harness::end(1, task("a", 0, 0), 1, How::Done)]);
    assert_snapshot!(format!("{told}\n{:?}", harness.record().jobs.len()), @r"
    nothing
    1
    ");
}

// Symptom: after a change of owner older jobs stand still for up to 20 s, urgent ones too.
// Sequence: workers are taken away at short notice; their agents' rows are still there when
// the owner is replaced. Cause: the new owner waited for leases at workers that are gone.
#[test]
fn older_jobs_start_once_each_listed_worker_has_answered() {
    let mut harness = taken_over();
    let mut told = Vec::new();
    let begin = harness.now;
    while harness.now < begin + 3000 {
        harness.advance(100);
        for number in 0..2 {
            harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
        }
        let lines = harness.take_orders();
        let lines: Vec<&str> = lines.lines().filter(|line| *line != "nothing").collect();
        told.extend(lines.iter().map(|line| format!("{} ms: {line}", harness.now - begin)));
        if lines.contains(&"list") {
            harness.owner.machines(machines(&["i0", "i1", ""]), true, 1, harness.now);
        }
    }
    assert_snapshot!(told.join("\n"), @r"
    1500 ms: list
    1600 ms: w0 start old.0.0.0 run 1001
    ");
}

// A listed worker that nobody has heard of may run what the former owner started.
#[test]
fn a_listed_worker_that_is_not_heard_is_waited_for() {
    let mut harness = taken_over();
    let mut told = String::new();
    for _ in 0..30 {
        harness.advance(100);
        for number in 0..2 {
            harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
        }
        harness.owner.machines(machines(&["i0", "i1", "i2"]), true, 1, harness.now);
        told += &harness.take_orders().replace("list", "").replace("nothing", "");
    }
    let settled = |owner: &Owner| owner.is_settled();
    assert_snapshot!(format!("{:?} {}", told.trim(), settled(&harness.owner)), @r#""" false"#);
}

// Symptom: an agent whose worker has just restarted is dismissed, and takes no work for 2 s.
// Sequence: a worker crashes and is missed; the list is asked for; another life of it reports;
// then the list comes, which is older than that life. Cause: the new life inherited the time
// from which the former one was missed.
#[test]
fn a_list_that_is_older_than_a_life_does_not_end_it() {
    let mut harness = running();
    refuse(&mut harness);
    harness.advance(100);
    let asked = harness.now;
    harness.advance(100);
    let (stamp, running, ended) = (harness.now, Vec::new(), Vec::new());
    let worker = Some(quincewheel_job::Worker { id: "j0".into(), ..harness::worker(0) });
    harness.deliver(0, Notice::Status { stamp, worker, fenced: false, running, ended });
    harness.take_orders();
    harness.owner.machines(machines(&["", "i1"]), true, 1, asked);
    harness.tick();
    assert_snapshot!(format!("{:?}", harness.record().gone), @"[]");
}

// Symptom: tasks run twice for some 70 ms after a change of owner. Sequence: a worker is taken
// away; the owner learns that from the list and starts its task elsewhere, under a higher number;
// the owner is killed. The agent of the worker that is gone still lists the first run, and tells
// the new owner before the agent of the second. The list drops the first. Cause: the first run
// that was told was adopted, and the later one stopped as a remnant, while its task began anew.
#[test]
fn of_two_runs_of_a_task_the_later_one_is_adopted() {
    let mut harness = Harness::new(2, 3);
    harness.owner.tune(Settings { listed: true, ..Settings::default() });
    harness.owner.job("old", job(1, vec![step(1, 1)]), 50, None);
    for number in 0..3 {
        harness.connect(number);
    }
    let (stamp, running, ended) = (harness.now, vec![run(task("old", 0, 0), 1)], Vec::new());
    let worker = Some(harness::worker(0));
    harness.deliver(0, Notice::Status { stamp, worker, fenced: false, running, ended });
    harness.report_status(1, &[run(task("old", 0, 0), 2)], &[]);
    harness.report_status(2, &[], &[]);
    harness.advance(1500);
    let mut told = harness.take_orders();
    told += "\n-- listed\n";
    told += &listed(&mut harness, &["", "i1", "i2"]);
    assert_snapshot!(told, @r"
    list
    list
    -- listed
    nothing
    ");
}
