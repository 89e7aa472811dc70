//! Starts whose lease ends before they are sent.

mod connections;

use connections::Harness;
use quincewheel_runner::{Action, Fault, Output};
use quincewheel_wire::Order;

// Guards against a task that runs twice: an agent is suspended with a start that has got no reply
// until its lease has ended, and its owner starts the task elsewhere. The agent goes on, connects to
// the same owner, and gets a new lease, under which it must not repeat the start.
#[test]
fn a_start_is_not_repeated_under_a_lease_that_begins_after_its_own_has_ended() {
    let mut harness = Harness::new();
    harness.order_start(0);
    let start = harness.start;
    harness.now += 6000;
    let now = harness.now;
    harness.runner.on_order(2, Order::Claim { epoch: 1 }, now);
    harness.runner.on_order(2, Order::Grant { stamp: now }, now);
    let fault = Fault::Unclear { closed: false, detail: "timeout".into() };
    harness.runner.on_reply(start, Err(fault), now);
    let calls = harness.runner.take_outputs().into_iter().filter_map(|output| match output {
        Output::Call { call, .. } => Some(call.action),
        _ => None,
    });
    let orders: Vec<Action> = calls
        .filter(|action| matches!(action, Action::Start { .. } | Action::Stop { .. }))
        .collect();
    assert_eq!(orders, [Action::Stop { task: connections::task(0), run: 1 }]);
}
