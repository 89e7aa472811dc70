//! Reports that come late.

use quincewheel_job::{Run, Task, Worker};
use quincewheel_runner::{Action, Heartbeat, Output, Reply, Runner, Settings};
use quincewheel_wire::{Notice, Order};

fn worker(id: &str) -> Worker {
    Worker { id: id.into(), pool: "p".into(), ..Worker::default() }
}

// Symptom: a task runs on two workers. Sequence: a worker crashes; its next life reports at
// the same machine and starts work; a report of the former life, which a cut or a frozen
// agent held up, comes last. Cause: the agent takes whoever reported last for the worker,
// and the owner takes the runs of the later life for lost.
#[test]
fn a_late_report_of_a_former_life_does_not_replace_the_later_one() {
    let mut runner = Runner::new(Settings::default());
    runner.on_heartbeat(&heartbeat(&worker("i1"), "10.0.0.1:80", 50_000), 1000);
    runner.on_order(1, Order::Claim { epoch: 1 }, 1000);
    runner.on_order(1, Order::Grant { stamp: 1000 }, 1000);
    runner.on_heartbeat(&heartbeat(&worker("i2"), "10.0.0.1:80", 100), 1500);
    let task = Task { job: "j".into(), occurrence: 0, step: 0, index: 0 };
    for output in runner.take_outputs() {
        if let Output::Call { id, call } = output
            && call.worker == "i2"
            && matches!(call.action, Action::Hold { .. })
        {
            let run = Run { task: task.clone(), number: 1, saved: "".into(), percent: 1, gauge: 0 };
            let held = Reply::Held { born: 0, clock: 110, running: vec![run], ended: Vec::new() };
            runner.on_reply(id, Ok(held), 1510);
        }
    }
    runner.take_outputs();
    runner.on_heartbeat(&heartbeat(&worker("i1"), "10.0.0.1:80", 50_900), 1600);
    let told: Vec<String> = runner
        .take_outputs()
        .into_iter()
        .filter_map(|output| match output {
            Output::Send { notice: Notice::Status { worker: Some(worker), .. }, .. } => {
                Some(worker.id)
            }
            _ => None,
        })
        .collect();
    assert!(!told.contains(&"i1".to_owned()), "the worker is told to be {told:?}");
}

// Symptom: a worker that is well takes no more work, or that of another pool. Sequence: a
// report under its id names another service. Cause: whatever a report says of the life that
// is there is taken over; but a life stays in its pool.
#[test]
fn a_report_that_names_another_pool_does_not_change_the_worker() {
    let mut runner = Runner::new(Settings::default());
    runner.on_heartbeat(&heartbeat(&worker("i1"), "10.0.0.1:80", 50_000), 1000);
    runner.on_order(1, Order::Claim { epoch: 1 }, 1000);
    runner.take_outputs();
    let foreign = Worker { pool: "q".into(), draining: true, ..worker("i1") };
    runner.on_heartbeat(&heartbeat(&foreign, "10.0.0.2:80", 50_100), 1100);
    let sent = runner.take_outputs().into_iter().filter(|out| matches!(out, Output::Send { .. }));
    assert_eq!(sent.count(), 0);
}

// A report that a cut held up is known for what it is: a look at the worker, which is charged as a
// health check, would be made for each otherwise.
#[test]
fn a_late_report_of_a_life_that_is_over_costs_no_look() {
    let mut runner = Runner::new(Settings::default());
    runner.on_heartbeat(&heartbeat(&worker("i1"), "10.0.0.1:80", 50_000), 1000);
    runner.on_order(1, Order::Claim { epoch: 1 }, 1000);
    runner.on_leave(&"i1".into(), 1200);
    runner.on_heartbeat(&heartbeat(&worker("i2"), "10.0.0.1:80", 100), 1500);
    for output in runner.take_outputs() {
        if let Output::Call { id, call } = output
            && call.worker == "i2"
        {
            let held = Reply::Held { born: 0, clock: 110, running: Vec::new(), ended: Vec::new() };
            runner.on_reply(id, Ok(held), 1510);
        }
    }
    runner.take_outputs();
    runner.on_heartbeat(&heartbeat(&worker("i1"), "10.0.0.1:80", 50_900), 1600);
    let calls = runner.take_outputs().into_iter().filter(|out| matches!(out, Output::Call { .. }));
    assert_eq!(calls.count(), 0);
}

/// A report, numbered by the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
