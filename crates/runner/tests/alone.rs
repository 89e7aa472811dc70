//! An agent whose connection to its owner carries nothing any more.

use quincewheel_job::Worker;
use quincewheel_runner::{Action, Heartbeat, Output, Reply, Runner, Settings};
use quincewheel_wire::Order;

// Symptom: a sound worker gets nothing, by this owner or any later one. Sequence: a cut
// between an owner and an agent lasts longer than the 8.2 s after which the agent's row is
// dropped; the end of the connection that the owner closed does not reach the agent (or an
// owner that is cut off from the table keeps its connection and grants nothing); the cut
// ends. Nobody dials an agent without a row, and the agent does not announce itself. Cause:
// an agent takes a connection for an owner that speaks to it for as long as it is open; an
// owner closes one that has been silent for 2.5 s, and an agent has nothing of the kind.
#[test]
fn an_agent_that_hears_nothing_from_its_owner_is_alone() {
    let mut runner = Runner::new(Settings::default());
    let worker = Worker { id: "i1".into(), pool: "p".into(), ..Worker::default() };
    runner.on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", 50_000), 1000);
    runner.on_order(1, Order::Claim { epoch: 1 }, 1000);
    let mut alone = None;
    for now in (1000..61_000).step_by(100) {
        if now % 1500 == 0 {
            runner.on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", 49_000 + now), now);
        }
        runner.tick(now);
        for output in runner.take_outputs() {
            match output {
                // The owner answers each ping until the cut.
                Output::Send { link, .. } if now < 5000 => {
                    runner.on_order(link, Order::Grant { stamp: now }, now);
                }
                Output::Call { id, call } if matches!(call.action, Action::Hold { .. }) => {
                    let (running, ended) = (Vec::new(), Vec::new());
                    runner.on_reply(
                        id,
                        Ok(Reply::Held { born: 0, clock: 49_000 + now, running, ended }),
                        now,
                    );
                }
                _ => {}
            }
        }
        if runner.awaits_owner() {
            alone.get_or_insert(now - 5000);
        }
    }
    let alone = alone.expect("the agent takes a connection that is dead for an owner");
    assert!(alone <= 15_000, "alone {alone} ms after the last word of the owner");
}

/// A report, numbered by the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
