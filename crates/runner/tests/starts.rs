//! Starts that get no reply, are repeated, or arrive late.

use insta::assert_snapshot;
use quincewheel_job::{End, Evacuation, How, Resources, Run, Task, Worker};
use quincewheel_runner::{Action, Call, Fault, Heartbeat, Output, Reply, Runner, Settings};
use quincewheel_wire::{Notice, Order, Refused};

/// A runner with a worker and an owner.
struct Harness {
    runner: Runner,
    now: u64,
    /// Calls without a reply, by their ids.
    calls: Vec<(u64, Call)>,
    /// Calls and notices of the runner, one line each.
    lines: Vec<String>,
}

impl Harness {
    /// Creates a runner with an idle worker and an owner of epoch 3.
    fn new() -> Harness {
        let runner = Runner::new(Settings::default());
        let mut harness = Harness { runner, now: 1000, calls: Vec::new(), lines: Vec::new() };
        harness.runner.on_heartbeat(&heartbeat(&worker(false), "10.0.0.1:80", 50_000), harness.now);
        harness.order(Order::Claim { epoch: 3 });
        harness.order(Order::Grant { stamp: 1000 });
        harness.reply_to_poll(&[], &[]);
        harness.take_lines();
        harness
    }

    fn order(&mut self, order: Order) {
        self.runner.on_order(1, order, self.now);
        self.collect_outputs();
    }

    fn start(&mut self, run: u64) {
        let (spec, saved) = (String::new(), String::new());
        let (worker, ticket) = ("i1".into(), String::new());
        let again = false;
        self.order(Order::Start {
            worker,
            task: task(),
            run,
            spec,
            saved,
            ticket,
            again,
            suspect: false,
        });
    }

    fn collect_outputs(&mut self) {
        for output in self.runner.take_outputs() {
            match output {
                // These tests have their own for what the worker lists after a start.
                Output::Call { call, .. } if call.action == Action::List => {}
                Output::Call { id, call } => {
                    self.lines.push(call_line(&call));
                    self.calls.push((id, call));
                }
                Output::Send { notice: Notice::Ping { .. }, .. } => {}
                Output::Send { notice, .. } => self.lines.push(notice_line(&notice)),
                Output::Close { link } => self.lines.push(format!("close {link}")),
            }
        }
    }

    /// Replies to the oldest call that is not a poll.
    fn reply(&mut self, reply: Result<Reply, Fault>) {
        let is_poll = |call: &Call| matches!(call.action, Action::Hold { .. });
        let place = self.calls.iter().position(|(_, call)| !is_poll(call)).expect("a call");
        let (id, _) = self.calls.remove(place);
        self.runner.on_reply(id, reply, self.now);
        self.collect_outputs();
    }

    /// Replies to the newest poll.
    fn reply_to_poll(&mut self, running: &[Run], ended: &[End]) {
        let is_poll = |call: &Call| matches!(call.action, Action::Hold { .. });
        let place = self.calls.iter().rposition(|(_, call)| is_poll(call)).expect("a poll");
        let (id, _) = self.calls.remove(place);
        let clock = 50_000 + self.now;
        let (running, ended) = (running.to_vec(), ended.to_vec());
        self.runner.on_reply(
            id,
            Ok(Reply::Held { born: 0, clock, running, ended, truncated: false }),
            self.now,
        );
        self.collect_outputs();
    }

    fn advance(&mut self, ms: u64) {
        self.now += ms;
        self.runner.tick(self.now);
        self.collect_outputs();
    }

    fn take_lines(&mut self) -> String {
        let lines = std::mem::take(&mut self.lines);
        if lines.is_empty() { "nothing".to_owned() } else { lines.join("\n") }
    }
}

fn worker(draining: bool) -> Worker {
    let capacity = Resources { cpu: 64_000, memory: 262_144, accelerators: 8 };
    Worker { id: "i1".into(), pool: "p".into(), capacity, draining, ..Worker::default() }
}

fn task() -> Task {
    Task { job: "j".into(), occurrence: 0, step: 0, index: 0 }
}

fn listed(run: u64) -> Run {
    Run { task: task(), number: run, saved: String::new(), percent: 5, gauge: 0 }
}

fn done(run: u64) -> End {
    End { number: 1, task: task(), run, how: How::Done, saved: String::new() }
}

fn call_line(call: &Call) -> String {
    match &call.action {
        Action::Pace { task, run, percent } => format!("> pace {task} run {run} at {percent}"),
        Action::Start { task, run, lease_end, .. } => {
            format!("> start {task} run {run} until {lease_end}")
        }
        Action::Stop { task, run } => format!("> stop {task} run {run}"),
        Action::Hold { acknowledged, wait, .. } => {
            format!("> poll acknowledging {acknowledged} wait {wait}")
        }
        Action::List => "> list".to_owned(),
    }
}

fn notice_line(notice: &Notice) -> String {
    match notice {
        Notice::Status { fenced, running, ended, .. } => {
            format!("status fenced {fenced} running {} ended {}", running.len(), ended.len())
        }
        Notice::Started { task, run } => format!("started {task} run {run}"),
        Notice::Unstarted { task, run, why } => format!("unstarted {task} run {run} {why:?}"),
        Notice::Stopped { task, run } => format!("stopped {task} run {run}"),
        notice => format!("{notice:?}"),
    }
}

fn timeout() -> Result<Reply, Fault> {
    Err(Fault::Unclear { closed: false, detail: "nothing".into() })
}

fn ok() -> Result<Reply, Fault> {
    Ok(Reply::Done { clock: 52_000 })
}

// A start gets no reply, and the worker carries it out seconds later. If it were reported as not
// started without a stop before, the task would run on two workers.
#[test]
fn a_start_without_a_reply_is_retried_then_stopped_before_it_is_given_up() {
    let mut harness = Harness::new();
    harness.start(4);
    for _ in 0..3 {
        harness.reply(timeout());
    }
    harness.reply(ok());
    let before = harness.take_lines();
    harness.reply_to_poll(&[], &[]);
    assert_snapshot!(format!("{before}\n-- polled\n{}", harness.take_lines()), @r"
    > start j.0.0.0 run 4 until 56880
    > start j.0.0.0 run 4 until 56880
    > poll acknowledging 0 wait 1000
    > start j.0.0.0 run 4 until 56880
    > stop j.0.0.0 run 4
    > poll acknowledging 0 wait 0
    -- polled
    status fenced true running 0 ended 0
    unstarted j.0.0.0 run 4 Silent
    ");
}

// The agent restarts, the owner repeats a start, and the worker refuses it as old because that run
// is done. If the refusal were reported before the end, a task that is done would run again.
#[test]
fn an_end_is_reported_before_the_refusal_of_a_repeated_start() {
    let mut harness = Harness::new();
    harness.start(4);
    harness.reply(Ok(Reply::Refused(Refused::Old)));
    harness.reply(ok());
    harness.reply_to_poll(&[], &[done(4)]);
    assert_snapshot!(harness.take_lines(), @r"
    > start j.0.0.0 run 4 until 56880
    > stop j.0.0.0 run 4
    > poll acknowledging 0 wait 0
    status fenced true running 0 ended 1
    unstarted j.0.0.0 run 4 Silent
    ");
}

// An agent forwards a start and restarts, the worker begins to drain, and the owner repeats the
// start, which the agent then refuses. The first one may have taken effect, so the agent must stop
// the run and wait for its end; otherwise the task would run on two workers.
#[test]
fn a_start_that_the_agent_refuses_is_settled_with_the_worker() {
    let mut harness = Harness::new();
    harness.runner.on_heartbeat(&heartbeat(&worker(true), "10.0.0.1:80", 50_100), harness.now);
    harness.collect_outputs();
    harness.start(4);
    harness.reply(ok());
    harness.reply_to_poll(&[listed(4)], &[]);
    let before = harness.take_lines();
    harness.reply_to_poll(&[], &[done(4)]);
    assert_snapshot!(format!("{before}\n-- ended\n{}", harness.take_lines()), @r"
    status fenced true running 0 ended 0
    > stop j.0.0.0 run 4
    > poll acknowledging 0 wait 0
    status fenced true running 1 ended 0
    > poll acknowledging 0 wait 1000
    -- ended
    status fenced true running 0 ended 1
    unstarted j.0.0.0 run 4 Silent
    ");
}

// The worker receives each renewal of its lease, but its replies are lost. If its lease were
// extended as long as the owner grants it, its runs would go on after the owner takes them for
// ended.
#[test]
fn the_lease_of_a_worker_whose_replies_are_lost_is_not_extended() {
    let mut harness = Harness::new();
    harness.start(4);
    harness.reply(ok());
    harness.reply_to_poll(&[listed(4)], &[]);
    harness.take_lines();
    let mut ends = Vec::new();
    for _ in 0..4 {
        harness.advance(2400);
        let stamp = harness.now;
        harness.order(Order::Grant { stamp });
        let (id, call) = harness.calls.pop().expect("a poll");
        if let Action::Hold { lease_end: Some(lease_end), .. } = call.action {
            ends.push(lease_end.to_string());
        }
        harness.runner.on_reply(id, timeout(), harness.now);
        harness.advance(300);
    }
    assert_snapshot!(ends.join("\n"), @r"
    56880
    56880
    56880
    56880
    ");
}

// A start takes effect, and the poll after it gets no reply. It must be repeated, or the run would
// expire undetected and its job never go on.
#[test]
fn a_poll_without_a_reply_is_repeated() {
    let mut harness = Harness::new();
    harness.start(4);
    harness.reply(ok());
    harness.take_lines();
    let (id, _) = harness.calls.pop().expect("a poll");
    harness.runner.on_reply(id, timeout(), harness.now);
    harness.advance(300);
    assert_snapshot!(harness.take_lines(), @r"> poll acknowledging 0 wait 0");
}

#[test]
fn a_pace_is_forwarded_once_and_never_to_another_incarnation() {
    let mut harness = Harness::new();
    harness.take_lines();
    let pace =
        |worker: &str| Order::Pace { worker: worker.into(), task: task(), run: 1, percent: 50 };
    harness.order(pace("i0"));
    harness.order(pace("i1"));
    assert_snapshot!(harness.take_lines(), @"> pace j.0.0.0 run 1 at 50");
}

/// A heartbeat whose sequence number is the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}

// The owner orders a start and then sends an evacuation of the zone, and a network partition
// delays both. The start must not take effect in the evacuated zone.
#[test]
fn a_start_that_arrives_after_an_evacuation_order_is_refused() {
    let mut harness = Harness::new();
    let mut zones = Evacuation::default();
    zones.add("");
    harness.order(Order::Evacuate { zones });
    harness.start(4);
    let in_evacuation = harness.take_lines();
    harness.order(Order::Evacuate { zones: Evacuation::default() });
    harness.start(5);
    assert_snapshot!(format!("{in_evacuation}\n-- after the evacuation\n{}", harness.take_lines()), @r"
    > stop j.0.0.0 run 4
    -- after the evacuation
    > start j.0.0.0 run 5 until 56880
    ");
}
