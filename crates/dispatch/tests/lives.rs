//! Workers that the platform lists no more.

mod bed;

use bed::{Bed, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_dispatch::{Owner, Settings};
use quincewheel_job::{How, Machine};
use quincewheel_wire::Notice;

/// An owner on a platform that lists machines, with a job that runs at the first worker.
fn running() -> Bed {
    let mut bed = Bed::open(1, 2);
    bed.owner.update_settings(Settings { listed: true, ..Settings::default() });
    let mut bed = bed.idle(2);
    bed.step();
    bed.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    bed.step();
    bed.status(0, &[run(task("a", 0, 0), 1)], &[]);
    bed.told();
    bed
}

/// A new owner that two of three agents follow, and a job of the former owner's time.
fn taken_over() -> Bed {
    let mut bed = Bed::open(2, 3);
    bed.owner.update_settings(Settings { listed: true, ..Settings::default() });
    bed.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    for number in 0..2 {
        bed.link(number);
        bed.status(number, &[], &[]);
    }
    bed
}

/// The first agent's worker takes no connections any more.
fn refuse(bed: &mut Bed) {
    let running = vec![run(task("a", 0, 0), 1)];
    let worker = Some(bed::worker(0));
    let (stamp, ended) = (bed.now, Vec::new());
    bed.notice(0, Notice::Status { stamp, worker, fenced: false, running, ended });
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
fn listed(bed: &mut Bed, workers: &[&str]) -> String {
    bed.owner.machines(machines(workers), true, 1, bed.now);
    bed.step();
    bed.told()
}

// Symptom: gangs wait for 10 to 19 s with `remains of a former start`, beside idle workers.
// Sequence: a worker is taken away at short notice, or crashes; its agent finds the
// connection refused. Cause: nothing but its lease told that it was gone.
#[test]
fn what_ran_at_a_worker_that_is_not_listed_any_more_starts_elsewhere_at_once() {
    let mut bed = running();
    refuse(&mut bed);
    bed.pass(100);
    let asked = bed.told();
    let told = listed(&mut bed, &["", "i1"]);
    assert_snapshot!(format!("{asked}\n-- listed\n{told}"), @r"
    list
    -- listed
    w1 start a.0.0.0 run 2
    ");
}

// A worker that is cut off runs on, and is still listed: two runs at once otherwise.
#[test]
fn a_worker_that_is_still_listed_is_waited_for_until_its_lease_is_over() {
    let mut bed = running();
    bed.owner.unlinked(0);
    let begin = bed.now;
    let mut told = Vec::new();
    while bed.now < begin + 7000 {
        bed.pass(100);
        bed.notice(1, Notice::Ping { stamp: bed.now, silent: 0 });
        let lines = bed.told();
        let lines = lines.lines().filter(|line| *line != "nothing");
        told.extend(lines.map(|line| format!("{} ms: {line}", bed.now - begin)));
        bed.owner.machines(machines(&["i0", "i1"]), true, 1, bed.now);
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
    let mut bed = running();
    let before = bed.now;
    bed.pass(200);
    refuse(&mut bed);
    bed.pass(100);
    bed.told();
    bed.owner.machines(machines(&["", "i1"]), true, 1, before);
    bed.owner.machines(machines(&["", "i1"]), false, 1, bed.now);
    bed.owner.machines(Vec::new(), true, 1, bed.now);
    bed.step();
    let none = bed.told();
    // Pages that were made one after the other must agree.
    bed.owner.machines(machines(&["", "i1"]), true, 2, bed.now);
    bed.step();
    let once = bed.told();
    bed.owner.machines(machines(&["", "i1"]), true, 2, bed.now);
    bed.step();
    assert_snapshot!(format!("{none}\n{once}\n{}", bed.told()), @r"
    nothing
    nothing
    w1 start a.0.0.0 run 2
    ");
}

// The worker answers again before the list comes.
#[test]
fn a_worker_that_answers_is_not_taken_for_gone() {
    let mut bed = running();
    refuse(&mut bed);
    bed.pass(100);
    bed.status(0, &[run(task("a", 0, 0), 1)], &[]);
    bed.pass(100);
    bed.told();
    let told = listed(&mut bed, &["", "i1"]);
    bed.status(0, &[], &[bed::end(1, task("a", 0, 0), 1, How::Done)]);
    assert_snapshot!(format!("{told}\n{:?}", bed.record().jobs.len()), @r"
    nothing
    1
    ");
}

// Symptom: after a change of owner older jobs stand still for up to 20 s, urgent ones too.
// Sequence: workers are taken away at short notice; their agents' rows are still there when
// the owner is replaced. Cause: the new owner waited for leases at workers that are gone.
#[test]
fn older_jobs_start_once_each_listed_worker_has_answered() {
    let mut bed = taken_over();
    let mut told = Vec::new();
    let begin = bed.now;
    while bed.now < begin + 3000 {
        bed.pass(100);
        for number in 0..2 {
            bed.notice(number, Notice::Ping { stamp: bed.now, silent: 0 });
        }
        let lines = bed.told();
        let lines: Vec<&str> = lines.lines().filter(|line| *line != "nothing").collect();
        told.extend(lines.iter().map(|line| format!("{} ms: {line}", bed.now - begin)));
        if lines.contains(&"list") {
            bed.owner.machines(machines(&["i0", "i1", ""]), true, 1, bed.now);
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
    let mut bed = taken_over();
    let mut told = String::new();
    for _ in 0..30 {
        bed.pass(100);
        for number in 0..2 {
            bed.notice(number, Notice::Ping { stamp: bed.now, silent: 0 });
        }
        bed.owner.machines(machines(&["i0", "i1", "i2"]), true, 1, bed.now);
        told += &bed.told().replace("list", "").replace("nothing", "");
    }
    let settled = |owner: &Owner| owner.is_settled();
    assert_snapshot!(format!("{:?} {}", told.trim(), settled(&bed.owner)), @r#""" false"#);
}

// Symptom: an agent whose worker has just restarted is dismissed, and takes no work for 2 s.
// Sequence: a worker crashes and is missed; the list is asked for; another life of it reports;
// then the list comes, which is older than that life. Cause: the new life inherited the time
// from which the former one was missed.
#[test]
fn a_list_that_is_older_than_a_life_does_not_end_it() {
    let mut bed = running();
    refuse(&mut bed);
    bed.pass(100);
    let asked = bed.now;
    bed.pass(100);
    let (stamp, running, ended) = (bed.now, Vec::new(), Vec::new());
    let worker = Some(quincewheel_job::Worker { id: "j0".into(), ..bed::worker(0) });
    bed.notice(0, Notice::Status { stamp, worker, fenced: false, running, ended });
    bed.told();
    bed.owner.machines(machines(&["", "i1"]), true, 1, asked);
    bed.step();
    assert_snapshot!(format!("{:?}", bed.record().gone), @"[]");
}

// Symptom: tasks run twice for some 70 ms after a change of owner. Sequence: a worker is taken
// away; the owner learns that from the list and starts its task elsewhere, under a higher number;
// the owner is killed. The agent of the worker that is gone still lists the first run, and tells
// the new owner before the agent of the second. The list drops the first. Cause: the first run
// that was told was adopted, and the later one stopped as a remnant, while its task began anew.
#[test]
fn of_two_runs_of_a_task_the_later_one_is_adopted() {
    let mut bed = Bed::open(2, 3);
    bed.owner.update_settings(Settings { listed: true, ..Settings::default() });
    bed.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    for number in 0..3 {
        bed.link(number);
    }
    let (stamp, running, ended) = (bed.now, vec![run(task("old", 0, 0), 1)], Vec::new());
    let worker = Some(bed::worker(0));
    bed.notice(0, Notice::Status { stamp, worker, fenced: false, running, ended });
    bed.status(1, &[run(task("old", 0, 0), 2)], &[]);
    bed.status(2, &[], &[]);
    bed.pass(1500);
    let mut told = bed.told();
    told += "\n-- listed\n";
    told += &listed(&mut bed, &["", "i1", "i2"]);
    assert_snapshot!(told, @r"
    list
    list
    -- listed
    nothing
    ");
}
