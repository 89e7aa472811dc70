//! Leases that an owner grants after its process was paused, and when its successor starts their
//! work elsewhere.

mod harness;

use harness::{CLAIM_VERSION, Harness, job, run, step, task};
use quincewheel_dispatch::{Output, Owner, Settings};
use quincewheel_job::Run;
use quincewheel_wire::{Notice, Order};

/// Shortest lease that a worker may derive from a grant, assuming that its clock runs 2 % slow.
const SHORTEST_LEASE_MS: u64 = 5880;
/// Time of the last write that the table confirmed to the previous owner, just before its pause.
const LAST_WRITE_AT: u64 = 10_000;
/// When two of three agents were cut off from the previous owner.
const CUT_AT: u64 = 11_000;
/// When the next owner claimed, and connected to these two agents.
const CLAIMED_AT: u64 = 11_800;
/// When the previous owner runs on, and reads the notices that arrived during its pause.
const RESUMED_AT: u64 = 14_000;

// Guards against two runs of a task at once: an owner that was paused counts notices from before the
// pause was over as present contact to most agents, and grants a lease for longer than its successor
// allows for.
#[test]
fn notices_that_waited_during_a_pause_do_not_let_an_owner_grant_leases() {
    let mut predecessor = Owner::new(Settings::default(), 1, 1, 9_000);
    for number in 0..3 {
        predecessor.on_connected(&format!("w{number}"), number, 9_000);
        let running = if number == 0 { vec![run(task("old", 0, 0), 1)] } else { Vec::new() };
        predecessor.on_notice(number, status(number, 9_000, &running), 9_000);
    }
    predecessor.confirm_ownership(LAST_WRITE_AT);
    predecessor.tick(LAST_WRITE_AT, LAST_WRITE_AT);
    predecessor.take_outputs();
    for number in 0..3 {
        let sent_at = CUT_AT - 100;
        predecessor.on_notice(number, Notice::Ping { stamp: sent_at, silent: 0 }, RESUMED_AT);
    }
    let mut granted = 0;
    for now in (RESUMED_AT..RESUMED_AT + 3000).step_by(100) {
        if now % 1000 == 900 {
            predecessor.on_notice(0, Notice::Ping { stamp: now, silent: 0 }, now);
        }
        predecessor.tick(now, now);
        for output in predecessor.take_outputs() {
            if let Output::Send { link: 0, order: Order::Grant { stamp } } = output {
                granted = stamp;
            }
        }
    }
    let (lapsed, started) = (granted + SHORTEST_LEASE_MS, start_by_successor());
    assert!(started >= lapsed, "started elsewhere at {started}, granted until {lapsed}");
}

/// Returns when the next owner starts the work of the agent that it does not reach.
fn start_by_successor() -> u64 {
    let mut harness = Harness::new(2, 0);
    harness.now = CLAIMED_AT;
    harness.owner = Owner::new(Settings::default(), 2, CLAIM_VERSION, CLAIMED_AT);
    harness.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    for number in 0..3 {
        harness.owner.add_agent(&format!("w{number}"), CLAIMED_AT);
    }
    for number in [1, 2] {
        harness.connect(number);
        harness.report_status(number, &[], &[]);
    }
    while harness.now < CLAIMED_AT + 20_000 {
        harness.advance(100);
        if harness.now % 1000 == 300 {
            for number in [1, 2] {
                harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
            }
        }
        if harness.take_orders().contains("start old") {
            return harness.now;
        }
    }
    panic!("not started");
}

fn status(number: u64, stamp: u64, running: &[Run]) -> Notice {
    let worker = Some(harness::worker(number));
    let (running, ended) = (running.to_vec(), Vec::new());
    Notice::Status {
        stamp,
        worker,
        fenced: true,
        listed_at: None,
        running,
        ended,
        truncated: false,
    }
}
