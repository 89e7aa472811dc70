//! Workers that restart under the same id.

mod simulation;

use insta::assert_snapshot;
use quincewheel_job::{Incarnation, Task, Worker};
use quincewheel_runner::{Action, Fault, Heartbeat, Output, Reply, Runner, Settings};
use quincewheel_wire::{Notice, Order};
use simulation::{Behavior, Simulation, gang, job};

/// A worker that has run three tasks, and whose ends are acknowledged.
fn with_acknowledged_ends() -> Simulation {
    let mut sim = Simulation::new(1, 1);
    sim.accepts_records = true;
    sim.send_heartbeat(0);
    sim.connect(0);
    sim.advance(1000);
    sim.owner.add_job("a", job(3), 150, None);
    sim.advance(1000);
    sim.finish_runs(0, "a");
    sim.advance(2000);
    assert!(sim.owner.has_ended("a"));
    sim.take_orders();
    sim
}

// A worker with three acknowledged ends restarts under the same id, and a task that starts there
// ends as its first. If the agent went on acknowledging ends up to the third, the worker would
// forget the new end before it is reported, and the task would run again on another worker.
#[test]
fn an_end_of_a_restarted_worker_is_not_lost() {
    let mut sim = with_acknowledged_ends();
    sim.restart_worker(0);
    sim.send_heartbeat(0);
    sim.advance(500);
    sim.owner.add_job("b", job(1), 160, None);
    sim.owner.add_job("goes-on", job(1), 161, None);
    sim.advance(500);
    sim.finish_runs(0, "b");
    sim.advance(20_000);
    assert_snapshot!(sim.take_orders(), @r"
    4600 ms: w0 start b.0.0.0 run 1
    4600 ms: w0 start goes-on.0.0.0 run 1
    ");
    assert!(sim.owner.has_ended("b"));
}

// A start gets no reply, the worker is ordered to stop that run, and the task starts elsewhere.
// Then the worker restarts under the same id and carries the start out, since stops are lost with
// an incarnation. The task would run on two workers at once.
#[test]
fn a_start_without_a_reply_is_stopped_at_the_next_incarnation_too() {
    let mut sim = Simulation::new(1, 2);
    for number in 0..2 {
        sim.send_heartbeat(number);
        sim.connect(number);
    }
    sim.advance(1000);
    sim.nodes[0].behavior = Behavior::DelaysStarts(8000);
    sim.owner.add_job("a", gang(1), 150, None);
    sim.advance(4000);
    sim.restart_worker(0);
    sim.send_heartbeat(0);
    sim.advance(10_000);
    assert_snapshot!(sim.running().join("\n"), @"w1 a.0.0.0 run 2");
}

// A worker drains, leaves, and restarts under the same id. If heartbeats with an id that has left
// were taken for stale, the worker would stay idle for good.
#[test]
fn a_worker_that_left_and_restarted_is_used_again() {
    let mut harness = Harness::new(1);
    harness.reply_to_polls(1);
    harness.send_heartbeat(1, true);
    harness.runner.on_leave(&"i".into(), harness.now);
    harness.send_heartbeat(2, false);
    harness.reply_to_polls(2);
    assert_snapshot!(harness.take_notices(), @r"
    worker i born 1
    worker i born 1, fenced
    worker i born 1, fenced
    left i born 1
    no worker
    worker i born 2
    worker i born 2, fenced
    ");
}

// The former incarnation's notice of leaving, which names the id alone, arrives seconds late. If
// it ended the current incarnation, that one's runs would start a second time elsewhere.
#[test]
fn a_stale_notice_of_leaving_does_not_end_the_current_incarnation() {
    let mut harness = Harness::new(1);
    harness.reply_to_polls(1);
    harness.send_heartbeat(2, false);
    harness.reply_to_polls(2);
    harness.take_notices();
    harness.runner.on_leave(&"i".into(), harness.now);
    harness.runner.on_leave(&Incarnation { id: "i".into(), born: 1 }, harness.now);
    harness.collect_outputs();
    assert_snapshot!(harness.take_notices(), @r"
    nothing
    ");
}

// The same for a stale heartbeat: a poll shows which incarnation is current.
#[test]
fn a_stale_heartbeat_of_a_former_incarnation_does_not_replace_the_current_one() {
    let mut harness = Harness::new(1);
    harness.reply_to_polls(1);
    harness.send_heartbeat(2, false);
    harness.reply_to_polls(2);
    harness.take_notices();
    harness.send_heartbeat(1, false);
    harness.reply_to_polls(2);
    assert_snapshot!(harness.take_notices(), @r"
    worker i born 2, fenced
    ");
}

// A worker reports that it drains, and an earlier heartbeat, delayed by a network partition,
// arrives seconds later. If the last one to arrive were taken for the newest, work would start at
// a worker that leaves.
#[test]
fn an_earlier_heartbeat_of_the_same_incarnation_changes_nothing() {
    let mut harness = Harness::new(1);
    harness.reply_to_polls(1);
    harness.send_heartbeat(1, true);
    harness.take_notices();
    let earlier = Worker { id: "i".into(), born: 1, pool: "p".into(), ..Worker::default() };
    let delayed = heartbeat(&earlier, "10.0.0.1:80", harness.clock(1) - 500);
    harness.runner.on_heartbeat(&delayed, harness.now);
    harness.collect_outputs();
    assert!(harness.runner.worker().is_some_and(|worker| worker.draining));
    assert_snapshot!(harness.take_notices(), @"nothing");
}

// A worker crashes and is back under its id before anything else shows that it had ended. If the
// next incarnation's reply were taken for one of the crashed incarnation, a task that crashes its
// workers would be started without limit.
#[test]
fn a_crash_is_reported_if_the_next_incarnation_replies_under_the_same_id() {
    let mut harness = Harness::new(1);
    harness.reply_to_polls(1);
    harness.start();
    harness.take_notices();
    harness.break_calls();
    harness.reply_to_polls(2);
    harness.send_heartbeat(2, false);
    harness.reply_to_polls(2);
    assert_snapshot!(harness.take_notices(), @r"
    broke i born 1 after 1
    no worker
    worker i born 2
    worker i born 2, fenced
    ");
}

// The clock of the former incarnation was far ahead. A lease that is computed from it would last
// longer than the owner expects.
#[test]
fn a_lease_is_computed_on_the_clock_of_the_current_incarnation() {
    let mut harness = Harness::new(1);
    harness.reply_to_polls(1);
    harness.send_heartbeat(2, false);
    harness.reply_to_polls(2);
    let first = harness.lease();
    harness.reply_to_polls(2);
    harness.now += 1000;
    harness.start();
    assert_snapshot!(format!("first poll: {first}\nstart: {}", harness.lease()), @r"
    first poll: none
    start: 4899 ms
    ");
}

// As in the first test, but the restart was not detected and a start has reached the worker since.
// Only a reply to a poll after that start shows which incarnation is current.
#[test]
fn ends_are_acknowledged_only_after_a_poll_since_the_last_start() {
    let mut harness = Harness::new(1);
    harness.reply_to_polls(1);
    harness.order_start();
    let worker = Incarnation { id: "i".into(), born: 1 };
    harness.runner.on_order(1, Order::Seen { worker, number: 3 }, harness.now);
    harness.collect_outputs();
    let mut seen = vec![harness.acknowledged()];
    harness.reply_to_polls(1);
    seen.push(harness.acknowledged());
    harness.confirm_start();
    for _ in 0..2 {
        harness.reply_to_polls(1);
        seen.push(harness.acknowledged());
    }
    assert_snapshot!(seen.join("\n"), @r"
    0
    0
    3
    none
    ");
}

// After a call without a reply the worker may have restarted, so the next poll must not
// acknowledge ends.
#[test]
fn nothing_is_acknowledged_by_the_first_poll_after_a_fault() {
    let mut harness = Harness::new(1);
    harness.reply_to_polls(1);
    let worker = Incarnation { id: "i".into(), born: 1 };
    harness.runner.on_order(1, Order::Seen { worker, number: 3 }, harness.now);
    harness.collect_outputs();
    let before = harness.acknowledged();
    harness.break_calls();
    let after = harness.acknowledged();
    harness.reply_to_polls(1);
    let numbers = format!("{before}, fault, {after}, {}", harness.acknowledged());
    assert_snapshot!(numbers, @"3, fault, 0, 3");
}

/// What happens together with a worker's restart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum With {
    /// Calls in flight break.
    BrokenCalls,
    /// The next incarnation replies to calls in flight.
    CallsAnswered,
    /// Calls in flight break, and starts are delayed.
    DelaysAndBrokenCalls,
    /// The next incarnation replies to calls in flight, and starts are delayed.
    DelaysAndCallsAnswered,
    /// The agent's process restarts as well.
    AgentRestart,
    /// Another entry takes over just after each restart.
    OwnerChangeAfter,
    /// Another entry takes over just before each restart.
    OwnerChangeBefore,
}

/// Restarts the first of two workers after `moment` milliseconds, and once more 700 ms later. It
/// sends its first heartbeat `heartbeat_delay` milliseconds after each restart. Returns the
/// violations.
fn run_with_restarts(moment: u64, heartbeat_delay: u64, with: With) -> Vec<String> {
    let mut sim = Simulation::new(1, 2);
    (sim.accepts_records, sim.run_duration) = (true, Some(500));
    for number in 0..2 {
        sim.send_heartbeat(number);
        sim.connect(number);
    }
    sim.advance(500);
    let mut violations = Vec::new();
    let mut advance = |sim: &mut Simulation, ms: u64| {
        for _ in 0..ms / 100 {
            sim.advance(100);
            violations.extend(sim.violations());
        }
    };
    let jobs = [("a", job(3)), ("gang", gang(2)), ("b", job(2))];
    for ((name, job), version) in jobs.into_iter().zip(150..) {
        sim.submit(name, job, version);
    }
    if matches!(with, With::DelaysAndBrokenCalls | With::DelaysAndCallsAnswered) {
        sim.nodes[0].behavior = Behavior::DelaysStarts(300);
    }
    advance(&mut sim, moment);
    for time in 0..2 {
        if with == With::OwnerChangeBefore {
            sim.take_over(2 + time);
        }
        sim.restart_worker(0);
        if matches!(with, With::BrokenCalls | With::DelaysAndBrokenCalls) {
            sim.break_calls(0);
        }
        advance(&mut sim, heartbeat_delay);
        match with {
            With::AgentRestart => sim.restart_agent(0),
            _ => sim.send_heartbeat(0),
        }
        if with == With::OwnerChangeAfter {
            sim.take_over(2 + time);
        }
        advance(&mut sim, 700);
    }
    advance(&mut sim, 30_000);
    let open = ["a", "gang", "b"].into_iter().filter(|name| !sim.has_ended(name));
    violations.extend(open.map(|name| format!("{name} has not ended")));
    violations.dedup();
    violations
}

// Restarts at any moment, detected at once or by the next heartbeat, with calls that break or
// reach the next incarnation, with delayed starts, with a restart of the agent, and with changes
// of the owner.
#[test]
fn restarts_at_any_moment_neither_duplicate_nor_lose_runs() {
    let mut lines = Vec::new();
    for moment in (0..4000).step_by(100) {
        for heartbeat_delay in [0, 300, 1500] {
            let delayed = [With::DelaysAndBrokenCalls, With::DelaysAndCallsAnswered];
            let others = [
                With::BrokenCalls,
                With::CallsAnswered,
                With::AgentRestart,
                With::OwnerChangeAfter,
                With::OwnerChangeBefore,
            ];
            for with in others.into_iter().chain(delayed) {
                let violations = run_with_restarts(moment, heartbeat_delay, with);
                lines.extend(
                    violations
                        .iter()
                        .map(|line| format!("{moment} {heartbeat_delay} {with:?}: {line}")),
                );
            }
        }
    }
    assert!(lines.is_empty(), "{} lines of 840 runs:\n{}", lines.len(), lines.join("\n"));
}

/// A runner, and the notices that it sends to its owner.
struct Harness {
    runner: Runner,
    now: u64,
    calls: Vec<(u64, Action)>,
    notices: Vec<String>,
}

impl Harness {
    /// Creates a runner with an owner and a worker whose process was started at `born`.
    fn new(born: u64) -> Harness {
        let runner = Runner::new(Settings::default());
        let mut harness = Harness { runner, now: 1000, calls: Vec::new(), notices: Vec::new() };
        harness.send_heartbeat(born, false);
        harness.runner.on_order(1, Order::Claim { epoch: 1 }, harness.now);
        harness.runner.on_order(1, Order::Grant { stamp: harness.now }, harness.now);
        harness.collect_outputs();
        harness
    }

    /// The clock of the incarnation that was started at `born`; that of the first is far ahead.
    fn clock(&self, born: u64) -> u64 {
        if born == 1 { 500_000 + self.now } else { self.now }
    }

    fn send_heartbeat(&mut self, born: u64, draining: bool) {
        self.now += 1;
        let worker =
            Worker { id: "i".into(), born, pool: "p".into(), draining, ..Worker::default() };
        self.runner.on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", self.clock(born)), self.now);
        self.collect_outputs();
    }

    /// Replies to all polls in flight as the incarnation that was started at `born`.
    fn reply_to_polls(&mut self, born: u64) {
        let is_poll = |(_, action): &(u64, Action)| matches!(action, Action::Hold { .. });
        let calls: Vec<(u64, Action)> = self.calls.extract_if(.., |call| is_poll(call)).collect();
        for (id, _) in calls {
            let (running, ended) = (Vec::new(), Vec::new());
            let held =
                Reply::Held { born, clock: self.clock(born), running, ended, truncated: false };
            self.runner.on_reply(id, Ok(held), self.now);
        }
        self.collect_outputs();
    }

    /// Orders a start as the owner, and confirms it as the worker.
    fn start(&mut self) {
        self.order_start();
        self.confirm_start();
    }

    /// Confirms the start in flight as the worker.
    fn confirm_start(&mut self) {
        let is_start = |(_, action): &(u64, Action)| matches!(action, Action::Start { .. });
        if let Some((id, _)) = self.calls.iter().find(|call| is_start(call)).cloned() {
            self.runner.on_reply(id, Ok(Reply::Done { clock: self.clock(self.born()) }), self.now);
        }
        self.collect_outputs();
    }

    /// Orders a start as the owner.
    fn order_start(&mut self) {
        let task = Task { job: "j".into(), occurrence: 0, step: 0, index: 0 };
        let (spec, saved, ticket) = (String::new(), String::new(), String::new());
        let worker = Incarnation { id: "i".into(), born: self.born() };
        let start = Order::Start {
            worker,
            task,
            run: 1,
            spec,
            saved,
            ticket,
            again: false,
            suspect: false,
        };
        self.runner.on_order(1, start, self.now);
        self.collect_outputs();
    }

    /// When the incarnation was started that the runner takes for the current one.
    fn born(&self) -> u64 {
        self.runner.worker().map_or(0, |worker| worker.born)
    }

    /// Breaks the connections of all calls in flight.
    fn break_calls(&mut self) {
        for (id, _) in std::mem::take(&mut self.calls) {
            let detail = "closed".to_owned();
            self.runner.on_reply(id, Err(Fault::Unclear { closed: true, detail }), self.now);
        }
        self.collect_outputs();
    }

    /// When the lease of the last poll or start ends, in milliseconds from now on the clock of the
    /// current incarnation.
    fn lease(&self) -> String {
        let mut leases = self.calls.iter().filter_map(|(_, action)| match action {
            Action::Start { lease_end, .. } => Some(lease_end - self.clock(self.born())),
            Action::Hold { lease_end, .. } => {
                lease_end.map(|lease_end| lease_end - self.clock(self.born()))
            }
            _ => None,
        });
        leases.next_back().map_or("none".to_owned(), |left| format!("{left} ms"))
    }

    /// The number up to which the poll in flight acknowledges ends.
    fn acknowledged(&self) -> String {
        let mut seen = self.calls.iter().filter_map(|(_, action)| match action {
            Action::Hold { acknowledged, .. } => Some(acknowledged.to_string()),
            _ => None,
        });
        seen.next_back().unwrap_or("none".to_owned())
    }

    fn collect_outputs(&mut self) {
        for output in self.runner.take_outputs() {
            match output {
                Output::Call { id, call } => self.calls.push((id, call.action)),
                Output::Send { notice, .. } => self.notices.extend(notice_line(&notice)),
                Output::Close { .. } => {}
            }
        }
    }

    /// Returns the notices since the last call.
    fn take_notices(&mut self) -> String {
        let lines = std::mem::take(&mut self.notices);
        if lines.is_empty() { "nothing".to_owned() } else { lines.join("\n") }
    }
}

fn notice_line(notice: &Notice) -> Option<String> {
    match notice {
        Notice::Status { worker: None, .. } => Some("no worker".to_owned()),
        Notice::Status { worker: Some(worker), fenced, .. } => {
            let state = if *fenced { ", fenced" } else { "" };
            Some(format!("worker {}{state}", worker.incarnation()))
        }
        Notice::Left { worker } => Some(format!("left {worker}")),
        Notice::Broke { worker, starts, possible } => {
            Some(format!("broke {worker} after {}", starts.len() + possible.len()))
        }
        _ => None,
    }
}

/// A heartbeat whose sequence number is the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
