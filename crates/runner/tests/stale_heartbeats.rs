//! Heartbeats that arrive late.

use quincewheel_job::{Run, Task, Worker};
use quincewheel_runner::{Action, Heartbeat, Output, Reply, Runner, Settings};
use quincewheel_wire::{Notice, Order};

fn worker(id: &str) -> Worker {
    Worker { id: id.into(), pool: "p".into(), ..Worker::default() }
}

// A worker crashes, its next incarnation starts work, and then a heartbeat of the former one
// arrives that a network partition or a suspended agent delayed. If it replaced the later
// incarnation, the owner would take that one's runs for lost and start their tasks on a second
// worker.
#[test]
fn a_stale_heartbeat_of_a_former_incarnation_does_not_replace_the_later_one() {
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
            let held = Reply::Held {
                born: 0,
                clock: 110,
                running: vec![run],
                ended: Vec::new(),
                truncated: false,
            };
            runner.on_reply(id, Ok(held), 1510);
        }
    }
    runner.take_outputs();
    runner.on_heartbeat(&heartbeat(&worker("i1"), "10.0.0.1:80", 50_900), 1600);
    let reported: Vec<String> = runner
        .take_outputs()
        .into_iter()
        .filter_map(|output| match output {
            Output::Send { notice: Notice::Status { worker: Some(worker), .. }, .. } => {
                Some(worker.id)
            }
            _ => None,
        })
        .collect();
    assert!(
        !reported.contains(&"i1".to_owned()),
        "reported as the current incarnations: {reported:?}"
    );
}

// A heartbeat with the worker's id names another pool. An incarnation stays in its pool; if the
// heartbeat were accepted, a healthy worker would get no more work, or that of another pool.
#[test]
fn a_heartbeat_that_names_another_pool_does_not_change_the_worker() {
    let mut runner = Runner::new(Settings::default());
    runner.on_heartbeat(&heartbeat(&worker("i1"), "10.0.0.1:80", 50_000), 1000);
    runner.on_order(1, Order::Claim { epoch: 1 }, 1000);
    runner.take_outputs();
    let foreign = Worker { pool: "q".into(), draining: true, ..worker("i1") };
    runner.on_heartbeat(&heartbeat(&foreign, "10.0.0.2:80", 50_100), 1100);
    let sent = runner.take_outputs().into_iter().filter(|out| matches!(out, Output::Send { .. }));
    assert_eq!(sent.count(), 0);
}

// A heartbeat of an incarnation that is known to have ended must not cause a poll, since each is
// charged as a health check.
#[test]
fn a_stale_heartbeat_of_an_ended_incarnation_causes_no_poll() {
    let mut runner = Runner::new(Settings::default());
    runner.on_heartbeat(&heartbeat(&worker("i1"), "10.0.0.1:80", 50_000), 1000);
    runner.on_order(1, Order::Claim { epoch: 1 }, 1000);
    runner.on_leave(&"i1".into(), 1200);
    runner.on_heartbeat(&heartbeat(&worker("i2"), "10.0.0.1:80", 100), 1500);
    for output in runner.take_outputs() {
        if let Output::Call { id, call } = output
            && call.worker == "i2"
        {
            let held = Reply::Held {
                born: 0,
                clock: 110,
                running: Vec::new(),
                ended: Vec::new(),
                truncated: false,
            };
            runner.on_reply(id, Ok(held), 1510);
        }
    }
    runner.take_outputs();
    runner.on_heartbeat(&heartbeat(&worker("i1"), "10.0.0.1:80", 50_900), 1600);
    let calls = runner.take_outputs().into_iter().filter(|out| matches!(out, Output::Call { .. }));
    assert_eq!(calls.count(), 0);
}

/// A heartbeat whose sequence number is the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
