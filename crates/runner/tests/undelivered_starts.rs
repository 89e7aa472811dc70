//! Starts that were sent to workers which were gone, or had received them before: when they are named
//! as causes of a crash.

mod connections;

use connections::{Harness, closed, listed, refused};
use insta::assert_snapshot;
use quincewheel_runner::Reply;
use quincewheel_wire::{Order, Refused};

// A start is in flight when another connection breaks, and is named. Then its own call is refused,
// so the worker has not received it. The report was not corrected, and the start was blamed.
#[test]
fn a_suspect_whose_call_was_refused_later_is_withdrawn() {
    let mut breaks = Vec::new();
    for reply in [refused(), Ok(Reply::Refused(Refused::Leaving))] {
        let mut harness = Harness::new();
        harness.order_start(0);
        harness.confirm_start();
        harness.advance(110);
        harness.list(harness.probe, &[0]);
        harness.order_start(1);
        harness.reply(harness.poll, closed());
        harness.reply(harness.start, reply);
        breaks.append(&mut harness.breaks);
    }
    assert_snapshot!(breaks.join("\n"), @r"
    i1 broke: j.0.0.1 run 1
    i1 broke: no start
    i1 broke: j.0.0.1 run 1
    i1 broke: no start
    ");
}

// A former owner's start was sent to a worker that accepted no connections, and the order was
// dropped when the owner changed. The start was blamed, since the agent no longer knew that the
// worker cannot have received it.
#[test]
fn an_unsent_start_of_a_former_owner_is_no_suspect() {
    let mut breaks = Vec::new();
    for start_first in [true, false] {
        let mut harness = Harness::new();
        harness.order_start(0);
        harness.runner.on_order(2, Order::Claim { epoch: 2 }, harness.now);
        harness.collect_outputs();
        if start_first {
            harness.reply(harness.start, refused());
        }
        harness.reply(harness.poll, refused());
        breaks.append(&mut harness.breaks);
    }
    assert_snapshot!(breaks.join("\n"), @r"
    i1 broke: no start
    i1 broke: no start
    ");
}

// The worker crashes just after a former owner's start, and its port is found closed before the
// connection of that start breaks. The start must be named then, although its order was dropped.
#[test]
fn a_start_of_a_former_owner_whose_connection_breaks_late_is_a_suspect() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.runner.on_order(2, Order::Claim { epoch: 2 }, harness.now);
    harness.collect_outputs();
    harness.reply(harness.poll, refused());
    harness.reply(harness.start, closed());
    assert_snapshot!(harness.breaks.join("\n"), @r"
    i1 broke: no start
    i1 broke: j.0.0.0 run 1
    ");
}

// The same, but the start was named before the next incarnation listed it. The report was not
// corrected, so the start counted as the cause once the next incarnation was known.
#[test]
fn a_suspect_that_reached_the_next_incarnation_is_withdrawn() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.reply(harness.poll, closed());
    let running = vec![listed(0)];
    let held = Reply::Held { born: 7, clock: 5, running, ended: Vec::new(), truncated: false };
    harness.reply(harness.poll, Ok(held));
    harness.runner.on_order(2, Order::Claim { epoch: 2 }, harness.now);
    harness.collect_outputs();
    assert_snapshot!(harness.breaks.join("\n"), @r"
    i1 broke: j.0.0.0 run 1
    i1 broke: no start
    ");
}

// A start may crash its worker, and its repetition reach the next incarnation. It is still the
// likely cause, or a task that crashes its workers would be started once more.
#[test]
fn a_suspect_whose_repetition_reached_the_next_incarnation_stays_named() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.reply(harness.start, closed());
    harness.confirm_start();
    let running = vec![listed(0)];
    let held = Reply::Held { born: 7, clock: 5, running, ended: Vec::new(), truncated: false };
    harness.reply(harness.poll, Ok(held));
    harness.runner.on_order(2, Order::Claim { epoch: 2 }, harness.now);
    harness.collect_outputs();
    assert_snapshot!(harness.breaks.join("\n"), @r"
    i1 broke: j.0.0.0 run 1
    i1 broke: j.0.0.0 run 1
    ");
}

// Another incarnation had sent a heartbeat, or a call had been refused because the worker is leaving,
// when a start was sent. The worker was probably gone, and the start was blamed all the same.
#[test]
fn a_start_sent_after_other_signs_that_the_worker_is_gone_is_no_likely_cause() {
    let mut breaks = Vec::new();
    for refusal in [false, true] {
        let mut harness = Harness::new();
        harness.order_start(0);
        harness.confirm_start();
        harness.advance(110);
        harness.list(harness.probe, &[0]);
        if refusal {
            harness.order_start(1);
            harness.reply(harness.start, Ok(Reply::Refused(Refused::Leaving)));
        } else {
            harness.send_heartbeat("i2");
        }
        harness.order_start(2);
        harness.reply(harness.start, closed());
        breaks.append(&mut harness.breaks);
    }
    assert_snapshot!(breaks.join("\n"), @r"
    i1 broke: j.0.0.2 run 1, perhaps
    i1 broke: j.0.0.2 run 1, perhaps
    ");
}

// A heartbeat of another incarnation may be a delayed one. Once the worker has replied, a start that
// it then crashes on is the likely cause.
#[test]
fn a_start_sent_after_a_reply_since_a_delayed_heartbeat_is_a_likely_cause() {
    let mut harness = Harness::new();
    harness.send_heartbeat("i0");
    harness.reply_to_poll(&[]);
    harness.order_start(0);
    harness.reply(harness.start, closed());
    assert_snapshot!(harness.breaks.join("\n"), @"i1 broke: j.0.0.0 run 1");
}

// A reset connection must not excuse later starts: a worker that has replied since is there, and a
// start that it then crashes on before it confirms it is the likely cause.
#[test]
fn a_start_sent_after_a_reply_since_the_break_is_a_likely_cause() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.advance(110);
    harness.list(harness.probe, &[0]);
    harness.reply(harness.poll, closed());
    harness.order_start(1);
    harness.confirm_start();
    harness.advance(60);
    harness.order_start(2);
    harness.reply(harness.start, closed());
    assert_snapshot!(harness.breaks.join("\n"), @r"
    i1 broke: no start
    i1 broke: j.0.0.2 run 1, j.0.0.1 run 1, perhaps
    ");
}

// A start sent after a break is named as a possible cause when the next connection breaks, and its
// confirmation arrives only then. If the report were not corrected, tasks that crash their workers
// would be started once more.
#[test]
fn a_possible_cause_that_is_confirmed_later_becomes_a_likely_one() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.advance(110);
    harness.list(harness.probe, &[0]);
    harness.reply(harness.poll, closed());
    harness.order_start(1);
    harness.reply(harness.poll, closed());
    harness.confirm_start();
    harness.reply(harness.poll, refused());
    assert_snapshot!(harness.breaks.join("\n"), @r"
    i1 broke: no start
    i1 broke: j.0.0.1 run 1, perhaps
    i1 broke: j.0.0.1 run 1
    ");
}

// The confirmation of a start was lost with the connection to the owner, which ordered the start
// again. The worker had survived it long before, and was asked about it by a probe, whose list the
// owner does not see. When the worker ended just after the repetition, the start was blamed.
#[test]
fn a_repeated_start_that_the_worker_has_survived_is_no_suspect() {
    let mut breaks = Vec::new();
    for suspect in [false, true] {
        let mut harness = Harness::new();
        harness.order_start_of(0, suspect);
        harness.confirm_start();
        harness.advance(110);
        harness.list(harness.probe, &[0]);
        harness.advance(200);
        harness.list(harness.probe, &[0]);
        harness.advance(200);
        harness.order_start_again(0, (true, suspect));
        harness.confirm_start();
        harness.reply(harness.poll, closed());
        breaks.append(&mut harness.breaks);
        breaks.push(format!("{} reported as survivors", harness.survivors.len()));
    }
    assert_snapshot!(breaks.join("\n"), @r"
    i1 broke: no start
    0 reported as survivors
    i1 broke: no start
    1 reported as survivors
    ");
}
