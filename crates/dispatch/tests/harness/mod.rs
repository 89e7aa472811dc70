//! Drives an owner without a network: agents send what the test says, and the orders that the owner
//! sends are collected.

#![allow(dead_code)]

use quincewheel_dispatch::{Batch, ClearanceRequest, Output, Owner, Settings};
use quincewheel_job::{End, How, Job, Queue, Resources, Run, Step, Task, Worker};
use quincewheel_store::Limits;
use quincewheel_wire::{LinkId, Notice, Order};

/// An owner, the clock, and what the owner sent.
pub struct Harness {
    pub owner: Owner,
    /// Time in milliseconds, for the owner and its agents.
    pub now: u64,
    /// How far the time of day is ahead of `now`, in milliseconds.
    pub time_of_day_ahead: u64,
    /// Orders and requests of the owner, formatted, since the last `take_orders`.
    pub orders: Vec<String>,
    /// Clearance requests to the advice service that the test has not answered.
    pub advice_requests: Vec<ClearanceRequest>,
    /// Log events of which lines are collected in `logs`.
    pub logged_events: Vec<&'static str>,
    pub logs: Vec<String>,
}

/// Table version of the owner's claim; jobs stored before it have lower versions.
pub const CLAIM_VERSION: u64 = 100;

impl Harness {
    /// Creates an owner that has just claimed the ownership and knows this many agents, from `w0`
    /// on.
    pub fn new(epoch: u64, agents: u64) -> Harness {
        let mut owner = Owner::new(Settings::default(), epoch, CLAIM_VERSION, 10_000);
        for number in 0..agents {
            owner.add_agent(&format!("w{number}"), 10_000);
        }
        Harness {
            owner,
            now: 10_000,
            time_of_day_ahead: 0,
            orders: Vec::new(),
            advice_requests: Vec::new(),
            logged_events: Vec::new(),
            logs: Vec::new(),
        }
    }

    /// Connects the agents and reports a worker without runs for each.
    pub fn with_idle_workers(mut self, agents: u64) -> Harness {
        for number in 0..agents {
            self.connect(number);
            self.report_status(number, &[], &[]);
        }
        self.collect_outputs();
        self
    }

    /// Opens a connection to an agent; its link id is the agent's number.
    pub fn connect(&mut self, number: u64) {
        self.owner.on_connected(&format!("w{number}"), number, self.now);
    }

    /// Sends a status of an agent whose worker acknowledged the owner's epoch.
    pub fn report_status(&mut self, number: u64, running: &[Run], ended: &[End]) {
        let worker = Some(worker(number));
        self.deliver(
            number,
            Notice::Status {
                listed_at: None,
                stamp: self.now,
                worker,
                fenced: true,
                running: running.to_vec(),
                ended: ended.to_vec(),
                truncated: false,
            },
        );
    }

    /// Delivers a notice of an agent, then runs the owner once.
    pub fn deliver(&mut self, link: LinkId, notice: Notice) {
        self.owner.on_notice(link, notice, self.now);
        self.tick();
    }

    /// Advances the clock by `ms` in one step, then runs the owner once.
    pub fn advance(&mut self, ms: u64) {
        self.now += ms;
        self.tick();
    }

    /// Runs the owner at the current time, with its ownership confirmed by the table.
    pub fn tick(&mut self) {
        self.owner.confirm_ownership(self.now);
        self.owner.tick(self.now, self.time_of_day());
        self.collect_outputs();
    }

    /// Returns the time of day, in milliseconds since 1970.
    pub fn time_of_day(&self) -> u64 {
        self.now + self.time_of_day_ahead
    }

    /// Writes what the owner wants recorded, successfully, and returns it.
    pub fn record(&mut self) -> Batch {
        let batch = self.owner.next_batch().unwrap_or_default();
        batch.check(&Limits::default()).expect("the table takes each batch");
        self.owner.on_recorded(&batch, true);
        self.collect_outputs();
        batch
    }

    /// Collects the owner's outputs. Lease grants and claims are left out.
    pub fn collect_outputs(&mut self) {
        for output in self.owner.take_outputs() {
            match output {
                Output::Send { order: Order::Grant { .. } | Order::Claim { .. }, .. } => {}
                Output::Send { link, order } => self.orders.push(format_order(link, &order)),
                Output::RequestClearance { request } => {
                    let workers = request.workers.iter().map(ToString::to_string);
                    let workers: Vec<String> = workers.collect();
                    self.orders.push(format!("ask {}", workers.join(" ")));
                    self.advice_requests.push(request);
                }
                Output::ListMachines => self.orders.push("list".to_owned()),
                Output::TakeDown { wave, machine } => {
                    self.orders.push(format!("take {machine} for {wave}"));
                }
                Output::WaveStatus { number, done } => {
                    self.orders.push(format!("wave {number} done {done}"));
                }
                Output::Close { link } => self.orders.push(format!("close {link}")),
                Output::Deposed { epoch } => self.orders.push(format!("deposed by {epoch}")),
                Output::Log { event, subject, detail } => {
                    self.log(event, &subject, &detail);
                }
            }
        }
    }

    /// Collects a log line of the events that are to be logged.
    pub fn log(&mut self, event: &'static str, subject: &str, detail: &str) {
        if self.logged_events.contains(&event) {
            self.logs.push(format!("{event} {subject}: {detail}"));
        }
    }

    /// Advances the clock by `ms` in steps of 100 ms, the owner's tick, while the first agents keep
    /// sending pings.
    pub fn advance_with_pings(&mut self, ms: u64, agents: u64) {
        for _ in 0..ms / 100 {
            self.advance(100);
            for number in 0..agents {
                self.deliver(number, Notice::Ping { stamp: self.now, silent: 0 });
            }
        }
    }

    /// Returns the collected log lines, one a line, and clears them.
    pub fn take_logs(&mut self) -> String {
        let logs = std::mem::take(&mut self.logs);
        if logs.is_empty() { "nothing".to_owned() } else { logs.join("\n") }
    }

    /// Returns the collected orders, one a line, and clears them.
    pub fn take_orders(&mut self) -> String {
        let orders = std::mem::take(&mut self.orders);
        if orders.is_empty() { "nothing".to_owned() } else { orders.join("\n") }
    }
}

fn format_order(link: LinkId, order: &Order) -> String {
    match order {
        Order::Start { task, run, saved, ticket, .. } if ticket.is_empty() => {
            format!("w{link} start {task} run {run} {saved}")
        }
        Order::Start { task, run, ticket, .. } => {
            format!("w{link} start {task} run {run} with {ticket}")
        }
        Order::Pace { task, percent, .. } => format!("w{link} pace {task} {percent}"),
        Order::Stop { task, run, .. } => format!("w{link} stop {task} run {run}"),
        Order::Seen { number, .. } => format!("w{link} seen {number}"),
        Order::Evacuate { zones } => {
            format!("w{link} evacuate {:?}", zones.zones().collect::<Vec<_>>())
        }
        order => format!("w{link} {order:?}"),
    }
}

/// Returns a worker with 8 accelerators; each three consecutive numbers share a rack.
pub fn worker(number: u64) -> Worker {
    Worker {
        id: format!("i{number}"),
        pool: "p".into(),
        capacity: Resources { cpu: 64_000, memory: 262_144, accelerators: 8 },
        rack: format!("r{}", number / 3),
        labels: vec!["a".into(), format!("r{}", number / 3)],
        ..Worker::default()
    }
}

/// Returns a job of team `t` in a queue of pool `p`, with 2 attempts for each task.
pub fn job(priority: u32, steps: Vec<Step>) -> Job {
    let queue =
        Queue { name: "q".into(), pool: "p".into(), priority, attempts: 2, ..Queue::default() };
    Job { team: "t".into(), queue, spec: String::new(), steps, schedule: None, accepted: 0 }
}

/// Returns a step of `count` tasks, each estimated at 1000 ms.
pub fn step(count: u32, accelerators: u64) -> Step {
    let need = Resources { cpu: 1000, memory: 1000, accelerators };
    Step { count, need, estimate: 1000, ..Step::default() }
}

pub fn task(job: &str, step: u32, index: u32) -> Task {
    Task { job: job.into(), occurrence: 0, step, index }
}

/// Returns a listed run that is at 10 percent.
pub fn run(task: Task, number: u64) -> Run {
    Run { task, number, saved: String::new(), percent: 10, gauge: 0 }
}

pub fn end(number: u64, task: Task, run: u64, how: How) -> End {
    End { number, task, run, how, saved: String::new() }
}
