//! Leases that a previous owner grants while it is cut off, and when a new owner starts their work
//! elsewhere.

mod harness;

use harness::{Harness, job, run, step, task};
use quincewheel_dispatch::{Output, Owner, Settings};
use quincewheel_wire::{Notice, Order};

/// Shortest lease that a worker may derive from a grant, assuming that its clock runs 2 % slow.
const SHORTEST_LEASE_MS: u64 = 5880;

/// Time of the last write that the table confirmed to the previous owner.
const LAST_WRITE_AT: u64 = 10_000;

// A task ran twice, for up to a second. The owner and one agent are cut off from the table and from
// the other agents; another entry takes over 1.7 s after the owner's last write and connects to all
// other agents at once, while the previous owner goes on granting leases to the agent beside it. It
// grants while it is in contact with most agents, and counted connections that carry nothing as
// contact until 2.5 s after the last message; the new owner assumed that it granted nothing once
// most agents followed the new one.
#[test]
fn lease_granted_by_a_cut_off_owner_lapses_before_its_work_starts_elsewhere() {
    // The agent of the worker with a run polls it as well, and pings later in each second than the
    // others.
    let (granted, started) =
        last_grant_and_start(LAST_WRITE_AT + 400, LAST_WRITE_AT + 1700, [800, 300, 300]);
    assert!(
        started >= granted + SHORTEST_LEASE_MS,
        "started elsewhere {} ms after the last write, but granted until {} ms after it",
        started - LAST_WRITE_AT,
        granted + SHORTEST_LEASE_MS - LAST_WRITE_AT
    );
}

// A task ran twice, for up to 0.4 s. Right after a write the connections of an owner break, and it
// is cut off from the table, the entries and all agents but one; another entry takes over 0.7 s
// after its connection broke, with a stagger of as little as nothing, and connects to all other
// agents at once. An owner that the table does not confirm goes on granting for 1.5 s (the setting
// `quorum_after`), which is shorter than the wait of other entries for an unchanged row (1.7 s), but
// not than this one.
#[test]
fn lease_granted_by_an_owner_whose_connections_broke_lapses_in_time() {
    let (granted, started) = last_grant_and_start(LAST_WRITE_AT, LAST_WRITE_AT + 800, [500; 3]);
    assert!(
        started >= granted + SHORTEST_LEASE_MS,
        "started at {started}, granted until {}",
        granted + SHORTEST_LEASE_MS
    );
}

// The same, for up to 0.5 s: the owner loses the table first, and most agents 1.6 s later, just
// before another entry takes over. Agents that sent something within 1.1 s count as in contact, and
// the new owner connects to them before that time is over.
#[test]
fn lease_granted_by_an_owner_that_loses_its_agents_last_lapses_in_time() {
    let (granted, started) =
        last_grant_and_start(LAST_WRITE_AT + 1600, LAST_WRITE_AT + 1700, [500; 3]);
    assert!(
        started >= granted + SHORTEST_LEASE_MS,
        "started at {started}, granted until {}",
        granted + SHORTEST_LEASE_MS
    );
}

// The same, whenever the remaining agent asks for its lease: counted as in contact for as long as
// their connections were open, the other agents let the owner grant it leases for 1.4 s too long.
#[test]
fn silent_agents_do_not_extend_the_time_in_which_an_owner_grants() {
    for ping_at in (0..1000).step_by(100) {
        let (granted, started) =
            last_grant_and_start(LAST_WRITE_AT + 1600, LAST_WRITE_AT + 1700, [ping_at, 500, 500]);
        let lapsed = granted + SHORTEST_LEASE_MS;
        assert!(
            started >= lapsed,
            "asks at {ping_at}: started at {started}, granted until {lapsed}"
        );
    }
}

/// Cuts a previous owner off from two of three agents at `cut`; the next owner claims at `claimed`.
/// The agents ping the previous owner at these milliseconds of each second. Returns the stamp of its
/// last grant to the first agent, and when the work of that agent's worker starts elsewhere.
fn last_grant_and_start(cut: u64, claimed: u64, pings: [u64; 3]) -> (u64, u64) {
    let written = LAST_WRITE_AT;
    let mut predecessor = Owner::new(Settings::default(), 1, 1, 9_000);
    for number in 0..3 {
        predecessor.on_connected(&format!("w{number}"), number, 9_000);
        let running = if number == 0 { vec![run(task("old", 0, 0), 1)] } else { Vec::new() };
        predecessor.on_notice(number, status(number, 9_000, &running), 9_000);
    }
    predecessor.take_outputs();
    predecessor.confirm_ownership(written);
    let mut harness = Harness::new(2, 0);
    harness.now = claimed;
    harness.owner = Owner::new(Settings::default(), 2, harness::CLAIM_VERSION, claimed);
    harness.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    for number in 0..3 {
        harness.owner.add_agent(&format!("w{number}"), claimed);
    }
    let (mut granted, mut started) = (0, 0);
    for now in (9_100..25_000).step_by(100) {
        for (number, ping) in (0..3).zip(pings) {
            if now % 1000 == ping && (number == 0 || now < cut) {
                predecessor.on_notice(number, Notice::Ping { stamp: now, silent: 0 }, now);
            }
        }
        predecessor.tick(now, now);
        for output in predecessor.take_outputs() {
            if let Output::Send { link: 0, order: Order::Grant { stamp } } = output {
                granted = stamp;
            }
        }
        if now < claimed {
            continue;
        }
        harness.now = now;
        for number in [1, 2] {
            if now == claimed {
                harness.connect(number);
                harness.report_status(number, &[], &[]);
            }
            if now % 1000 == 300 {
                harness.deliver(number, Notice::Ping { stamp: now, silent: 0 });
            }
        }
        harness.tick();
        if started == 0 && harness.take_orders().contains("start old") {
            started = now;
        }
    }
    assert!(started > 0);
    (granted, started)
}

fn status(number: u64, stamp: u64, running: &[quincewheel_job::Run]) -> Notice {
    let worker = Some(harness::worker(number));
    Notice::Status {
        listed_at: None,
        stamp,
        worker,
        fenced: true,
        running: running.to_vec(),
        ended: Vec::new(),
        truncated: false,
    }
}
