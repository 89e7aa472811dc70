//! Reports of workers that break their connections.

mod connections;

use connections::{Harness, closed, heartbeat, listed, refused};
use insta::assert_snapshot;
use quincewheel_job::Worker;
use quincewheel_runner::{Fault, Reply};
use quincewheel_wire::{Order, Refused};

// A task has run for a while, another one starts, and 10 ms later the worker's process ends. The
// log must show that the worker crashed just after the second start.
#[test]
fn only_recent_starts_are_suspects() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.advance(300);
    harness.reply_to_poll(&[0]);
    harness.order_start(1);
    harness.confirm_start();
    harness.advance(10);
    harness.reply(harness.poll, closed());
    harness.advance(300);
    harness.reply(harness.poll, refused());
    assert_snapshot!(harness.breaks.join("\n"), @"i1 broke: j.0.0.1 run 1");
}

// A task that crashed its worker just after its start was not named, as its agent on a busy machine
// learned of the crash some hundred milliseconds later.
#[test]
fn a_start_is_a_suspect_although_the_crash_is_detected_late() {
    let mut breaks = Vec::new();
    for delay in [240, 5000] {
        let mut harness = Harness::new();
        harness.order_start(0);
        harness.confirm_start();
        harness.advance(delay);
        harness.reply(harness.poll, closed());
        breaks.append(&mut harness.breaks);
    }
    assert_snapshot!(breaks.join("\n"), @r"
    i1 broke: j.0.0.0 run 1, perhaps
    i1 broke: j.0.0.0 run 1, perhaps
    ");
}

// A worker that crashes without a recent start was not crashed by a task.
#[test]
fn a_start_that_the_worker_has_survived_is_no_suspect() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.advance(300);
    harness.reply_to_poll(&[0]);
    harness.reply(harness.poll, closed());
    assert_snapshot!(harness.breaks.join("\n"), @"i1 broke: no start");
}

// A worker may crash before it replies to the start.
#[test]
fn a_start_without_a_reply_is_a_suspect() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.reply(harness.start, closed());
    assert_snapshot!(harness.breaks.join("\n"), @"i1 broke: j.0.0.0 run 1");
}

// A start that could not be sent cannot have crashed the worker.
#[test]
fn an_unsent_start_is_no_suspect() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.order_start(1);
    harness.reply(harness.start, refused());
    assert_snapshot!(harness.breaks.join("\n"), @"i1 broke: no start");
}

// A timeout shows neither whether the worker's process has ended nor when.
#[test]
fn a_timeout_is_no_broken_connection() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.reply(harness.poll, Err(Fault::Unclear { closed: false, detail: "nothing".into() }));
    assert_snapshot!(harness.breaks.join("\n"), @"");
}

// A new owner may take over between a crash and its consequences.
#[test]
fn a_new_owner_receives_a_break_until_the_worker_replies() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.reply(harness.poll, closed());
    harness.runner.on_order(2, Order::Claim { epoch: 2 }, harness.now);
    harness.collect_outputs();
    harness.advance(300);
    harness.reply_to_poll(&[0]);
    harness.runner.on_order(3, Order::Claim { epoch: 3 }, harness.now);
    harness.collect_outputs();
    assert_snapshot!(harness.breaks.join("\n"), @r"
    i1 broke: j.0.0.0 run 1
    i1 broke: j.0.0.0 run 1
    ");
}

// The worker closes its connection, and before the next poll a heartbeat says that it drains, so
// the agent sends a status. If that status relied on the last reply before the crash, the owner
// would not count the crash.
#[test]
fn a_worker_that_broke_its_connections_is_not_reported_as_fenced() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.reply(harness.poll, closed());
    let worker = Worker { id: "i1".into(), pool: "p".into(), draining: true, ..Worker::default() };
    harness
        .runner
        .on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", 51_000 + harness.now), harness.now);
    harness.collect_outputs();
    let before = harness.fenced;
    harness.advance(300);
    harness.reply_to_poll(&[0]);
    assert_eq!((before, harness.fenced), (false, true));
}

// A failed call to an ended incarnation shows nothing about the next one.
#[test]
fn a_failed_call_to_a_former_incarnation_does_not_count_for_the_next() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    let (poll, start) = (harness.poll, harness.start);
    harness.runner.on_leave(&"i1".into(), harness.now);
    harness.send_heartbeat("i2");
    harness.reply(poll, closed());
    harness.reply(start, closed());
    assert_snapshot!(harness.breaks.join("\n"), @"");
}

// A worker crashes while its agent has no connection to an owner, and its next incarnation is
// known before there is one. If the crash were forgotten with its incarnation, a task could crash
// one more worker under each owner.
#[test]
fn an_owner_that_connects_later_receives_recent_crashes() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.runner.on_disconnected(1);
    harness.reply(harness.poll, closed());
    harness.advance(300);
    harness.reply(harness.poll, Ok(Reply::Refused(Refused::Leaving)));
    harness.send_heartbeat("i2");
    harness.runner.on_order(2, Order::Claim { epoch: 2 }, harness.now);
    harness.collect_outputs();
    let at_once = std::mem::take(&mut harness.breaks).join("\n");
    harness.advance(12_000);
    harness.runner.on_order(3, Order::Claim { epoch: 3 }, harness.now);
    harness.collect_outputs();
    assert_snapshot!(format!("{at_once}\n-- 12 s later\n{}", harness.breaks.join("\n")), @r"
    i1 broke: j.0.0.0 run 1
    -- 12 s later
    ");
}

// The connection of a poll breaks. If the next poll waited for the delay that follows a timeout,
// the runs of a crashed worker would start elsewhere 0.4 s later.
#[test]
fn a_worker_that_broke_its_connections_is_polled_again_at_once() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    let first = harness.poll;
    harness.reply(first, closed());
    let second = harness.poll;
    harness.reply(second, closed());
    assert_eq!((second > first, harness.poll == second), (true, true));
}

// A connection to a healthy worker is reset, and a start that is ordered before the worker replies
// to a poll crashes it. The second break must be reported too, or a task that crashes its workers
// is started too often.
#[test]
fn a_start_that_crashes_a_worker_just_after_a_broken_connection_is_a_suspect() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.advance(300);
    harness.reply_to_poll(&[0]);
    harness.reply(harness.poll, closed());
    harness.order_start(1);
    harness.confirm_start();
    harness.advance(10);
    harness.reply(harness.poll, closed());
    assert_snapshot!(harness.breaks.join("\n"), @r"
    i1 broke: no start
    i1 broke: j.0.0.1 run 1
    ");
}

// A worker restarted for another reason some time after a start, and the start was blamed. Soon
// after it the worker is asked for its runs, and lists it.
#[test]
fn a_start_that_the_worker_lists_soon_after_is_no_suspect() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.advance(110);
    harness.list(harness.probe, &[0]);
    harness.advance(10);
    harness.reply(harness.poll, closed());
    assert_snapshot!(harness.breaks.join("\n"), @"i1 broke: no start");
}

// A list shows that a start was survived only if it is of a later time by the worker's clock: the
// reply may have waited in the agent.
#[test]
fn a_list_of_the_moment_of_the_start_clears_nothing() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    let (poll, clock) = (harness.poll, 50_000 + harness.now);
    harness.advance(400);
    let running = vec![listed(0)];
    harness.reply(
        poll,
        Ok(Reply::Held { born: 0, clock, running, ended: Vec::new(), truncated: false }),
    );
    harness.reply(harness.poll, closed());
    assert_snapshot!(harness.breaks.join("\n"), @"i1 broke: j.0.0.0 run 1, perhaps");
}

// A task crashed its worker while the owner changed, and its start was forgotten with the orders of
// the former owner.
#[test]
fn a_start_in_flight_at_a_change_of_owner_is_a_suspect() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.runner.on_order(2, Order::Claim { epoch: 2 }, harness.now);
    harness.collect_outputs();
    harness.reply(harness.poll, closed());
    assert_snapshot!(harness.breaks.join("\n"), @"i1 broke: j.0.0.0 run 1");
}

// The next incarnation of a crashed worker was known before the connection of a call broke, and the
// start was named by nobody.
#[test]
fn a_start_is_a_suspect_if_the_next_incarnation_shows_the_crash() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.advance(60);
    harness.reply(harness.poll, Ok(Reply::Refused(Refused::Leaving)));
    assert_snapshot!(harness.breaks.join("\n"), @"i1 broke: j.0.0.0 run 1, perhaps");
}

// Workers keep their ids, and one restarts unnoticed before a start reaches it. The start did not
// crash the incarnation that it was ordered for.
#[test]
fn a_start_that_reached_the_next_incarnation_is_no_suspect() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    let running = vec![listed(0)];
    let held = Reply::Held { born: 7, clock: 5, running, ended: Vec::new(), truncated: false };
    harness.reply(harness.poll, Ok(held));
    assert_snapshot!(harness.breaks.join("\n"), @"");
}

// A suspect ran for a second, its worker restarted, and the owner had not learned that it had
// survived its start, as the poll in flight waited for an end.
#[test]
fn a_suspect_that_has_survived_its_start_is_reported() {
    let mut harness = Harness::new();
    harness.order_start_of(0, true);
    harness.confirm_start();
    harness.advance(110);
    harness.list(harness.probe, &[0]);
    let early = harness.survivors.len();
    harness.advance(200);
    harness.list(harness.probe, &[0]);
    assert_snapshot!(format!("{early} {}", harness.survivors.join(", ")), @"0 j.0.0.0 run 1");
}

// A worker had already broken its connections and answered nothing since when a start was sent to
// it. The start was blamed as the likely cause, and a sound task was given up.
#[test]
fn a_start_sent_to_a_worker_that_is_gone_is_no_likely_cause() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.advance(110);
    harness.list(harness.probe, &[0]);
    harness.reply(harness.poll, closed());
    harness.order_start(1);
    harness.reply(harness.start, closed());
    assert_snapshot!(harness.breaks.join("\n"), @r"
    i1 broke: no start
    i1 broke: j.0.0.1 run 1, perhaps
    ");
}

// Idle workers restarted unnoticed, and the start that found one gone was blamed as the likely cause.
// After three of them a sound task was given up, though it had started at no worker.
#[test]
fn a_start_sent_to_an_idle_worker_without_a_recent_sign_of_life_is_no_likely_cause() {
    let mut harness = Harness::new();
    harness.advance(60);
    harness.order_start(0);
    harness.reply(harness.start, closed());
    assert_snapshot!(harness.breaks.join("\n"), @"i1 broke: j.0.0.0 run 1, perhaps");
}

// A worker that confirmed a start was up, however long it had given no sign of life before.
#[test]
fn a_confirmed_start_at_a_worker_that_was_idle_is_the_likely_cause() {
    let mut harness = Harness::new();
    harness.advance(60);
    harness.order_start(0);
    harness.confirm_start();
    harness.advance(10);
    harness.reply(harness.poll, closed());
    assert_snapshot!(harness.breaks.join("\n"), @"i1 broke: j.0.0.0 run 1");
}

// A worker without running starts is not asked for its runs again and again.
#[test]
fn probes_end_once_the_start_is_survived() {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.advance(110);
    let first = harness.probe;
    harness.list(first, &[0]);
    harness.advance(1000);
    assert_eq!(harness.probe, first);
}
