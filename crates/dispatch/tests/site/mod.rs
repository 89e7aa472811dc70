//! An owner whose workers run what they are told until the test ends it, and fail as it says.

#![allow(dead_code)]

use std::collections::BTreeMap;

use quincewheel_dispatch::{Grade, Settings};
use quincewheel_job::{End, How, Job, Run, Task};
use quincewheel_wire::Notice;

use crate::harness::{Harness, job, run, step, task};

/// An owner with a few workers, and what runs there.
pub struct Site {
    pub harness: Harness,
    pub workers: u64,
    pub running: Vec<(u64, Task, u64)>,
    pub ends: BTreeMap<u64, u64>,
    jobs: u64,
}

impl Site {
    /// Creates a site of idle workers of which nothing is known.
    pub fn new(epoch: u64, workers: u64) -> Site {
        let mut harness = Harness::new(epoch, workers);
        harness.owner.update_settings(Settings { doubt: 10_000, ..Settings::default() });
        harness.logged_events = vec!["worker doubted", "worker sound again", "waits"];
        let harness = harness.with_idle_workers(workers);
        Site { harness, workers, running: Vec::new(), ends: BTreeMap::new(), jobs: 0 }
    }

    /// Creates a site of which the first workers are sound.
    pub fn with_sound(workers: u64, sound: u64) -> Site {
        let mut site = Site::new(1, workers);
        site.add("warm", job(1, vec![step(workers as u32, 8)]));
        site.pass(1000);
        (0..sound).for_each(|number| site.end(number, How::Done));
        site.harness.owner.cancel("warm", site.harness.now);
        (sound..workers).for_each(|number| site.end(number, How::Stopped));
        site.harness.take_orders();
        site
    }

    /// Adds a job, and returns what started.
    pub fn add(&mut self, name: &str, job: Job) -> String {
        self.jobs += 1;
        self.harness.owner.add_job(name, job, 150 + self.jobs, None);
        self.harness.tick();
        self.take_starts()
    }

    /// Confirms the starts that were ordered, and returns them.
    pub fn take_starts(&mut self) -> String {
        let mut starts = Vec::new();
        for order in std::mem::take(&mut self.harness.orders) {
            let Some((worker, rest)) = order.split_once(" start ") else { continue };
            let worker: u64 = worker[1..].parse().unwrap();
            let words: Vec<&str> = rest.split_whitespace().collect();
            let (name, number): (&str, u64) = (words[0], words[2].parse().unwrap());
            let parts: Vec<&str> = name.split('.').collect();
            let started = task(parts[0], parts[2].parse().unwrap(), parts[3].parse().unwrap());
            let notice = Notice::Started { task: started.clone(), run: number };
            self.harness.owner.on_notice(worker, notice, self.harness.now);
            self.running.push((worker, started, number));
            starts.push(format!("{name} at w{worker}"));
        }
        if starts.is_empty() { "nothing".to_owned() } else { starts.join(", ") }
    }

    /// Ends all runs of a worker in this way.
    pub fn end(&mut self, worker: u64, how: How) {
        let ended: Vec<(u64, Task, u64)> =
            self.running.extract_if(.., |(at, ..)| *at == worker).collect();
        let mut ends = Vec::new();
        for (_, task, run) in ended {
            let number = self.ends.entry(worker).or_default();
            *number += 1;
            ends.push(End { number: *number, task, run, how, saved: String::new() });
        }
        self.harness.report_status(worker, &[], &ends);
    }

    /// Lets time pass in steps of 100 ms until something starts, and returns after how long, and
    /// what started; at most for this long.
    pub fn next_start(&mut self, ms: u64) -> String {
        let before = self.harness.now;
        loop {
            let starts = self.take_starts();
            let waited = self.harness.now - before;
            if starts != "nothing" || waited >= ms {
                return format!("after {waited} ms {starts}");
            }
            self.pass(100);
        }
    }

    /// Lets time pass, in steps of 100 ms.
    pub fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.harness.advance(100);
            for number in 0..self.workers {
                let here = self.running.iter().filter(|(worker, ..)| *worker == number);
                let listed: Vec<Run> =
                    here.map(|(_, task, number)| run(task.clone(), *number)).collect();
                self.harness.report_status(number, &listed, &[]);
            }
        }
    }

    /// Returns the number of sound, unknown and doubtful workers.
    pub fn grades(&self) -> String {
        let counts = self.harness.owner.worker_grades();
        let count = |grade| counts.get(&grade).copied().unwrap_or(0);
        Grade::ALL.map(|grade| format!("{} {}", count(grade), grade.name())).join(", ")
    }
}
