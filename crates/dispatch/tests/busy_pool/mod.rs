//! An owner whose agents run what they are ordered to, each run for the time of its job.

#![allow(dead_code)]

use std::collections::BTreeMap;

use quincewheel_dispatch::Settings;
use quincewheel_job::{End, How, Job, Run, Task};

use crate::harness::{Harness, end};

/// Time between two steps of the clock, and between two reports of an agent.
pub const STEP_MS: u64 = 100;
/// Slack of the objective of all jobs. Work that need not start within 3 s leaves whole workers to
/// urgent work, so with more slack the jobs would wait for that.
const SLACK_MS: u64 = 3000;

/// A pool whose runs start and end.
pub struct Pool {
    pub harness: Harness,
    /// When each run was started: job, task index, agent, time.
    pub starts: Vec<(String, u32, u64, u64)>,
    /// Jobs whose runs were ordered to stop, one entry for each run.
    pub stopped: Vec<String>,
    agents: u64,
    /// Agents that report nothing any more.
    pub silent: Vec<u64>,
    running: Vec<Running>,
    /// How long the runs of each job take.
    durations: BTreeMap<String, u64>,
    ends: BTreeMap<u64, u64>,
}

#[derive(Clone, Debug)]
struct Running {
    agent: u64,
    task: Task,
    run: u64,
    began: u64,
    duration: u64,
}

impl Pool {
    /// A pool of idle workers with claims after `claim_after` milliseconds.
    pub fn new(agents: u64, claim_after: u64) -> Pool {
        let mut harness = Harness::new(1, agents);
        harness.owner.update_settings(Settings { claim_after, ..Settings::default() });
        harness = harness.with_idle_workers(agents);
        harness.logged_events = vec!["claim made", "claim moved", "claim abandoned", "waits"];
        Pool {
            harness,
            starts: Vec::new(),
            stopped: Vec::new(),
            agents,
            silent: Vec::new(),
            running: Vec::new(),
            durations: BTreeMap::new(),
            ends: BTreeMap::new(),
        }
    }

    /// Adds a job that is accepted now and whose runs take `duration`. It is in time if it starts
    /// within [`SLACK_MS`].
    pub fn add(&mut self, id: &str, version: u64, duration: u64, mut job: Job) {
        let accepted = self.harness.now;
        (job.queue.stretch, job.queue.slack) = (1.0, SLACK_MS);
        self.durations.insert(id.to_owned(), duration);
        self.harness.owner.add_job(id, Job { accepted, ..job }, version, None);
        self.harness.tick();
        self.carry_out();
    }

    /// Advances the clock by `ms`.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.harness.now += STEP_MS;
            for agent in 0..self.agents {
                if !self.silent.contains(&agent) {
                    self.report(agent);
                    self.carry_out();
                }
            }
            self.harness.record();
            self.harness.tick();
            self.carry_out();
        }
    }

    /// Sends the report of an agent.
    fn report(&mut self, agent: u64) {
        let now = self.harness.now;
        let over = |run: &Running| run.agent == agent && now >= run.began + run.duration;
        let ended: Vec<Running> = self.running.extract_if(.., |run| over(run)).collect();
        let ended: Vec<End> = ended
            .into_iter()
            .map(|run| {
                let number = self.ends.entry(agent).or_default();
                *number += 1;
                end(*number, run.task, run.run, How::Done)
            })
            .collect();
        let running = self.listed(agent);
        self.harness.report_status(agent, &running, &ended);
    }

    /// The runs that an agent lists.
    pub fn listed(&self, agent: u64) -> Vec<Run> {
        let now = self.harness.now;
        let runs = self.running.iter().filter(|run| run.agent == agent);
        let list = |run: &Running| Run {
            task: run.task.clone(),
            number: run.run,
            saved: String::new(),
            percent: ((now - run.began) * 100 / run.duration) as u32,
            gauge: 0,
        };
        runs.map(list).collect()
    }

    /// Starts what the owner has ordered.
    fn carry_out(&mut self) {
        for line in std::mem::take(&mut self.harness.orders) {
            let words: Vec<&str> = line.split_whitespace().collect();
            if let ["stop", name, ..] = words[1..] {
                self.stopped.push(name.split('.').next().unwrap_or_default().to_owned());
            }
            let ["start", name, "run", number, ..] = words[1..] else { continue };
            let (Ok(agent), Ok(run)) = (words[0][1..].parse(), number.parse()) else { continue };
            let parts: Vec<&str> = name.split('.').collect();
            let [job, _, step, index] = parts[..] else { continue };
            let (step, index) = (step.parse().unwrap_or(0), index.parse().unwrap_or(0));
            let began = self.harness.now;
            let duration = self.durations.get(job).copied().unwrap_or(1000);
            let task = crate::harness::task(job, step, index);
            self.running.push(Running { agent, task, run, began, duration });
            self.starts.push((job.to_owned(), index, agent, began));
        }
    }

    /// When the first run of a job started, in milliseconds after `since`.
    pub fn started(&self, id: &str, since: u64) -> Option<u64> {
        let start = self.starts.iter().find(|(job, ..)| job == id);
        start.map(|(_, _, _, at)| at - since)
    }

    /// The agents on which a job has started, one for each task.
    pub fn agents_of(&self, id: &str) -> Vec<u64> {
        let runs = self.starts.iter().filter(|(job, ..)| job == id);
        runs.map(|(_, _, agent, _)| *agent).collect()
    }
}
