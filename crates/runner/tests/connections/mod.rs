//! An agent, without a network, whose worker breaks its connections.

#![allow(dead_code)]

use quincewheel_job::{Run, Task, Worker};
use quincewheel_runner::{Action, Fault, Heartbeat, Output, Reply, Runner, Settings};
use quincewheel_wire::{Notice, Order, list_causes};

/// An agent whose worker is fenced and idle.
pub struct Harness {
    pub runner: Runner,
    pub now: u64,
    /// Call ids of the last poll, the last start and the last probe.
    pub poll: u64,
    pub start: u64,
    pub probe: u64,
    /// Suspects that were reported to have survived their starts.
    pub survivors: Vec<String>,
    /// Reports of broken connections.
    pub breaks: Vec<String>,
    /// The last status reported the worker as fenced.
    pub fenced: bool,
}

impl Harness {
    pub fn new() -> Harness {
        let runner = Runner::new(Settings::default());
        let mut harness = Harness {
            runner,
            now: 1000,
            poll: 0,
            start: 0,
            probe: 0,
            survivors: Vec::new(),
            breaks: Vec::new(),
            fenced: false,
        };
        harness.send_heartbeat("i1");
        harness.runner.on_order(1, Order::Claim { epoch: 1 }, harness.now);
        harness.runner.on_order(1, Order::Grant { stamp: harness.now }, harness.now);
        harness.collect_outputs();
        harness.reply_to_poll(&[]);
        harness.breaks.clear();
        harness
    }

    pub fn send_heartbeat(&mut self, id: &str) {
        let worker = Worker { id: id.into(), pool: "p".into(), ..Worker::default() };
        self.runner.on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", 50_000 + self.now), self.now);
        self.collect_outputs();
    }

    pub fn order_start(&mut self, index: u32) {
        self.order_start_of(index, false);
    }

    pub fn order_start_of(&mut self, index: u32, suspect: bool) {
        self.order_start_again(index, (false, suspect));
    }

    /// Orders a start; `again` if the owner has ordered it before.
    pub fn order_start_again(&mut self, index: u32, (again, suspect): (bool, bool)) {
        let (spec, saved, ticket) = (String::new(), String::new(), String::new());
        let (worker, task) = ("i1".into(), task(index));
        let start = Order::Start { worker, task, run: 1, spec, saved, ticket, again, suspect };
        self.runner.on_order(1, start, self.now);
        self.collect_outputs();
    }

    /// Confirms the last start.
    pub fn confirm_start(&mut self) {
        self.reply(self.start, Ok(Reply::Done { clock: 50_000 + self.now }));
    }

    /// Replies to the last poll.
    pub fn reply_to_poll(&mut self, running: &[u32]) {
        self.list(self.poll, running);
    }

    /// Replies to a poll or probe.
    pub fn list(&mut self, id: u64, running: &[u32]) {
        let running = running.iter().copied().map(listed).collect();
        let held = Reply::Held {
            born: 0,
            clock: 50_000 + self.now,
            running,
            ended: Vec::new(),
            truncated: false,
        };
        self.reply(id, Ok(held));
    }

    pub fn reply(&mut self, id: u64, reply: Result<Reply, Fault>) {
        self.runner.on_reply(id, reply, self.now);
        self.collect_outputs();
    }

    pub fn advance(&mut self, ms: u64) {
        self.now += ms;
        self.runner.tick(self.now);
        self.collect_outputs();
    }

    pub fn collect_outputs(&mut self) {
        for output in self.runner.take_outputs() {
            match output {
                Output::Call { id, call } => match call.action {
                    Action::Hold { .. } => self.poll = id,
                    Action::Start { .. } => self.start = id,
                    Action::List => self.probe = id,
                    _ => {}
                },
                Output::Send { notice: Notice::Broke { worker, starts, possible }, .. } => {
                    let causes = list_causes(&starts, &possible);
                    self.breaks.push(format!("{worker} broke: {causes}"));
                }
                Output::Send { notice: Notice::Survived { task, run }, .. } => {
                    self.survivors.push(format!("{task} run {run}"));
                }
                Output::Send { notice: Notice::Status { fenced, .. }, .. } => self.fenced = fenced,
                Output::Send { .. } | Output::Close { .. } => {}
            }
        }
    }
}

pub fn task(index: u32) -> Task {
    Task { job: "j".into(), occurrence: 0, step: 0, index }
}

pub fn listed(index: u32) -> Run {
    Run { task: task(index), number: 1, saved: String::new(), percent: 1, gauge: 0 }
}

pub fn closed() -> Result<Reply, Fault> {
    Err(Fault::Unclear { closed: true, detail: "closed".into() })
}

pub fn refused() -> Result<Reply, Fault> {
    Err(Fault::Unsent { detail: "refused".into() })
}

/// A heartbeat whose sequence number is the worker's clock.
pub fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
