//! Workers that crash by what they start, and come back under other names.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use quincewheel_dispatch::{Output, Owner, Settings};
use quincewheel_job::{Id, Job, Machine, Progress, Run, Task, Worker};
use quincewheel_wire::{Notice, Order};

use crate::bed::{self, Bed, CLAIM};

/// Workers, their lives, and tasks that crash them.
pub struct Pool {
    pub bed: Bed,
    /// Which life of each worker it is.
    pub lives: Vec<u64>,
    /// Workers start again under the ids that they had.
    pub keeps_ids: bool,
    /// What runs at each.
    pub running: Vec<Vec<Run>>,
    /// Jobs whose tasks crash each worker that starts them.
    pub bad: Vec<&'static str>,
    /// Workers that are gone, by when they are back.
    pub back: Vec<(u64, u64)>,
    /// Starts, by task, in the order in which they came.
    pub starts: Vec<String>,
    /// And where they were.
    pub places: Vec<u64>,
    /// What was told of suspects.
    pub suspected: Vec<String>,
    /// Lives that crashed.
    pub crashes: usize,
    /// When statuses come next: agents look each second.
    pub look: u64,
    /// The table takes writes.
    pub writes: bool,
    /// Progress as the table has it.
    pub recorded: BTreeMap<Id, Progress>,
}

/// Bounds on a platform that lists machines.
static SETTINGS: LazyLock<Settings> =
    LazyLock::new(|| Settings { listed: true, ..Settings::default() });

/// How long a worker that crashed is away, in milliseconds.
const AWAY: u64 = 3000;

impl Pool {
    pub fn open(epoch: u64, workers: u64) -> Pool {
        let mut bed = Bed::open(epoch, workers);
        bed.owner.update_settings(*SETTINGS);
        let mut pool = Pool {
            bed,
            lives: vec![0; workers as usize],
            keeps_ids: false,
            running: vec![Vec::new(); workers as usize],
            bad: Vec::new(),
            back: Vec::new(),
            starts: Vec::new(),
            places: Vec::new(),
            suspected: Vec::new(),
            crashes: 0,
            look: 0,
            writes: true,
            recorded: BTreeMap::new(),
        };
        for number in 0..workers {
            pool.bed.link(number);
            pool.report(number);
        }
        pool.bed.step();
        pool
    }

    pub fn worker(&self, number: u64) -> Worker {
        let life = self.lives[number as usize];
        match self.keeps_ids {
            true => Worker { born: 1 + life, ..bed::worker(number) },
            false => Worker { id: format!("i{number}-{life}"), ..bed::worker(number) },
        }
    }

    pub fn report(&mut self, number: u64) {
        let (stamp, worker) = (self.bed.now, Some(self.worker(number)));
        let running = self.running[number as usize].clone();
        let notice = Notice::Status { stamp, worker, fenced: true, running, ended: Vec::new() };
        self.bed.owner.on_notice(number, notice, self.bed.now);
    }

    pub fn submit(&mut self, name: &'static str, job: Job, version: u64) {
        self.bed.owner.add_job(name, job, version, None);
    }

    /// Another entry owns from now on, and knows what was recorded.
    pub fn take_over(&mut self, epoch: u64, jobs: Vec<(&'static str, Job)>) {
        let now = self.bed.now;
        self.bed.owner = Owner::new(*SETTINGS, epoch, CLAIM * epoch, now);
        self.bed.owner.predecessor_ended();
        for number in 0..self.lives.len() as u64 {
            self.bed.owner.agent(&format!("w{number}"), now);
        }
        for (name, job) in jobs {
            let progress = self.recorded.get(name).cloned();
            self.bed.owner.add_job(name, job, CLAIM, progress);
        }
        for number in 0..self.lives.len() as u64 {
            self.bed.link(number);
            if !self.away(number) {
                self.report(number);
            }
        }
    }

    pub fn away(&self, number: u64) -> bool {
        self.back.iter().any(|(_, away)| *away == number)
    }

    /// Time passes; workers do what they are told, and crash.
    pub fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.bed.now += 10;
            let now = self.bed.now;
            let back = self.back.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
            for (_, number) in back {
                self.lives[number as usize] += 1;
                // One that was dismissed announces itself first.
                self.bed.owner.agent(&format!("w{number}"), now);
                self.bed.link(number);
                self.report(number);
            }
            if now >= self.look {
                self.look = now + 1000;
                self.look_at_all();
            }
            self.bed.owner.confirm_ownership(now);
            self.bed.owner.tick(now, now);
            self.carry_out();
            if let Some(batch) = self.bed.owner.record() {
                self.bed.owner.recorded(&batch, self.writes);
                if self.writes {
                    self.recorded.extend(batch.jobs);
                }
            }
        }
    }

    pub fn look_at_all(&mut self) {
        for number in 0..self.lives.len() as u64 {
            if !self.away(number) {
                self.report(number);
            }
            let notice = Notice::Ping { stamp: self.bed.now, silent: 0 };
            self.bed.owner.on_notice(number, notice, self.bed.now);
        }
    }

    pub fn carry_out(&mut self) {
        let mut fresh: Vec<(u64, Task, u64)> = Vec::new();
        for output in self.bed.owner.take_outputs() {
            match output {
                Output::Send { link, order } => {
                    if let Order::Start { task, run, .. } = order {
                        self.starts.push(task.to_string());
                        self.places.push(link);
                        fresh.push((link, task, run));
                    }
                }
                Output::List => self.list(),
                Output::Log { event: "crash suspected", detail, .. } => self.suspected.push(detail),
                _ => {}
            }
        }
        for (number, task, run) in fresh.clone() {
            let running = bed::run(task.clone(), run);
            self.running[number as usize].push(running);
            self.bed.owner.on_notice(number, Notice::Started { task, run }, self.bed.now);
        }
        let bad = |task: &Task| self.bad.contains(&task.job.as_str());
        let mut crashed: Vec<u64> =
            fresh.iter().filter(|(_, task, _)| bad(task)).map(|(number, ..)| *number).collect();
        crashed.dedup();
        for number in crashed {
            let here = fresh.iter().filter(|(at, ..)| *at == number);
            let starts = here.map(|(_, task, run)| (task.clone(), *run)).collect();
            self.crash(number, starts);
        }
    }

    /// A worker's process is gone just after these starts.
    pub fn crash(&mut self, number: u64, starts: Vec<(Task, u64)>) {
        self.crashes += 1;
        self.back.push((self.bed.now + AWAY, number));
        let worker = self.worker(number);
        let notice = Notice::Broke { worker: worker.incarnation(), starts };
        self.bed.owner.on_notice(number, notice, self.bed.now);
        let (stamp, running) = (self.bed.now, std::mem::take(&mut self.running[number as usize]));
        let (worker, ended) = (Some(worker), Vec::new());
        let notice = Notice::Status { stamp, worker, fenced: false, running, ended };
        self.bed.owner.on_notice(number, notice, self.bed.now);
    }

    pub fn list(&mut self) {
        let machine = |number: u64| Machine {
            name: format!("m{number}"),
            worker: if self.away(number) { String::new() } else { self.worker(number).id },
            ..Machine::default()
        };
        let machines = (0..self.lives.len() as u64).map(machine).collect();
        self.bed.owner.machines(machines, true, 1, self.bed.now);
    }

    /// How often a job's tasks were started, and whether it has ended.
    pub fn story(&self, job: &str) -> String {
        let starts = self.starts.iter().filter(|start| start.starts_with(job)).count();
        let recorded = self.recorded.get(job).is_some_and(|progress| progress.state.ended());
        let ended = if recorded { ", ended" } else { "" };
        format!("{job}: {starts} starts{ended}")
    }

    pub fn stories(&self, jobs: &[&str]) -> String {
        let stories: Vec<String> = jobs.iter().map(|job| self.story(job)).collect();
        format!("{}\n{} crashes", stories.join("\n"), self.crashes)
    }
}
