use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quincewheel_pool::Decision;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::policy::Policy;
use crate::report::Report;
use crate::stream::{Job, Scene, Site, Stream, TEAMS};

/// A guaranteed job that waits longer than this was not given its guarantee:
/// the grace of its victims, their hard stop, and a margin.
const BOUND: Duration = Duration::from_secs(15);
/// Time that a stopped job takes to leave, with a checkpoint or without.
const GRACE: Duration = Duration::from_secs(5);
/// What a checkpoint and a restart from it cost.
const RESUME: Duration = Duration::from_secs(30);
/// A job that failed this often is given up.
const FAILURES: u32 = 3;
const SAMPLE: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    /// A job ends, if this is still its run.
    End(u64, u32),
    /// A stopped job leaves.
    Leave(u64, u32),
    Sample,
    Cancel,
    Down(usize),
    Up(usize),
}

struct State {
    job: Job,
    left: Duration,
    queued: Duration,
    entitled: bool,
    started: Option<Duration>,
    since: Duration,
    workers: Vec<String>,
    masks: Vec<u64>,
    run: u32,
    failures: u32,
    stopping: bool,
    done: bool,
}

struct Driver<'a> {
    site: Site,
    stream: &'a Stream,
    policy: &'a mut Policy,
    now: Duration,
    events: BTreeSet<(Duration, u64, Event)>,
    next: u64,
    jobs: BTreeMap<u64, State>,
    waiting: BTreeSet<u64>,
    free: BTreeMap<String, u64>,
    down: BTreeSet<String>,
    rng: StdRng,
    fragments: Vec<f64>,
    used: Vec<f64>,
    lost: f64,
    left: usize,
}

/// Runs a stream through a policy.
pub fn run(name: &str, site: Site, stream: &Stream, policy: &mut Policy) -> Report {
    let mut driver = Driver {
        site,
        stream,
        policy,
        now: Duration::ZERO,
        events: BTreeSet::new(),
        next: 0,
        jobs: BTreeMap::new(),
        waiting: BTreeSet::new(),
        free: (0..site.workers).map(|index| (format!("w{index:05}"), 0xff)).collect(),
        down: BTreeSet::new(),
        rng: StdRng::seed_from_u64(stream.seed),
        fragments: Vec::new(),
        used: Vec::new(),
        lost: 0.0,
        left: stream.jobs.len(),
    };
    driver.prepare();
    while driver.left > 0 {
        let Some((at, _, event)) = driver.events.pop_first() else { break };
        driver.now = at;
        driver.step(event);
        // Events at the same moment are decided on together.
        if driver.events.first().is_none_or(|(next, ..)| *next > at) {
            driver.decide();
        }
    }
    driver.report(name)
}

impl Driver<'_> {
    fn push(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next, event));
    }

    fn prepare(&mut self) {
        for (index, job) in self.stream.jobs.iter().enumerate() {
            self.push(job.arrives, Event::Arrive(index));
        }
        self.push(SAMPLE, Event::Sample);
        if self.stream.scene == Scene::Cancels {
            self.push(Duration::from_secs(7200), Event::Cancel);
        }
        if self.stream.scene == Scene::Deaths {
            self.push(Duration::from_secs(3600), Event::Down(0));
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::End(id, run) => self.end(id, run),
            Event::Leave(id, run) => self.leave(id, run),
            Event::Sample => self.sample(),
            Event::Cancel => self.cancel(),
            Event::Down(at) => self.down(at),
            Event::Up(at) => {
                let name = format!("w{at:05}");
                self.down.remove(&name);
                self.policy.set_worker(&name, true);
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let job = self.stream.jobs[index].clone();
        let entitled = self.entitled(&job);
        let state = State {
            left: job.run,
            queued: self.now,
            entitled,
            started: None,
            since: self.now,
            workers: Vec::new(),
            masks: Vec::new(),
            run: 0,
            failures: 0,
            stopping: false,
            done: false,
            job,
        };
        self.policy.enqueue(&state.job, self.now);
        self.waiting.insert(state.job.id);
        self.jobs.insert(state.job.id, state);
    }

    /// True if the team's guarantee covers the job beside what it uses: judged
    /// by the driver alone, so that all policies are held to the same.
    fn entitled(&self, job: &Job) -> bool {
        let Some((_, shares)) = self.stream.shares.iter().find(|(team, _)| *team == job.team)
        else {
            return false;
        };
        let share = shares.iter().find(|share| share.shape == job.shape);
        let Some(share) = share else { return false };
        let same = |state: &&State| {
            !state.done && state.job.team == job.team && share.shape.covers(&state.job.shape)
        };
        (self.jobs.values().filter(same).count() as u32) < share.count
    }

    fn end(&mut self, id: u64, run: u32) {
        let now = self.now;
        let Some(state) = self.jobs.get_mut(&id) else { return };
        if state.run != run || state.stopping || state.done || state.workers.is_empty() {
            return;
        }
        let failed = self.stream.scene == Scene::BadWorker
            && state.workers.iter().any(|worker| worker == "w00000");
        let ran = now - state.since;
        let (job, workers) = (state.job.clone(), state.workers.clone());
        state.done = !failed;
        self.policy.report(&job, &workers, !failed, ran);
        self.give_back(id);
        let state = self.jobs.get_mut(&id).expect("looked up above");
        state.failures += u32::from(failed);
        if failed && state.failures < FAILURES {
            self.requeue(id);
        } else {
            self.left -= 1;
        }
    }

    fn leave(&mut self, id: u64, run: u32) {
        let now = self.now;
        let Some(state) = self.jobs.get_mut(&id) else { return };
        if state.run != run || !state.stopping {
            return;
        }
        let ran = (now - state.since).saturating_sub(GRACE);
        let total = f64::from(state.job.shape.total_accelerators());
        if state.job.deaf {
            self.lost += total * ran.as_secs_f64() / 3600.0;
        } else {
            state.left = state.left.saturating_sub(ran) + RESUME;
            self.lost += total * RESUME.as_secs_f64() / 3600.0;
        }
        self.give_back(id);
        self.requeue(id);
    }

    fn requeue(&mut self, id: u64) {
        let now = self.now;
        let state = self.jobs.get_mut(&id).expect("callers know it");
        state.stopping = false;
        state.queued = now;
        let job = state.job.clone();
        self.policy.enqueue(&job, now);
        self.waiting.insert(id);
    }

    fn give_back(&mut self, id: u64) {
        let state = self.jobs.get_mut(&id).expect("callers know it");
        let workers = std::mem::take(&mut state.workers);
        for (worker, mask) in workers.iter().zip(std::mem::take(&mut state.masks)) {
            *self.free.get_mut(worker).expect("placed on known workers") |= mask;
        }
        let job = state.job.clone();
        let mut distinct = workers;
        distinct.dedup();
        self.policy.release(&job, &distinct);
    }

    fn decide(&mut self) {
        for decision in self.policy.decide(self.now) {
            match decision {
                Decision::Start { job, placement, .. } => self.start(job, &placement),
                Decision::Reclaim { job, .. } => self.reclaim(job),
            }
        }
    }

    /// A guarantee covers one of several equal jobs of its team; which one is
    /// the policy's choice. The one that starts first takes the entitlement.
    fn pass_entitlement(&mut self, id: u64) {
        let state = &self.jobs[&id];
        if state.entitled || state.started.is_some() {
            return;
        }
        let (team, shape) = (state.job.team.clone(), state.job.shape);
        let waits = |other: &&mut State| {
            let same = other.job.team == team && other.job.shape == shape;
            same && other.entitled && other.started.is_none()
        };
        if let Some(other) = self.jobs.values_mut().find(waits) {
            other.entitled = false;
            self.jobs.get_mut(&id).expect("looked up above").entitled = true;
        }
    }

    fn start(&mut self, id: u64, placement: &[(String, u64)]) {
        let now = self.now;
        self.pass_entitlement(id);
        let state = self.jobs.get_mut(&id).expect("policies start known jobs");
        assert!(self.waiting.remove(&id), "job {id} was not waiting");
        state.started.get_or_insert(now);
        state.since = now;
        state.run += 1;
        for (worker, mask) in placement {
            let free = self.free.get_mut(worker).expect("placed on known workers");
            assert_eq!(*free & mask, *mask, "job {id}: accelerators of {worker} are held");
            assert!(!self.down.contains(worker), "job {id}: {worker} is down");
            *free &= !mask;
            state.workers.push(worker.clone());
            state.masks.push(*mask);
        }
        assert_eq!(placement.len(), state.job.shape.tasks as usize, "job {id}: not whole");
        let bad = self.stream.scene == Scene::BadWorker
            && state.workers.iter().any(|worker| worker == "w00000");
        let run = if bad { Duration::from_secs(1) } else { state.left };
        let event = Event::End(id, state.run);
        self.push(now + run, event);
    }

    fn reclaim(&mut self, id: u64) {
        let Some(state) = self.jobs.get_mut(&id) else { return };
        if state.stopping || state.done || state.workers.is_empty() {
            return;
        }
        state.stopping = true;
        let event = Event::Leave(id, state.run);
        self.push(self.now + GRACE, event);
    }

    /// A third of the waiting jobs is cancelled.
    fn cancel(&mut self) {
        let ids: Vec<u64> = self.waiting.iter().copied().collect();
        for id in ids {
            let fresh = self.jobs[&id].started.is_none();
            if fresh && self.rng.random_bool(0.33) {
                self.policy.withdraw(id);
                self.waiting.remove(&id);
                self.jobs.remove(&id);
                self.left -= 1;
            }
        }
        self.push(self.now + Duration::from_secs(7200), Event::Cancel);
    }

    fn down(&mut self, turn: usize) {
        let at = self.rng.random_range(0..self.site.workers);
        let name = format!("w{at:05}");
        if self.down.insert(name.clone()) {
            self.policy.set_worker(&name, false);
            let hit: Vec<u64> = self
                .jobs
                .values()
                .filter(|state| state.workers.contains(&name))
                .map(|state| state.job.id)
                .collect();
            for id in hit {
                let state = &self.jobs[&id];
                let ran = (self.now - state.since).as_secs_f64();
                self.lost += f64::from(state.job.shape.total_accelerators()) * ran / 3600.0;
                self.give_back(id);
                self.requeue(id);
            }
            self.push(self.now + Duration::from_secs(1800), Event::Up(at));
        }
        self.push(self.now + Duration::from_secs(3600), Event::Down(turn + 1));
    }

    /// Looks at the pool while there is something to want.
    fn sample(&mut self) {
        self.push(self.now + SAMPLE, Event::Sample);
        let up = self.free.iter().filter(|(name, _)| !self.down.contains(*name));
        let free: Vec<u32> = up.map(|(_, mask)| mask.count_ones()).collect();
        let all: u32 = free.iter().sum();
        let total = (self.site.workers * 8) as f64;
        let arriving = self.now < self.stream.jobs.last().map_or(Duration::ZERO, |j| j.arrives);
        if !arriving {
            return;
        }
        self.used.push(1.0 - f64::from(all) / total);
        if all >= 8 {
            let whole: u32 = free.iter().filter(|n| **n == 8).sum();
            self.fragments.push(f64::from(all - whole) / f64::from(all));
        }
    }

    fn report(&self, name: &str) -> Report {
        let done: Vec<&State> = self.jobs.values().filter(|state| state.done).collect();
        let took = |state: &State| (state.end() - state.job.arrives).as_secs_f64();
        let wait =
            |state: &State| (state.started.unwrap_or(self.now) - state.job.arrives).as_secs_f64();
        let of = |wanted: &dyn Fn(&State) -> bool| -> Vec<f64> {
            done.iter().filter(|state| wanted(state)).map(|state| took(state)).collect()
        };
        let mut all = of(&|_| true);
        all.sort_by(f64::total_cmp);
        let waits = |wanted: &dyn Fn(&State) -> bool| -> Vec<f64> {
            done.iter().filter(|state| wanted(state)).map(|state| wait(state)).collect()
        };
        let guaranteed = waits(&|state| state.entitled);
        let slowdowns: Vec<f64> = TEAMS
            .iter()
            .map(|team| {
                let own = done.iter().filter(|state| state.job.team == *team);
                let slow = own.map(|s| took(s) / s.job.run.as_secs_f64().max(60.0));
                mean(&slow.collect::<Vec<_>>())
            })
            .collect();
        let square: f64 = slowdowns.iter().map(|x| x * x).sum();
        let sum: f64 = slowdowns.iter().sum();
        Report {
            policy: name.to_owned(),
            done: done.len(),
            mean: mean(&all),
            p99: all.get(all.len() * 99 / 100).copied().unwrap_or(0.0),
            mean_small: mean(&of(&|state| state.job.shape.total_accelerators() < 8)),
            mean_wide: mean(&of(&|state| state.job.shape.total_accelerators() >= 8)),
            fragmentation: mean(&self.fragments),
            wait_guaranteed: mean(&guaranteed),
            violations: guaranteed.iter().filter(|w| **w > BOUND.as_secs_f64()).count(),
            wait_urgent: mean(&waits(&|state| state.job.urgent)),
            lost: self.lost,
            jain: sum * sum / (slowdowns.len() as f64 * square),
            used: mean(&self.used),
        }
    }
}

impl State {
    /// When it ended: its last run lasted for what was left.
    fn end(&self) -> Duration {
        self.since + self.left
    }
}

fn mean(values: &[f64]) -> f64 {
    if values.is_empty() { 0.0 } else { values.iter().sum::<f64>() / values.len() as f64 }
}
