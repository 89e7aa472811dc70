//! Simulates workers of uneven speed: they carry out the owner's orders, and report progress and
//! ends as agents do.

use std::collections::BTreeMap;

use quincewheel_dispatch::Settings;
use quincewheel_job::{End, How, Job, Run, Task};
use quincewheel_wire::Notice;

use super::harness::{self, Harness};

/// A pool under an owner, in steps of 10 ms.
pub struct Fleet {
    pub harness: Harness,
    /// How many times as long work takes on each worker.
    pub factors: Vec<f64>,
    /// Time that a stop takes, in milliseconds.
    pub stop_ms: u64,
    workers: Vec<Worker>,
    /// The jobs by id, with the work of a task in milliseconds, and when they were submitted.
    jobs: BTreeMap<String, (Job, f64, u64)>,
    /// Milliseconds from submission to end of the jobs that have ended.
    pub took: BTreeMap<String, u64>,
    /// By how much the work of a task differs at most from that of its job, as a part of it.
    pub noise: f64,
    seed: u64,
    /// Whether all members of a gang report the progress of the slowest one.
    pub gangs_report_as_one: bool,
    /// Whether the table refuses all writes.
    pub table_is_down: bool,
    /// The row with the speed of machines.
    pub row: Option<String>,
}

#[derive(Default)]
struct Worker {
    runs: BTreeMap<Task, Running>,
    ends: Vec<End>,
    end_count: u64,
    reported_at: u64,
}

struct Running {
    number: u64,
    /// All its work in milliseconds.
    work: f64,
    /// Completed work in milliseconds.
    done: f64,
    stops_at: Option<u64>,
}

const STEP_MS: u64 = 10;
/// Time between two polls of a worker on which nothing ends.
const POLL_MS: u64 = 1000;

impl Fleet {
    pub fn new(factors: Vec<f64>, uneven_percent: u64) -> Fleet {
        let count = factors.len() as u64;
        let mut harness = Harness::new(1, count).with_idle_workers(count);
        let settings = Settings { uneven_percent, stop_timeout: 900, ..Settings::default() };
        harness.owner.update_settings(settings);
        harness.logged_events = vec!["worker speed", "placed by speed"];
        Fleet {
            harness,
            workers: factors.iter().map(|_| Worker::default()).collect(),
            factors,
            stop_ms: 900,
            jobs: BTreeMap::new(),
            took: BTreeMap::new(),
            noise: 0.0,
            seed: 7,
            gangs_report_as_one: false,
            table_is_down: false,
            row: None,
        }
    }

    /// Submits a job of one step whose tasks take `work` milliseconds on a machine of factor 1.0.
    pub fn submit(&mut self, id: &str, mut job: Job, work: u64) {
        let now = self.harness.now;
        job.accepted = now;
        job.steps.iter_mut().for_each(|step| step.estimate = work);
        self.jobs.insert(id.to_owned(), (job.clone(), work as f64, now));
        let version = harness::CLAIM_VERSION + self.jobs.len() as u64;
        self.harness.owner.add_job(id, job, version, None);
    }

    pub fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        self.harness.advance(STEP_MS);
        self.carry_out_orders();
        let counts = self.running_counts();
        for (worker, factor) in self.workers.iter_mut().zip(&self.factors) {
            for (task, run) in &mut worker.runs {
                let step = &self.jobs[&task.job].0.steps[task.step as usize];
                if !step.gang || counts[&task.job] == step.count {
                    run.done = (run.done + STEP_MS as f64 / factor).min(run.work);
                }
            }
        }
        if self.gangs_report_as_one {
            self.level_gangs();
        }
        self.end_runs();
        self.report();
        self.record();
        let open = self.jobs.keys().filter(|id| !self.took.contains_key(*id)).cloned();
        for id in open.collect::<Vec<_>>() {
            if self.harness.owner.has_ended(&id) {
                self.took.insert(id.clone(), self.harness.now - self.jobs[&id].2);
            }
        }
    }

    /// Sets the progress of all members of a gang to that of the slowest.
    fn level_gangs(&mut self) {
        let mut lowest: BTreeMap<String, f64> = BTreeMap::new();
        for (task, run) in self.workers.iter().flat_map(|worker| &worker.runs) {
            let low = lowest.entry(task.job.clone()).or_insert(run.done);
            *low = low.min(run.done);
        }
        let runs = self.workers.iter_mut().flat_map(|worker| &mut worker.runs);
        for (task, run) in runs.filter(|(task, _)| self.jobs[&task.job].0.steps[0].gang) {
            run.done = lowest[&task.job];
        }
    }

    /// Writes what the owner wants recorded.
    fn record(&mut self) {
        let batch = self.harness.owner.next_batch().unwrap_or_default();
        self.harness.owner.on_recorded(&batch, !self.table_is_down);
        let row = batch.learned.speed.as_ref().filter(|_| !self.table_is_down);
        self.row = row.map(|speed| serde_json::to_string(speed).unwrap()).or(self.row.take());
        self.harness.collect_outputs();
    }

    fn running_counts(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for task in self.workers.iter().flat_map(|worker| worker.runs.keys()) {
            *counts.entry(task.job.clone()).or_default() += 1;
        }
        counts
    }

    fn carry_out_orders(&mut self) {
        for order in std::mem::take(&mut self.harness.orders) {
            let words: Vec<&str> = order.split(' ').collect();
            let [worker, kind @ ("start" | "stop"), name, "run", number, ..] = words[..] else {
                continue;
            };
            let worker: usize = worker[1..].parse().unwrap();
            let (job, index) = (name.split('.').next().unwrap(), name.rsplit('.').next().unwrap());
            let task = harness::task(job, 0, index.parse().unwrap());
            let number = number.parse().unwrap();
            let stops_at = self.harness.now + self.stop_ms;
            self.seed = self.seed.wrapping_mul(6364136223846793005).wrapping_add(1);
            let random = (self.seed >> 33) as f64 / (1u64 << 30) as f64 - 1.0;
            let work = self.jobs[job].1 * (1.0 + self.noise * random);
            let runs = &mut self.workers[worker].runs;
            if kind == "stop" {
                runs.entry(task).and_modify(|run| run.stops_at = Some(stops_at));
                continue;
            }
            runs.insert(task.clone(), Running { number, work, done: 0.0, stops_at: None });
            self.harness.deliver(worker as u64, Notice::Started { task, run: number });
        }
    }

    /// Ends single tasks that are complete, gangs of which all members are, and stopped runs.
    fn end_runs(&mut self) {
        let now = self.harness.now;
        let mut incomplete: BTreeMap<String, u32> = BTreeMap::new();
        for (task, run) in self.workers.iter().flat_map(|worker| &worker.runs) {
            let open = run.done < run.work;
            *incomplete.entry(task.job.clone()).or_default() += u32::from(open);
        }
        let counts = self.running_counts();
        for worker in &mut self.workers {
            let jobs = &self.jobs;
            let over = worker.runs.extract_if(.., |task, run| {
                let step = &jobs[&task.job].0.steps[task.step as usize];
                let complete = match step.gang {
                    true => incomplete[&task.job] == 0 && counts[&task.job] == step.count,
                    false => run.done >= run.work,
                };
                complete || run.stops_at.is_some_and(|at| at <= now)
            });
            for (task, run) in over {
                let how = if run.stops_at.is_some() { How::Stopped } else { How::Done };
                worker.end_count += 1;
                worker.ends.push(harness::end(worker.end_count, task, run.number, how));
            }
        }
    }

    fn report(&mut self) {
        let now = self.harness.now;
        for number in 0..self.workers.len() {
            let worker = &mut self.workers[number];
            if worker.ends.is_empty() && now < worker.reported_at + POLL_MS {
                continue;
            }
            worker.reported_at = now;
            let ends = std::mem::take(&mut worker.ends);
            let listed = |(task, run): (&Task, &Running)| Run {
                percent: (run.done * 100.0 / run.work) as u32,
                ..harness::run(task.clone(), run.number)
            };
            let runs: Vec<Run> = worker.runs.iter().map(listed).collect();
            self.harness.report_status(number as u64, &runs, &ends);
        }
    }
}
