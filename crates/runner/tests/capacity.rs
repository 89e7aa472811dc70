//! Workers whose capacity changes while they are up.

use quincewheel_job::{Resources, Worker};
use quincewheel_runner::{Heartbeat, Output, Runner, Settings};
use quincewheel_wire::{Notice, Order};

fn worker(accelerators: u64) -> Worker {
    let capacity = Resources { cpu: 1000, memory: 1000, accelerators };
    Worker { id: "i1".into(), pool: "p".into(), capacity, ..Worker::default() }
}

/// The accelerators in each status that was sent to the owner.
fn reported(runner: &mut Runner) -> Vec<u64> {
    let outputs = runner.take_outputs().into_iter();
    let reported = outputs.filter_map(|output| match output {
        Output::Send { notice: Notice::Status { worker: Some(worker), .. }, .. } => {
            Some(worker.capacity.accelerators)
        }
        _ => None,
    });
    reported.collect()
}

// The capacity of an idle worker shrinks, and its heartbeat says so. An idle worker is not polled,
// so the agent must report the change at once; otherwise the worker would get more work than fits.
#[test]
fn a_change_of_an_idle_workers_capacity_is_reported_at_once() {
    let mut runner = Runner::new(Settings::default());
    runner.on_heartbeat(&heartbeat(&worker(8), "10.0.0.1:80", 50_000), 1000);
    runner.on_order(1, Order::Claim { epoch: 1 }, 1000);
    runner.take_outputs();
    runner.on_heartbeat(&heartbeat(&worker(3), "10.0.0.1:80", 51_500), 2500);
    let shrunk = reported(&mut runner);
    runner.on_heartbeat(&heartbeat(&worker(3), "10.0.0.1:80", 53_000), 4000);
    let same = reported(&mut runner);
    runner.on_heartbeat(&heartbeat(&worker(8), "10.0.0.1:80", 54_500), 5500);
    let grown = reported(&mut runner);
    assert_eq!((shrunk, same, grown), (vec![3], Vec::new(), vec![8]));
}

/// A heartbeat whose sequence number is the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
