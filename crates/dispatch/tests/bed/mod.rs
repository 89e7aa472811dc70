//! An owner with agents that answer as the test says.

#![allow(dead_code)]

use quincewheel_dispatch::{Batch, Output, Owner, Question, Settings};
use quincewheel_job::{End, How, Job, Need, Queue, Run, Step, Task, Worker};
use quincewheel_wire::{LinkId, Notice, Order};

pub struct Bed {
    pub owner: Owner,
    pub now: u64,
    pub lines: Vec<String>,
    pub questions: Vec<Question>,
    /// Events whose log lines are kept.
    pub events: Vec<&'static str>,
    /// Those lines.
    pub logs: Vec<String>,
}

/// The table's version at which the owner claimed; older jobs have lower ones.
pub const CLAIM: u64 = 100;

impl Bed {
    /// An owner that has just claimed, and knows agents `w0` to `wN`.
    pub fn open(epoch: u64, agents: u64) -> Bed {
        let mut owner = Owner::new(Settings::default(), epoch, CLAIM, 10_000);
        for number in 0..agents {
            owner.agent(&format!("w{number}"), 10_000);
        }
        Bed {
            owner,
            now: 10_000,
            lines: Vec::new(),
            questions: Vec::new(),
            events: Vec::new(),
            logs: Vec::new(),
        }
    }

    /// Agents connect and report workers that run nothing.
    pub fn idle(mut self, agents: u64) -> Bed {
        for number in 0..agents {
            self.link(number);
            self.status(number, &[], &[]);
        }
        self.drain();
        self
    }

    pub fn link(&mut self, number: u64) {
        self.owner.linked(&format!("w{number}"), number, self.now);
    }

    pub fn status(&mut self, number: u64, running: &[Run], ended: &[End]) {
        let worker = Some(worker(number));
        self.notice(
            number,
            Notice::Status {
                stamp: self.now,
                worker,
                fenced: true,
                running: running.to_vec(),
                ended: ended.to_vec(),
            },
        );
    }

    pub fn notice(&mut self, link: LinkId, notice: Notice) {
        self.owner.on_notice(link, notice, self.now);
        self.step();
    }

    pub fn pass(&mut self, ms: u64) {
        self.now += ms;
        self.step();
    }

    pub fn step(&mut self) {
        self.owner.confirm_ownership(self.now);
        self.owner.tick(self.now, self.now);
        self.drain();
    }

    pub fn record(&mut self) -> Batch {
        let batch = self.owner.record().unwrap_or_default();
        self.owner.recorded(&batch, true);
        self.drain();
        batch
    }

    pub fn drain(&mut self) {
        for output in self.owner.take_outputs() {
            match output {
                Output::Send { order: Order::Grant { .. } | Order::Claim { .. }, .. } => {}
                Output::Send { link, order } => self.lines.push(line(link, &order)),
                Output::Ask { question } => {
                    let workers = question.workers.iter().map(ToString::to_string);
                    let workers: Vec<String> = workers.collect();
                    self.lines.push(format!("ask {}", workers.join(" ")));
                    self.questions.push(question);
                }
                Output::List => self.lines.push("list".to_owned()),
                Output::Take { wave, machine } => {
                    self.lines.push(format!("take {machine} for {wave}"));
                }
                Output::Wave { number, done } => {
                    self.lines.push(format!("wave {number} done {done}"));
                }
                Output::Close { link } => self.lines.push(format!("close {link}")),
                Output::Deposed { epoch } => self.lines.push(format!("deposed by {epoch}")),
                Output::Log { event, subject, detail } => {
                    if self.events.contains(&event) {
                        self.logs.push(format!("{event} {subject}: {detail}"));
                    }
                }
            }
        }
    }

    /// Lets time pass in the steps in which an owner looks at what is due, while
    /// the first agents go on answering.
    pub fn live(&mut self, ms: u64, agents: u64) {
        for _ in 0..ms / 100 {
            self.pass(100);
            for number in 0..agents {
                self.notice(number, Notice::Ping { stamp: self.now, silent: 0 });
            }
        }
    }

    /// The lines of the chosen events since the last time.
    pub fn logged(&mut self) -> String {
        let lines = std::mem::take(&mut self.logs);
        if lines.is_empty() { "nothing".to_owned() } else { lines.join("\n") }
    }

    /// What was ordered since the last time.
    pub fn told(&mut self) -> String {
        let lines = std::mem::take(&mut self.lines);
        if lines.is_empty() { "nothing".to_owned() } else { lines.join("\n") }
    }
}

fn line(link: LinkId, order: &Order) -> String {
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

/// A worker with 8 accelerators; three stand in one rack.
pub fn worker(number: u64) -> Worker {
    Worker {
        id: format!("i{number}"),
        pool: "p".into(),
        capacity: Need { cpu: 64_000, memory: 262_144, accelerators: 8 },
        rack: format!("r{}", number / 3),
        labels: vec!["a".into(), format!("r{}", number / 3)],
        ..Worker::default()
    }
}

pub fn job(priority: u32, steps: Vec<Step>) -> Job {
    let queue =
        Queue { name: "q".into(), pool: "p".into(), priority, attempts: 2, ..Queue::default() };
    Job { team: "t".into(), queue, spec: String::new(), steps, schedule: None, accepted: 0 }
}

pub fn step(count: u32, accelerators: u64) -> Step {
    let need = Need { cpu: 1000, memory: 1000, accelerators };
    Step { count, need, estimate: 1000, ..Step::default() }
}

pub fn task(job: &str, step: u32, index: u32) -> Task {
    Task { job: job.into(), occurrence: 0, step, index }
}

pub fn run(task: Task, number: u64) -> Run {
    Run { task, number, saved: String::new(), percent: 10, gauge: 0 }
}

pub fn end(number: u64, task: Task, run: u64, how: How) -> End {
    End { number, task, run, how, saved: String::new() }
}
