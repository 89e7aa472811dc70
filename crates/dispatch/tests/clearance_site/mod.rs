//! Workers that may demand tickets, and the service that issues them, on a network with a delay.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use quincewheel_dispatch::{ClearanceRequest, Learned, Owner, Settings};
use quincewheel_job::{Advice, Config, End, How, Job, Progress, Queue, Run, State, Task};
use quincewheel_wire::{Notice, Refused};

use crate::harness::{self, CLAIM_VERSION, Harness};

/// Step of the clock, in milliseconds.
const STEP_MS: u64 = 10;
/// Time between two reports of each worker, in milliseconds.
const REPORT_MS: u64 = 500;

/// What arrives somewhere later.
#[derive(Clone, Debug)]
enum Event {
    Start { worker: u64, task: Task, run: u64, ticket: String },
    Stop { worker: u64, task: Task, run: u64 },
    Notice(u64, Notice),
    Call(ClearanceRequest, u64),
    Answer { request: ClearanceRequest, tickets: Vec<(String, String)>, sent: u64 },
    NoAnswer { request: ClearanceRequest, sent: u64 },
}

pub struct ClearanceSite {
    pub harness: Harness,
    workers: u64,
    /// Delay of each message, in milliseconds.
    pub delay: u64,
    /// Times of the service.
    pub advice: Advice,
    /// Workers that no step may run at.
    pub barred: BTreeSet<u64>,
    /// Whether the service answers.
    pub answers: bool,
    /// Whether tickets are valid from the beginning of a call on, instead of from its answer.
    pub counts_from_begin: bool,
    /// Whether the workers demand tickets.
    pub demands: bool,
    /// How long each run lasts, in milliseconds.
    pub run_ms: u64,
    events: VecDeque<(u64, Event)>,
    /// When each ticket was issued.
    issued: BTreeMap<String, (String, u64)>,
    tickets: u64,
    service_free_at: u64,
    running: Vec<(u64, Task, u64, u64)>,
    ends: BTreeMap<u64, u64>,
    /// When each start was accepted, with its task.
    pub started: Vec<(u64, Task)>,
    /// When each start was refused.
    pub refused: Vec<u64>,
    /// When each call arrived at the service, with its number of workers.
    pub calls: Vec<(u64, usize)>,
}

impl ClearanceSite {
    pub fn new(epoch: u64, workers: u64, advice: Advice) -> ClearanceSite {
        ClearanceSite {
            harness: Harness::new(epoch, workers).with_idle_workers(workers),
            workers,
            delay: 5,
            advice,
            barred: BTreeSet::new(),
            answers: true,
            counts_from_begin: false,
            demands: true,
            run_ms: 200,
            events: VecDeque::new(),
            issued: BTreeMap::new(),
            tickets: 0,
            service_free_at: 0,
            running: Vec::new(),
            ends: BTreeMap::new(),
            started: Vec::new(),
            refused: Vec::new(),
            calls: Vec::new(),
        }
    }

    /// Forgets all tickets, as a change of the configuration may.
    pub fn void_tickets(&mut self) {
        self.issued.clear();
    }

    /// Lets an owner take over that has read this configuration and the former owner's rows. The job
    /// `a` has ended its first step.
    pub fn change_owner(&mut self, config: &Config, learned: &Learned, job: Job) {
        let now = self.harness.now;
        let mut next = Harness::new(2, self.workers);
        next.owner = Owner::new(Settings::default(), 2, CLAIM_VERSION, now);
        (0..self.workers).for_each(|number| next.owner.add_agent(&format!("w{number}"), now));
        next.now = now;
        next.owner.predecessor_ended();
        next.owner.configure(config);
        next.owner.restore_learned(learned);
        let progress = (self.started.len() > 1 || self.running.is_empty()).then(|| {
            let mut progress = Progress::default();
            progress.state = State::Running;
            progress.mark_done(&job, &harness::task("a", 0, 0));
            progress
        });
        next.owner.add_job("a", job, 50, progress);
        next.owner.jobs_loaded(CLAIM_VERSION);
        self.events.clear();
        self.harness = next;
        for number in 0..self.workers {
            self.harness.connect(number);
            self.report(number, &[]);
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, ms: u64) {
        let until = self.harness.now + ms;
        while self.harness.now < until {
            self.harness.advance(STEP_MS);
            self.step();
        }
    }

    /// Lets time pass until `count` starts were accepted, for `ms` at most. Returns whether they were.
    pub fn pass_until_started(&mut self, count: usize, ms: u64) -> bool {
        let until = self.harness.now + ms;
        while self.started.len() < count && self.harness.now < until {
            self.pass(STEP_MS);
        }
        self.started.len() >= count
    }

    /// Lets time pass until `count` tasks run at the same time, for `ms` at most. Returns whether they do.
    pub fn pass_until_running(&mut self, count: usize, ms: u64) -> bool {
        let until = self.harness.now + ms;
        while self.running.len() < count && self.harness.now < until {
            self.pass(STEP_MS);
        }
        self.running.len() >= count
    }

    fn step(&mut self) {
        let now = self.harness.now;
        self.end_runs(now);
        if now.is_multiple_of(REPORT_MS) {
            (0..self.workers).for_each(|worker| self.report(worker, &[]));
        }
        loop {
            self.send();
            let due = self.events.iter().position(|(at, _)| *at <= self.harness.now);
            let Some((_, event)) = due.and_then(|index| self.events.remove(index)) else { break };
            self.deliver(event, now);
        }
    }

    /// Puts what the owner has sent on its way.
    fn send(&mut self) {
        let at = self.harness.now + self.delay;
        for order in std::mem::take(&mut self.harness.orders) {
            let words: Vec<&str> = order.split_whitespace().collect();
            if !["start", "stop"].contains(&words[1]) {
                continue;
            }
            let worker = words[0][1..].parse().unwrap();
            let parts: Vec<&str> = words[2].split('.').collect();
            let number = |index: usize| parts[index].parse().unwrap();
            let task = harness::task(parts[0], number(2), number(3));
            let run = words[4].parse().unwrap();
            let ticket = words.iter().skip_while(|word| **word != "with").nth(1);
            let ticket = ticket.map(ToString::to_string).unwrap_or_default();
            let event = match words[1] {
                "start" => Event::Start { worker, task, run, ticket },
                _ => Event::Stop { worker, task, run },
            };
            self.events.push_back((at, event));
        }
        for request in std::mem::take(&mut self.harness.advice_requests) {
            self.events.push_back((at, Event::Call(request, self.harness.now)));
        }
    }

    fn deliver(&mut self, event: Event, now: u64) {
        match event {
            Event::Start { worker, task, run, ticket } => self.start(worker, task, run, &ticket),
            Event::Stop { worker, task, run } => {
                self.end_where(How::Stopped, |(at, known, number, _)| {
                    (*at, known, *number) == (worker, &task, run)
                });
                self.events.push_back((
                    now + self.delay,
                    Event::Notice(worker, Notice::Stopped { task, run }),
                ));
            }
            Event::Notice(worker, notice) => self.harness.deliver(worker, notice),
            Event::Call(request, sent) => self.call(request, sent),
            Event::Answer { request, tickets, sent } => {
                let answer = Some((&tickets[..], self.advice.valid));
                self.harness.owner.on_clearance(&request, answer, sent, now);
                self.harness.tick();
            }
            Event::NoAnswer { request, sent } => {
                self.harness.owner.on_clearance(&request, None, sent, now);
                self.harness.tick();
            }
        }
    }

    fn call(&mut self, request: ClearanceRequest, sent: u64) {
        let now = self.harness.now;
        self.calls.push((now, request.workers.len()));
        if !self.answers {
            return self.events.push_back((now + self.delay, Event::NoAnswer { request, sent }));
        }
        let takes = self.advice.decide + self.advice.each * request.workers.len() as u64;
        let begun_at = self.service_free_at.max(now);
        let at = begun_at + takes;
        self.service_free_at = at;
        let issued_at = if self.counts_from_begin { begun_at } else { at };
        let mut tickets = Vec::new();
        for worker in &request.workers {
            let number: u64 = worker.id[1..].parse().unwrap();
            if !self.barred.contains(&number) {
                self.tickets += 1;
                let text = format!("t{}", self.tickets);
                self.issued.insert(text.clone(), (worker.id.clone(), issued_at));
                tickets.push((worker.id.clone(), text));
            }
        }
        let event = match sent + request.timeout_ms < at + self.delay {
            true => (sent + request.timeout_ms, Event::NoAnswer { request, sent }),
            false => (at + self.delay, Event::Answer { request, tickets, sent }),
        };
        self.events.push_back(event);
    }

    fn start(&mut self, worker: u64, task: Task, run: u64, ticket: &str) {
        let now = self.harness.now;
        let valid = self
            .issued
            .get(ticket)
            .is_some_and(|(id, at)| *id == format!("i{worker}") && now <= at + self.advice.valid);
        let notice = if !self.demands || valid {
            self.running.push((worker, task.clone(), run, now + self.run_ms));
            self.started.push((now, task.clone()));
            Notice::Started { task, run }
        } else {
            self.refused.push(now);
            Notice::Unstarted { task, run, why: Refused::Ticket }
        };
        self.events.push_back((now + self.delay, Event::Notice(worker, notice)));
    }

    fn end_runs(&mut self, now: u64) {
        self.end_where(How::Done, |(.., until)| *until <= now);
    }

    fn end_where(&mut self, how: How, over: impl Fn(&(u64, Task, u64, u64)) -> bool) {
        let over: Vec<(u64, Task, u64, u64)> =
            self.running.extract_if(.., |run| over(run)).collect();
        for (worker, task, run, _) in over {
            let number = self.ends.entry(worker).or_default();
            *number += 1;
            let end = End { number: *number, task, run, how, saved: String::new() };
            self.report(worker, &[end]);
        }
    }

    fn report(&mut self, worker: u64, ended: &[End]) {
        let here = self.running.iter().filter(|(at, ..)| *at == worker);
        let listed: Vec<Run> = here.map(|(_, task, n, _)| harness::run(task.clone(), *n)).collect();
        self.harness.report_status(worker, &listed, ended);
    }
}

/// Returns a configuration with a queue `q`, if one is given.
pub fn config(version: u64, queue: Option<Queue>) -> Config {
    let queues = queue.into_iter().map(|queue| (queue.name.clone(), queue)).collect();
    Config { version, queues, ..Config::default() }
}

/// Returns a queue `q` of pool `p`.
pub fn queue(advice: Option<Advice>) -> Queue {
    Queue { advice, ..harness::job(1, Vec::new()).queue }
}

/// Returns a job of two steps of one task each, accepted on this queue.
pub fn two_steps(queue: Queue) -> Job {
    let mut second = harness::step(1, 1);
    second.after = vec![0];
    Job { queue, ..harness::job(1, vec![harness::step(1, 1), second]) }
}
