//! Workers that the platform's machine list no longer names.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_dispatch::{Owner, Settings};
use quincewheel_job::{How, Machine};
use quincewheel_wire::Notice;

/// Creates an owner on a platform that lists machines, with a job that runs at the first worker.
fn owner_with_a_run() -> Harness {
    let mut harness = Harness::new(1, 2);
    harness.owner.update_settings(Settings { lists_machines: true, ..Settings::default() });
    let mut harness = harness.with_idle_workers(2);
    harness.tick();
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.take_orders();
    harness
}

/// Creates a new owner that is connected to two of three agents, and a job stored before its claim.
fn new_owner() -> Harness {
    let mut harness = Harness::new(2, 3);
    harness.owner.update_settings(Settings { lists_machines: true, ..Settings::default() });
    harness.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    for number in 0..2 {
        harness.connect(number);
        harness.report_status(number, &[], &[]);
    }
    harness
}

/// The first agent reports that its worker refuses connections.
fn report_connection_refused(harness: &mut Harness) {
    let running = vec![run(task("a", 0, 0), 1)];
    let worker = Some(harness::worker(0));
    let (stamp, ended) = (harness.now, Vec::new());
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
}

/// Returns a machine list with the workers of these ids.
fn machines(workers: &[&str]) -> Vec<Machine> {
    let machine = |(number, worker): (usize, &&str)| Machine {
        name: format!("m{number}"),
        worker: (*worker).to_owned(),
        ..Machine::default()
    };
    workers.iter().enumerate().map(machine).collect()
}

/// Delivers a complete list of one page, and returns the owner's orders.
fn deliver_list(harness: &mut Harness, workers: &[&str]) -> String {
    harness.owner.on_machines(machines(workers), true, 1, (harness.now, harness.now));
    harness.tick();
    harness.take_orders()
}

// Gangs waited for 10 to 19 s for `remains of a former start`, beside idle workers. A worker is
// removed at short notice, or crashes, and its agent finds the connection refused; only the end of
// its lease showed that it was down.
#[test]
fn runs_of_a_worker_no_longer_listed_start_elsewhere_at_once() {
    let mut harness = owner_with_a_run();
    report_connection_refused(&mut harness);
    harness.advance(100);
    let requested = harness.take_orders();
    let orders = deliver_list(&mut harness, &["", "i1"]);
    assert_snapshot!(format!("{requested}\n-- listed\n{orders}"), @r"
    list
    -- listed
    w1 start a.0.0.0 run 2
    ");
}

// A worker that is cut off goes on with its runs and is still listed: starting them elsewhere at
// once would run them twice.
#[test]
fn runs_of_a_worker_still_listed_wait_for_the_end_of_its_lease() {
    let mut harness = owner_with_a_run();
    harness.owner.on_disconnected(0);
    let begin = harness.now;
    let mut orders = Vec::new();
    while harness.now < begin + 7000 {
        harness.advance(100);
        harness.deliver(1, Notice::Ping { stamp: harness.now, silent: 0 });
        let new_orders = harness.take_orders();
        let new_orders = new_orders.lines().filter(|line| *line != "nothing");
        orders.extend(new_orders.map(|line| format!("{} ms: {line}", harness.now - begin)));
        harness.owner.on_machines(machines(&["i0", "i1"]), true, 1, (harness.now, harness.now));
    }
    assert_snapshot!(orders.join("\n"), @r"
    100 ms: list
    400 ms: list
    1000 ms: list
    2200 ms: list
    4200 ms: list
    6200 ms: w1 start a.0.0.0 run 2
    ");
}

// Nothing is proved by a list that was requested before the worker was missed, one of which a part
// could not be read, or an empty one.
#[test]
fn only_a_complete_and_later_list_proves_that_a_worker_is_down() {
    let mut harness = owner_with_a_run();
    let before = harness.now;
    harness.advance(200);
    report_connection_refused(&mut harness);
    harness.advance(100);
    harness.take_orders();
    harness.owner.on_machines(machines(&["", "i1"]), true, 1, (before, harness.now));
    harness.owner.on_machines(machines(&["", "i1"]), false, 1, (harness.now, harness.now));
    harness.owner.on_machines(Vec::new(), true, 1, (harness.now, harness.now));
    harness.tick();
    let rejected = harness.take_orders();
    // A list of two pages counts only if a second read agrees with the first.
    harness.owner.on_machines(machines(&["", "i1"]), true, 2, (harness.now, harness.now));
    harness.tick();
    let first_read = harness.take_orders();
    harness.owner.on_machines(machines(&["", "i1"]), true, 2, (harness.now, harness.now));
    harness.tick();
    assert_snapshot!(format!("{rejected}\n{first_read}\n{}", harness.take_orders()), @r"
    nothing
    nothing
    w1 start a.0.0.0 run 2
    ");
}

// The worker answers again before the list arrives.
#[test]
fn worker_that_answers_is_not_considered_down() {
    let mut harness = owner_with_a_run();
    report_connection_refused(&mut harness);
    harness.advance(100);
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.advance(100);
    harness.take_orders();
    let orders = deliver_list(&mut harness, &["", "i1"]);
    harness.report_status(0, &[], &[harness::end(1, task("a", 0, 0), 1, How::Done)]);
    assert_snapshot!(format!("{orders}\n{:?}", harness.record().jobs.len()), @r"
    nothing
    1
    ");
}

// After a change of owner older jobs stood still for up to 20 s, urgent ones too. Workers are
// removed at short notice, and the rows of their agents are still there when the owner is replaced;
// the new owner waited for leases of workers that no longer exist.
#[test]
fn older_jobs_start_once_each_listed_worker_has_reported() {
    let mut harness = new_owner();
    let mut orders = Vec::new();
    let begin = harness.now;
    while harness.now < begin + 3000 {
        harness.advance(100);
        for number in 0..2 {
            harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
        }
        let new_orders = harness.take_orders();
        let new_orders: Vec<&str> = new_orders.lines().filter(|line| *line != "nothing").collect();
        orders.extend(new_orders.iter().map(|line| format!("{} ms: {line}", harness.now - begin)));
        if new_orders.contains(&"list") {
            harness.owner.on_machines(
                machines(&["i0", "i1", ""]),
                true,
                1,
                (harness.now, harness.now),
            );
        }
    }
    assert_snapshot!(orders.join("\n"), @r"
    1500 ms: list
    1600 ms: w0 start old.0.0.0 run 1001
    ");
}

// A listed worker that nobody has heard from may run what the previous owner started.
#[test]
fn new_owner_waits_for_a_listed_worker_that_has_not_reported() {
    let mut harness = new_owner();
    let mut orders = String::new();
    for _ in 0..30 {
        harness.advance(100);
        for number in 0..2 {
            harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
        }
        harness.owner.on_machines(
            machines(&["i0", "i1", "i2"]),
            true,
            1,
            (harness.now, harness.now),
        );
        orders += &harness.take_orders().replace("list", "").replace("nothing", "");
    }
    let settled = |owner: &Owner| owner.is_settled();
    assert_snapshot!(format!("{:?} {}", orders.trim(), settled(&harness.owner)), @r#""" false"#);
}

// An agent whose worker has just restarted was dismissed and took no work for 2 s. A worker crashes
// and is missed; the list is requested; another incarnation reports; then the list arrives, which
// is older than that incarnation. The new one inherited the time at which the previous one was
// missed.
#[test]
fn list_older_than_an_incarnation_does_not_dismiss_it() {
    let mut harness = owner_with_a_run();
    report_connection_refused(&mut harness);
    harness.advance(100);
    let requested_at = harness.now;
    harness.advance(100);
    let (stamp, running, ended) = (harness.now, Vec::new(), Vec::new());
    let worker = Some(quincewheel_job::Worker { id: "j0".into(), ..harness::worker(0) });
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
    harness.take_orders();
    harness.owner.on_machines(machines(&["", "i1"]), true, 1, (requested_at, harness.now));
    harness.tick();
    assert_snapshot!(format!("{:?}", harness.record().departed), @"[]");
}

// Tasks ran twice for some 70 ms after a change of owner. A worker is removed; the owner learns
// that from the list, starts its task elsewhere under a higher run number, and is killed. The agent
// of the removed worker still lists the first run and reports to the new owner before the agent of
// the second; the list drops the first. The run that was reported first was adopted, and the later
// one stopped as a leftover while its task started again.
#[test]
fn later_of_two_runs_of_a_task_is_adopted() {
    let mut harness = Harness::new(2, 3);
    harness.owner.update_settings(Settings { lists_machines: true, ..Settings::default() });
    harness.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    for number in 0..3 {
        harness.connect(number);
    }
    let (stamp, running, ended) = (harness.now, vec![run(task("old", 0, 0), 1)], Vec::new());
    let worker = Some(harness::worker(0));
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
    harness.report_status(1, &[run(task("old", 0, 0), 2)], &[]);
    harness.report_status(2, &[], &[]);
    harness.advance(1500);
    let mut orders = harness.take_orders();
    orders += "\n-- listed\n";
    orders += &deliver_list(&mut harness, &["", "i1", "i2"]);
    assert_snapshot!(orders, @r"
    list
    list
    -- listed
    nothing
    ");
}
