//! Workers whose capacity shrinks and grows while they run.

use quincewheel_job::{Resources, Worker};
use quincewheel_runner::{Heartbeat, Output, Runner, Settings};
use quincewheel_wire::{Notice, Order};

fn worker(accelerators: u64) -> Worker {
    let capacity = Resources { cpu: 1000, memory: 1000, accelerators };
    Worker { id: "i1".into(), pool: "p".into(), capacity, ..Worker::default() }
}

/// The accelerators that the owner is told of.
fn told(runner: &mut Runner) -> Vec<u64> {
    let outputs = runner.outputs().into_iter();
    let told = outputs.filter_map(|output| match output {
        Output::Send { notice: Notice::Status { worker: Some(worker), .. }, .. } => {
            Some(worker.capacity.accelerators)
        }
        _ => None,
    });
    told.collect()
}

// Symptom: an idle worker that does not check for itself is given more than it has. Sequence:
// its capacity shrinks, its report says so; seconds later work is ordered there. Cause: an agent
// passed on what a report says only with the answer to a look, and an idle worker is not looked
// at.
#[test]
fn a_change_of_an_idle_workers_capacity_is_told_at_once() {
    let mut runner = Runner::open(Settings::default());
    runner.on_heartbeat(&heartbeat(&worker(8), "10.0.0.1:80", 50_000), 1000);
    runner.on_order(1, Order::Claim { epoch: 1 }, 1000);
    runner.outputs();
    runner.on_heartbeat(&heartbeat(&worker(3), "10.0.0.1:80", 51_500), 2500);
    let shrunk = told(&mut runner);
    runner.on_heartbeat(&heartbeat(&worker(3), "10.0.0.1:80", 53_000), 4000);
    let same = told(&mut runner);
    runner.on_heartbeat(&heartbeat(&worker(8), "10.0.0.1:80", 54_500), 5500);
    let grown = told(&mut runner);
    assert_eq!((shrunk, same, grown), (vec![3], Vec::new(), vec![8]));
}

/// A report, numbered by the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
