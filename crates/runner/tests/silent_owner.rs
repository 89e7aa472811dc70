//! Agents whose connection to the owner carries no messages.

use quincewheel_job::Worker;
use quincewheel_runner::{Action, Heartbeat, Output, Reply, Runner, Settings};
use quincewheel_wire::Order;

// A network partition outlasts the 8.2 s after which the owner deletes the agent's row. The owner
// has closed the connection, as it does after 2.5 s of silence, but the agent doesn't see that; or
// the owner is cut off from the table, keeps the connection and grants nothing. An agent that kept
// the connection would never announce itself, and its worker would get no work from any owner.
#[test]
fn an_agent_with_a_silent_owner_awaits_another() {
    let mut runner = Runner::new(Settings::default());
    let worker = Worker { id: "i1".into(), pool: "p".into(), ..Worker::default() };
    runner.on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", 50_000), 1000);
    runner.on_order(1, Order::Claim { epoch: 1 }, 1000);
    let mut without_owner = None;
    for now in (1000..61_000).step_by(100) {
        if now % 1500 == 0 {
            runner.on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", 49_000 + now), now);
        }
        runner.tick(now);
        for output in runner.take_outputs() {
            match output {
                // The owner replies to each ping until the partition.
                Output::Send { link, .. } if now < 5000 => {
                    runner.on_order(link, Order::Grant { stamp: now }, now);
                }
                Output::Call { id, call } if matches!(call.action, Action::Hold { .. }) => {
                    let (running, ended) = (Vec::new(), Vec::new());
                    runner.on_reply(
                        id,
                        Ok(Reply::Held {
                            born: 0,
                            clock: 49_000 + now,
                            running,
                            ended,
                            truncated: false,
                        }),
                        now,
                    );
                }
                _ => {}
            }
        }
        if runner.awaits_owner() {
            without_owner.get_or_insert(now - 5000);
        }
    }
    let without_owner = without_owner.expect("the agent keeps a dead connection to its owner");
    assert!(
        without_owner <= 15_000,
        "connection closed {without_owner} ms after the owner's last message"
    );
}

/// A heartbeat whose sequence number is the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
