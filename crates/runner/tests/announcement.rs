//! When an agent writes its row.

use insta::assert_snapshot;
use quincewheel_job::Worker;
use quincewheel_runner::{Action, Announcement, Call, Heartbeat, Output, Reply, Runner, Settings};
use quincewheel_wire::{Order, Refused};

/// An agent with a worker, and an owner that is connected.
struct Harness {
    runner: Runner,
    announcement: Announcement,
    now: u64,
    /// Polls without a reply, by their ids.
    calls: Vec<(u64, Call)>,
    /// When the row was written.
    written: Vec<String>,
}

impl Harness {
    fn new() -> Harness {
        let runner = Runner::new(Settings::default());
        let announcement = Announcement::unwritten();
        let (now, calls, written) = (1000, Vec::new(), Vec::new());
        let mut harness = Harness { runner, announcement, now, calls, written };
        harness.send_heartbeat("i1");
        harness.runner.on_order(1, Order::Claim { epoch: 1 }, harness.now);
        harness.collect_outputs();
        harness.reply_to_poll(Ok(Reply::Held {
            born: 0,
            clock: 51_000,
            running: Vec::new(),
            ended: Vec::new(),
            truncated: false,
        }));
        harness.written.clear();
        harness
    }

    fn send_heartbeat(&mut self, id: &str) {
        let worker = Worker { id: id.into(), pool: "p".into(), ..Worker::default() };
        self.runner.on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", 50_000 + self.now), self.now);
        self.collect_outputs();
    }

    fn reply_to_poll(&mut self, reply: Result<Reply, quincewheel_runner::Fault>) {
        let Some((id, _)) = self.calls.pop() else { return };
        self.runner.on_reply(id, reply, self.now);
        self.collect_outputs();
    }

    fn advance(&mut self, ms: u64) {
        self.now += ms;
        self.collect_outputs();
    }

    fn collect_outputs(&mut self) {
        for output in self.runner.take_outputs() {
            if let Output::Call { id, call } = output
                && matches!(call.action, Action::Hold { .. })
            {
                self.calls.push((id, call));
            }
        }
        let (incarnations, due) = (
            self.runner.incarnation_count(),
            self.announcement.next_write(&self.runner, 1.0, self.now),
        );
        if due.is_some_and(|at| at <= self.now) {
            self.written.push(format!("{} ms", self.now - 1000));
            self.announcement.on_written(incarnations);
        }
    }
}

// After a crash the owner deletes the agent's row and closes the connection. The next incarnation
// sends a heartbeat, but only a later poll shows that the heartbeat is not stale. The row must be
// written then, without the delay of an agent whose owner is away; otherwise the worker stays idle
// for 2 to 4 s.
#[test]
fn a_new_incarnation_is_announced_as_soon_as_it_is_verified() {
    let mut harness = Harness::new();
    harness.runner.on_disconnected(1);
    harness.advance(3000);
    harness.send_heartbeat("i2");
    harness.advance(5);
    harness.reply_to_poll(Ok(Reply::Refused(Refused::Leaving)));
    assert_snapshot!(harness.written.join(", "), @"3005 ms");
}

// While no owner connects, the delay between writes of the row doubles.
#[test]
fn an_agent_without_an_owner_writes_its_row_with_backoff() {
    let mut harness = Harness::new();
    harness.runner.on_disconnected(1);
    for second in 0..80 {
        harness.advance(1000);
        if second % 2 == 0 {
            harness.send_heartbeat("i1");
        }
    }
    assert_snapshot!(harness.written.join(", "), @"5000 ms, 13000 ms, 29000 ms, 61000 ms");
}

// A worker and the connection to its owner are lost at the same time. If the agent announced
// itself without heartbeats of its worker, a new owner would wait for that worker.
#[test]
fn a_worker_without_heartbeats_is_not_announced() {
    let mut harness = Harness::new();
    harness.runner.on_disconnected(1);
    for _ in 0..80 {
        harness.advance(1000);
    }
    assert_snapshot!(harness.written.join(", "), @"");
}

/// A heartbeat whose sequence number is the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
