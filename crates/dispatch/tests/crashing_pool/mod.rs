//! A pool of workers that crash when they start a task of certain jobs, and restart some time
//! later.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::LazyLock;

use quincewheel_dispatch::{Output, Owner, Settings};
use quincewheel_job::{Id, Job, Machine, Progress, Run, Task, Worker};
use quincewheel_store::Limits;
use quincewheel_wire::{Notice, Order};

use crate::harness::{self, CLAIM_VERSION, Harness};

/// An owner and its workers, which execute its orders and crash on the tasks of some jobs.
pub struct CrashingPool {
    pub harness: Harness,
    /// Number of restarts of each worker so far.
    pub incarnations: Vec<u64>,
    /// Workers keep their ids across restarts; otherwise each incarnation has another id.
    pub keeps_worker_ids: bool,
    /// Runs of each worker.
    pub running: Vec<Vec<Run>>,
    /// Jobs whose tasks crash every worker that starts them.
    pub crashing_jobs: Vec<&'static str>,
    /// Crashed workers: the time of the restart, and the worker's number.
    pub restarts: Vec<(u64, u64)>,
    /// Tasks that were started, in the order of the starts.
    pub starts: Vec<String>,
    /// Agent of each start in `starts`.
    pub start_agents: Vec<u64>,
    /// Details of the log lines `crash suspected`.
    pub suspected_crashes: Vec<String>,
    /// Number of crashes.
    pub crashes: usize,
    /// When agents send the next status and ping, which they do each second.
    pub next_report_at: u64,
    /// The table accepts writes.
    pub table_writable: bool,
    /// Progress of the jobs as the table has it.
    pub recorded: BTreeMap<Id, Progress>,
}

/// Settings for a platform that lists machines.
static SETTINGS: LazyLock<Settings> =
    LazyLock::new(|| Settings { lists_machines: true, ..Settings::default() });

/// Time from a crash to the restart of the worker.
const RESTART_DELAY_MS: u64 = 3000;

impl CrashingPool {
    /// Creates an owner with this many connected workers that run nothing.
    pub fn new(epoch: u64, workers: u64) -> CrashingPool {
        let mut harness = Harness::new(epoch, workers);
        harness.owner.update_settings(*SETTINGS);
        let mut pool = CrashingPool {
            harness,
            incarnations: vec![0; workers as usize],
            keeps_worker_ids: false,
            running: vec![Vec::new(); workers as usize],
            crashing_jobs: Vec::new(),
            restarts: Vec::new(),
            starts: Vec::new(),
            start_agents: Vec::new(),
            suspected_crashes: Vec::new(),
            crashes: 0,
            next_report_at: 0,
            table_writable: true,
            recorded: BTreeMap::new(),
        };
        for number in 0..workers {
            pool.harness.connect(number);
            pool.report(number);
        }
        pool.harness.tick();
        pool
    }

    /// Returns the current incarnation of a worker.
    pub fn worker(&self, number: u64) -> Worker {
        let incarnation = self.incarnations[number as usize];
        match self.keeps_worker_ids {
            true => Worker { born: 1 + incarnation, ..harness::worker(number) },
            false => Worker { id: format!("i{number}-{incarnation}"), ..harness::worker(number) },
        }
    }

    /// Sends a status of a worker.
    pub fn report(&mut self, number: u64) {
        let (stamp, worker) = (self.harness.now, Some(self.worker(number)));
        let running = self.running[number as usize].clone();
        let notice = Notice::Status {
            listed_at: None,
            stamp,
            worker,
            fenced: true,
            running,
            ended: Vec::new(),
            truncated: false,
        };
        self.harness.owner.on_notice(number, notice, self.harness.now);
    }

    pub fn submit(&mut self, name: &'static str, job: Job, version: u64) {
        self.harness.owner.add_job(name, job, version, None);
    }

    /// Replaces the owner by one that knows only what was recorded.
    pub fn take_over(&mut self, epoch: u64, jobs: Vec<(&'static str, Job)>) {
        let now = self.harness.now;
        self.harness.owner = Owner::new(*SETTINGS, epoch, CLAIM_VERSION * epoch, now);
        self.harness.owner.predecessor_ended();
        for number in 0..self.incarnations.len() as u64 {
            self.harness.owner.add_agent(&format!("w{number}"), now);
        }
        for (name, job) in jobs {
            let progress = self.recorded.get(name).cloned();
            self.harness.owner.add_job(name, job, CLAIM_VERSION, progress);
        }
        for number in 0..self.incarnations.len() as u64 {
            self.harness.connect(number);
            if !self.is_down(number) {
                self.report(number);
            }
        }
    }

    /// Whether a worker has crashed and not restarted yet.
    pub fn is_down(&self, number: u64) -> bool {
        self.restarts.iter().any(|(_, down)| *down == number)
    }

    /// Advances the clock by `ms` in steps of 10 ms, in which workers restart, start tasks and crash.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.harness.now += 10;
            let now = self.harness.now;
            let restarts = self.restarts.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
            for (_, number) in restarts {
                self.incarnations[number as usize] += 1;
                // An agent that was dismissed registers before it is connected.
                self.harness.owner.add_agent(&format!("w{number}"), now);
                self.harness.connect(number);
                self.report(number);
            }
            if now >= self.next_report_at {
                self.next_report_at = now + 1000;
                self.report_all();
            }
            self.harness.owner.confirm_ownership(now);
            self.harness.owner.tick(now, now);
            self.execute_orders();
            if let Some(batch) = self.harness.owner.next_batch() {
                batch.check(&Limits::default()).expect("the table takes each batch");
                self.harness.owner.on_recorded(&batch, self.table_writable);
                if self.table_writable {
                    self.recorded.extend(batch.jobs);
                }
            }
        }
    }

    /// Sends a status of each worker that is up, and a ping of each agent.
    pub fn report_all(&mut self) {
        for number in 0..self.incarnations.len() as u64 {
            if !self.is_down(number) {
                self.report(number);
            }
            let notice = Notice::Ping { stamp: self.harness.now, silent: 0 };
            self.harness.owner.on_notice(number, notice, self.harness.now);
        }
    }

    /// Executes the owner's orders at once; tasks of `crashing_jobs` crash their worker.
    pub fn execute_orders(&mut self) {
        let mut started: Vec<(u64, Task, u64)> = Vec::new();
        let mut stopped: Vec<(u64, Task, u64)> = Vec::new();
        for output in self.harness.owner.take_outputs() {
            match output {
                Output::Send { link, order } => {
                    if let Order::Start { task, run, .. } = order {
                        self.starts.push(task.to_string());
                        self.start_agents.push(link);
                        started.push((link, task, run));
                    } else if let Order::Stop { task, run, .. } = order {
                        stopped.push((link, task, run));
                    }
                }
                Output::ListMachines => self.send_machine_list(),
                Output::Log { event: "crash suspected", detail, .. } => {
                    self.suspected_crashes.push(detail)
                }
                Output::Log { event, subject, detail } => {
                    self.harness.log(event, &subject, &detail);
                }
                _ => {}
            }
        }
        for (number, task, run) in stopped {
            if !self.is_down(number) {
                self.stop(number, task, run);
            }
        }
        for (number, task, run) in started.clone() {
            let running = harness::run(task.clone(), run);
            self.running[number as usize].push(running);
            self.harness.owner.on_notice(number, Notice::Started { task, run }, self.harness.now);
        }
        let crashes_worker = |task: &Task| self.crashing_jobs.contains(&task.job.as_str());
        let mut crashed: Vec<u64> = started
            .iter()
            .filter(|(_, task, _)| crashes_worker(task))
            .map(|(number, ..)| *number)
            .collect();
        crashed.dedup();
        for number in crashed {
            let starts_here = started.iter().filter(|(at, ..)| *at == number);
            let starts = starts_here.map(|(_, task, run)| (task.clone(), *run)).collect();
            self.crash(number, starts);
        }
    }

    /// Confirms the stop of a run that the worker does not have. Others go on: no task here makes
    /// progress, so the owner would move it again and again.
    fn stop(&mut self, number: u64, task: Task, run: u64) {
        let listed = |known: &Run| known.task == task && known.number == run;
        if !self.running[number as usize].iter().any(listed) {
            self.harness.owner.on_notice(number, Notice::Stopped { task, run }, self.harness.now);
        }
    }

    /// Crashes a worker just after these starts.
    pub fn crash(&mut self, number: u64, starts: Vec<(Task, u64)>) {
        self.crashes += 1;
        self.restarts.push((self.harness.now + RESTART_DELAY_MS, number));
        let worker = self.worker(number);
        let notice = Notice::Broke { worker: worker.incarnation(), starts, possible: Vec::new() };
        self.harness.owner.on_notice(number, notice, self.harness.now);
        let (stamp, running) =
            (self.harness.now, std::mem::take(&mut self.running[number as usize]));
        let (worker, ended) = (Some(worker), Vec::new());
        let notice = Notice::Status {
            listed_at: None,
            stamp,
            worker,
            fenced: false,
            running,
            ended,
            truncated: false,
        };
        self.harness.owner.on_notice(number, notice, self.harness.now);
    }

    /// Sends the platform's list of machines, without the workers that are down.
    pub fn send_machine_list(&mut self) {
        let machine = |number: u64| Machine {
            name: format!("m{number}"),
            worker: if self.is_down(number) { String::new() } else { self.worker(number).id },
            ..Machine::default()
        };
        let machines = (0..self.incarnations.len() as u64).map(machine).collect();
        let now = self.harness.now;
        self.harness.owner.on_machines(machines, true, 1, (now, now));
    }

    /// Returns the number of starts of a job's tasks, and whether its end is recorded.
    pub fn summary(&self, job: &str) -> String {
        let starts = self.starts.iter().filter(|start| start.starts_with(job)).count();
        let recorded = self.recorded.get(job).is_some_and(|progress| progress.state.is_final());
        let ended = if recorded { ", ended" } else { "" };
        format!("{job}: {starts} starts{ended}")
    }

    /// Returns the summary of each job and the number of crashes.
    pub fn summaries(&self, jobs: &[&str]) -> String {
        let summaries: Vec<String> = jobs.iter().map(|job| self.summary(job)).collect();
        format!("{}\n{} crashes", summaries.join("\n"), self.crashes)
    }
}
