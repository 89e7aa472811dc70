//! When confirmed stops are reported.

mod connections;

use connections::Harness;
use quincewheel_runner::{Action, Output, Reply};
use quincewheel_wire::Order;

/// Confirms the stop of task `stopped` at a worker that last listed task 0. Returns for how long the
/// next poll may be held back.
fn wait_after_stop_of(stopped: u32) -> u64 {
    let mut harness = Harness::new();
    harness.order_start(0);
    harness.confirm_start();
    harness.reply_to_poll(&[0]);
    let (worker, task) = ("i1".into(), connections::task(stopped));
    harness.runner.on_order(1, Order::Stop { worker, task, run: 1 }, harness.now);
    let stop = call(&mut harness, |action| matches!(action, Action::Stop { .. })).0;
    harness.runner.on_reply(stop, Ok(Reply::Done { clock: 50_000 + harness.now }), harness.now);
    match call(&mut harness, |action| matches!(action, Action::Hold { .. })).1 {
        Action::Hold { wait, .. } => wait,
        _ => unreachable!(),
    }
}

/// Returns the first call among the outputs with such an action.
fn call(harness: &mut Harness, wanted: impl Fn(&Action) -> bool) -> (u64, Action) {
    let calls = harness.runner.take_outputs().into_iter().filter_map(|output| match output {
        Output::Call { id, call } => Some((id, call.action)),
        _ => None,
    });
    calls.into_iter().find(|(_, action)| wanted(action)).expect("a call is sent")
}

// Guards against tasks that wait for up to a second although their runs are gone: a worker restarts,
// its owner stops a run there that may yet start, and the worker holds back its reply to the poll that
// shows the end, since another run goes on.
#[test]
fn a_stop_of_a_run_that_is_not_listed_is_reported_without_a_wait() {
    assert_eq!(wait_after_stop_of(1), 0);
}

// Guards against polls in quick succession while a run is being stopped. Its end ends the wait.
#[test]
fn a_poll_waits_for_the_end_of_a_listed_run_that_is_stopped() {
    assert_eq!(wait_after_stop_of(0), 1000);
}
