//! Simulation of an owner, agents and their workers without a network, on a simulated clock.

#![allow(dead_code)]

pub mod history;
mod node;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use quincewheel_dispatch::{Output as OwnerOutput, Owner, Settings as OwnerSettings};
use quincewheel_job::{
    Evacuation, How, Job, Progress, Queue, Resources, Run, State, Step, Task, Worker,
};
use quincewheel_runner::{Call, Fault, Heartbeat, Output, Runner, Settings};
use quincewheel_store::Limits;
use quincewheel_wire::Order;

use history::History;
use node::first_clock;
pub use node::{Behavior, Node};

/// Time between heartbeats of a worker.
const HEARTBEAT_INTERVAL_MS: u64 = 1500;
/// Most rounds of orders and replies within one step of the clock; more mean an endless loop.
const MAX_ROUNDS: usize = 50;
/// Step of the simulated clock, unless a test sets another.
const STEP_MS: u64 = 100;
/// The table's version at which the owner claimed; jobs that were accepted before have lower
/// ones.
pub const CLAIM_VERSION: u64 = 100;
/// The simulated time at which the first owner claimed.
pub const START_MS: u64 = 10_000;

/// The whole system.
pub struct Simulation {
    pub owner: Owner,
    pub nodes: Vec<Node>,
    pub now: u64,
    /// Step of the clock, in milliseconds.
    pub step: u64,
    /// The table confirms the owner's ownership.
    pub ownership_confirmed: bool,
    /// The table accepts the owner's records.
    pub accepts_records: bool,
    /// The availability zones that operators evacuate.
    pub evacuation: Evacuation,
    /// The owner can read which availability zones are evacuated.
    pub reads_evacuation: bool,
    /// Runs end as done after this many milliseconds; never if none.
    pub run_duration: Option<u64>,
    /// Submitted jobs with the versions of their rows.
    jobs: Vec<(String, Job, u64)>,
    /// Progress of the jobs as of the last record.
    recorded: BTreeMap<String, Progress>,
    /// Starts and stops that owners ordered, with the time since the start.
    orders: Vec<String>,
    /// The starts and ends of all workers.
    history: Rc<RefCell<History>>,
}

impl Simulation {
    /// Creates an owner that has just claimed `epoch`. It has the rows of the agents of all
    /// workers, but no connections to them.
    pub fn new(epoch: u64, workers: usize) -> Simulation {
        let mut owner = Owner::new(self::owner_settings(), epoch, CLAIM_VERSION, START_MS);
        for number in 0..workers {
            owner.add_agent(&format!("w{number}"), START_MS);
        }
        let history = Rc::new(RefCell::new(History::default()));
        let nodes = (0..workers).map(|_| Node::new(Rc::clone(&history))).collect();
        Simulation {
            owner,
            nodes,
            now: START_MS,
            step: STEP_MS,
            ownership_confirmed: true,
            accepts_records: false,
            evacuation: Evacuation::default(),
            reads_evacuation: true,
            run_duration: None,
            jobs: Vec::new(),
            recorded: BTreeMap::new(),
            orders: Vec::new(),
            history,
        }
    }

    /// Submits a job, and keeps it for later owners.
    pub fn submit(&mut self, name: &str, job: Job, version: u64) {
        self.jobs.push((name.to_owned(), job.clone(), version));
        self.owner.add_job(name, job, version, None);
    }

    /// Replaces the owner by another entry, which has read all rows.
    pub fn take_over(&mut self, epoch: u64) {
        let now = self.now;
        self.owner = Owner::new(self::owner_settings(), epoch, CLAIM_VERSION * 10 * epoch, now);
        self.owner.predecessor_ended();
        self.owner.set_evacuation(&self.evacuation, now);
        for number in 0..self.nodes.len() {
            self.owner.add_agent(&format!("w{number}"), now);
        }
        for (name, job, version) in &self.jobs {
            let progress = self.recorded.get(name).cloned();
            self.owner.add_job(name, job.clone(), *version, progress);
        }
        for number in 0..self.nodes.len() {
            self.connect(number);
        }
    }

    /// True if the end of the job is recorded.
    pub fn has_ended(&self, name: &str) -> bool {
        self.recorded.get(name).is_some_and(|progress| progress.state.is_final())
    }

    /// Sends a heartbeat of a worker to its agent.
    pub fn send_heartbeat(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let (zone, draining) = (node.zone.clone(), node.draining);
        let worker = Worker { born: node.born, zone, draining, ..worker(number, node.renames) };
        node.runner.on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", node.clock(now)), now);
        node.next_heartbeat = Some(now + HEARTBEAT_INTERVAL_MS);
    }

    /// Restarts a worker's process under the same id. It loses all its state and counts its ends
    /// from 1 again, and it has sent no heartbeat yet. Calls without a reply may still reach it.
    pub fn restart_worker(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        node.replace_process();
        self.history.borrow_mut().ids_are_kept = true;
        node.born = now;
        node.notice_delay = 0;
        node.fencing_token = 0;
        node.clock_lag = first_clock(now);
        node.last_end = 0;
        node.last_lapsed_end = 0;
        node.unacknowledged.clear();
        node.stopped.clear();
        node.started.clear();
        node.next_heartbeat = None;
        node.behavior = Behavior::Healthy;
    }

    /// Breaks the connections of all calls in flight to a worker.
    pub fn break_calls(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        for (_, id, _) in std::mem::take(&mut node.calls) {
            let fault = Fault::Unclear { closed: true, detail: "closed".into() };
            node.runner.on_reply(id, Err(fault), now);
        }
    }

    /// Violations of what must hold at any time: no task has two runs at once, and none starts after
    /// an end as done that was acknowledged to its worker then or later, unless the worker's lease
    /// lapsed between the two.
    pub fn violations(&self) -> Vec<String> {
        let runs = self.nodes.iter().flat_map(|node| node.running.iter().map(|run| &run.task));
        let runs: Vec<&Task> = runs.collect();
        let doubled = runs.iter().filter(|task| runs.iter().filter(|t| t == task).count() > 1);
        let acknowledged =
            |task: &&&Task| self.nodes.iter().any(|node| node.acknowledged.contains(task));
        let again = runs.iter().filter(acknowledged).map(|task| format!("{task} runs again"));
        let past = self.history.borrow().violations.clone();
        doubled.map(|task| format!("{task} runs twice")).chain(again).chain(past).collect()
    }

    /// Ends all runs of a job at a worker as done.
    pub fn finish_runs(&mut self, number: usize, job: &str) {
        let node = &mut self.nodes[number];
        let ends: Vec<Run> = node.running.extract_if(.., |run| run.task.job == job).collect();
        for run in ends {
            node.end_run(run, How::Done);
        }
        node.poll_due = true;
    }

    /// Crashes a worker, and sends a heartbeat of its next incarnation, which has another id.
    pub fn replace_worker(&mut self, number: usize) {
        self.nodes[number].renames += 1;
        self.nodes[number].fencing_token = 0;
        self.nodes[number].replace_process();
        self.send_heartbeat(number);
    }

    /// Delivers a heartbeat of the worker's first incarnation that was delayed by seconds.
    pub fn deliver_stale_heartbeat(&mut self, number: usize) {
        let now = self.now;
        let former = worker(number, 0);
        self.nodes[number]
            .runner
            .on_heartbeat(&heartbeat(&former, "10.0.0.1:80", first_clock(now)), now);
    }

    /// Stops the heartbeats of a worker.
    pub fn stop_heartbeats(&mut self, number: usize) {
        self.nodes[number].next_heartbeat = None;
    }

    /// Connects the owner to an agent.
    pub fn connect(&mut self, number: usize) {
        self.owner.on_connected(&format!("w{number}"), number as u64, self.now);
    }

    /// Restarts an agent's process while its worker runs on.
    pub fn restart_agent(&mut self, number: usize) {
        self.forget_agent_state(number);
        self.send_heartbeat(number);
        self.connect(number);
    }

    /// Restarts an agent's process, which has heard no heartbeat and has no connection yet.
    pub fn forget_agent_state(&mut self, number: usize) {
        self.nodes[number].runner = Runner::new(Settings::default());
        self.nodes[number].calls.clear();
        self.owner.on_disconnected(number as u64);
    }

    /// The current runs of all workers, one line each.
    pub fn running(&self) -> Vec<String> {
        let nodes = self.nodes.iter().enumerate();
        let line = |number: usize, run: &Run| format!("w{number} {} run {}", run.task, run.number);
        nodes.flat_map(|(number, node)| node.running.iter().map(move |r| line(number, r))).collect()
    }

    /// The recorded state of a job; queued if there is none.
    pub fn state(&self, name: &str) -> State {
        self.recorded.get(name).map_or(State::Queued, |progress| progress.state)
    }

    /// Advances the clock, and lets the owner, the agents and the workers do what is due.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / self.step {
            self.now += self.step;
            for number in 0..self.nodes.len() {
                self.step_node(number);
            }
            if self.ownership_confirmed {
                self.owner.confirm_ownership(self.now);
            }
            if self.reads_evacuation {
                self.owner.set_evacuation(&self.evacuation, self.now);
            }
            self.owner.tick(self.now, self.now);
            if self.accepts_records
                && let Some(batch) = self.owner.next_batch()
            {
                batch.check(&Limits::default()).expect("the table takes each batch");
                self.owner.on_recorded(&batch, true);
                self.recorded.extend(batch.jobs);
            }
            self.deliver();
        }
    }

    /// Lets one agent and its worker do what is due.
    fn step_node(&mut self, number: usize) {
        let due = self.nodes[number].next_heartbeat.is_some_and(|at| at <= self.now);
        if due && self.nodes[number].behavior != Behavior::Down {
            self.send_heartbeat(number);
        }
        if std::mem::take(&mut self.nodes[number].needs_dial) {
            self.connect(number);
        }
        if !self.nodes[number].orders_wait {
            for (link, order) in std::mem::take(&mut self.nodes[number].waiting_orders) {
                self.nodes[number].runner.on_order(link, order, self.now);
            }
        }
        self.nodes[number].expire_lease(self.now);
        self.nodes[number].apply_delayed_starts(self.now);
        if let Some(duration) = self.run_duration {
            self.nodes[number].finish_after(duration, self.now);
        }
        self.nodes[number].runner.tick(self.now);
    }

    /// Returns the starts and stops that were ordered since the last call.
    pub fn take_orders(&mut self) -> String {
        let lines = std::mem::take(&mut self.orders);
        if lines.is_empty() { "nothing".to_owned() } else { lines.join("\n") }
    }

    /// Delivers orders, calls and replies until there are no more.
    fn deliver(&mut self) {
        for _ in 0..MAX_ROUNDS {
            let mut quiet = true;
            for output in self.owner.take_outputs() {
                if let OwnerOutput::Send { link, order } = output {
                    quiet = false;
                    self.log_order(link, &order);
                    let node = &mut self.nodes[link as usize];
                    if node.orders_wait {
                        node.waiting_orders.push((link, order));
                    } else if !node.cut {
                        node.runner.on_order(link, order, self.now);
                    }
                }
            }
            for number in 0..self.nodes.len() {
                quiet &= !self.serve_node(number);
            }
            if quiet {
                return;
            }
            self.owner.tick(self.now, self.now);
        }
        panic!(
            "orders and replies in an endless loop at {} ms: {:?}",
            self.now - START_MS,
            self.orders
        );
    }

    /// Carries out one agent's outputs, and delivers the replies that are due. Returns false if
    /// there was nothing to do.
    fn serve_node(&mut self, number: usize) -> bool {
        let now = self.now;
        let node = &mut self.nodes[number];
        let outputs = node.runner.take_outputs();
        let mut busy = !outputs.is_empty();
        for output in outputs {
            match output {
                Output::Call { id, call } => {
                    node.calls.push((node.reply_time(&call, now), id, call))
                }
                Output::Send { .. } if node.cut => {}
                Output::Send { link, notice } => self.owner.on_notice(link, notice, now),
                // The owner is disconnected too, and dials again in the next step.
                Output::Close { link } => {
                    self.owner.on_disconnected(link);
                    node.needs_dial = true;
                }
            }
        }
        let later = |(at, _, _): &(u64, u64, Call)| *at > now;
        let (waiting, ready) = std::mem::take(&mut node.calls).into_iter().partition(later);
        node.calls = waiting;
        let ready: Vec<(u64, u64, Call)> = ready;
        for (_, id, call) in ready {
            busy = true;
            let reply = node.reply(&call, now);
            node.runner.on_reply(id, reply, now);
        }
        busy
    }

    fn log_order(&mut self, link: u64, order: &Order) {
        let ms = self.now - START_MS;
        match order {
            Order::Start { task, run, .. } => {
                self.orders.push(format!("{ms} ms: w{link} start {task} run {run}"));
            }
            Order::Stop { task, run, .. } => {
                self.orders.push(format!("{ms} ms: w{link} stop {task} run {run}"));
            }
            _ => {}
        }
    }
}

/// Settings of an owner whose availability zones can be evacuated.
fn owner_settings() -> OwnerSettings {
    OwnerSettings { evacuation_deadline: Some(5000), ..OwnerSettings::default() }
}

fn worker(number: usize, renames: usize) -> Worker {
    Worker {
        id: format!("i{number}-{renames}"),
        pool: "p".into(),
        capacity: Resources { cpu: 64_000, memory: 262_144, accelerators: 8 },
        rack: "r0".into(),
        ..Worker::default()
    }
}

/// A job of one gang with `count` tasks, each of which takes a whole worker.
pub fn gang(count: u32) -> Job {
    let mut job = job(count);
    job.steps[0].gang = true;
    job.steps[0].need.accelerators = 8;
    job
}

/// A job of one step with `count` tasks of one accelerator each.
pub fn job(count: u32) -> Job {
    let queue = Queue { name: "q".into(), pool: "p".into(), attempts: 2, ..Queue::default() };
    let need = Resources { cpu: 1000, memory: 1000, accelerators: 1 };
    let step = Step { count, need, estimate: 1000, ..Step::default() };
    let spec = String::new();
    Job { team: "t".into(), queue, spec, steps: vec![step], schedule: None, accepted: START_MS }
}

/// A heartbeat whose sequence number is the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
