//! Workers that refuse starts: one and not the next, or each of them.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::Run;
use quincewheel_wire::{Notice, Refused};

// A job stood still beside an open worker with capacity until something else changed, here for as
// long as the other job ran. Two starts are ordered at a worker; it refuses the first (unhealthy
// for a moment, or with capacity still being freed) and carries out the second, whose answer comes
// just after the decision that followed the refusal. A confirmed start cleared the refusals, and
// with them the time of the next attempt, without a new round of decisions.
#[test]
fn confirmed_start_reopens_a_worker_that_refused_another() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.owner.add_job("b", job(1, vec![step(1, 1)]), 151, None);
    harness.tick();
    harness.take_orders();
    harness.deliver(0, Notice::Unstarted { task: task("a", 0, 0), run: 1, why: Refused::Busy });
    harness.advance(10);
    harness.deliver(0, Notice::Started { task: task("b", 0, 0), run: 1 });
    for second in 0..20 {
        harness.advance_with_pings(1000, 1);
        let listed = run(task("b", 0, 0), 1);
        harness.report_status(0, &[Run { percent: second, ..listed }], &[]);
    }
    assert_snapshot!(harness.take_orders().trim_end(), @"w0 start a.0.0.0 run 2");
}

/// Refuses each start at `w0` for `ms`, in steps of 10 ms, and returns when starts were ordered.
fn refuse_starts(harness: &mut Harness, ms: u64) -> Vec<u64> {
    let begin = harness.now;
    let mut starts = Vec::new();
    for _ in 0..ms / 10 {
        if harness.take_orders().contains("start") {
            starts.push(harness.now - begin);
            let (task, run) = (task("a", 0, 0), starts.len() as u64);
            harness.deliver(0, Notice::Unstarted { task, run, why: Refused::Room });
        }
        harness.advance(10);
        if harness.now.is_multiple_of(1000) {
            harness.deliver(0, Notice::Ping { stamp: harness.now, silent: 0 });
        }
    }
    starts
}

// Hundreds of starts a second were sent to one worker, and each was refused. The worker has less
// capacity than the owner assumes, since a run that was reported as ended goes on there, and no
// other worker suits the task. A refusal only made the worker the last choice, and the only worker
// is the last choice as well.
#[test]
fn worker_that_refuses_a_start_is_retried_with_backoff() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.tick();
    assert_snapshot!(format!("{:?}", refuse_starts(&mut harness, 5000)), @"[0, 50, 150, 350, 750, 1550, 3150, 4750]");
}

/// Most starts that may be refused in 20 s: one a second.
const MAX_REFUSED_STARTS: u64 = 20;

/// Refuses each start for 20 s in this way, and returns how many there were.
fn count_refusals(why: Refused) -> u64 {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.tick();
    let mut refused = 0;
    for _ in 0..2000 {
        let orders = harness.take_orders();
        if orders.contains("start") {
            refused += 1;
            let notice = Notice::Unstarted { task: task("a", 0, 0), run: refused, why };
            harness.deliver(0, notice);
        }
        if !harness.advice_requests.is_empty() {
            let request = harness.advice_requests.remove(0);
            let tickets = [("i0".to_owned(), "t".to_owned())];
            harness.owner.on_clearance(&request, Some((&tickets, 1)), harness.now, harness.now);
        }
        harness.advance(10);
        if harness.now.is_multiple_of(1000) {
            harness.deliver(0, Notice::Ping { stamp: harness.now, silent: 0 });
        }
    }
    refused
}

// A start that was refused for a cause that is no fault of the worker was ordered again at once, a
// thousand times a second.
#[test]
fn refused_starts_are_ordered_at_a_bounded_pace() {
    let causes = [
        Refused::Ticket,
        Refused::Old,
        Refused::Lease,
        Refused::Fence,
        Refused::Leaving,
        Refused::Room,
    ];
    for why in causes {
        let refused = count_refusals(why);
        assert!(refused <= MAX_REFUSED_STARTS, "{why:?}: {refused} in 20 s");
    }
}
