//! One process of a worker: its lease, its runs, and the ends that it lists.

use quincewheel_job::{End, How, Resources, Run, Task};
use quincewheel_runner::{Action, Call, Reply};
use quincewheel_wire::Refused;

use crate::simulation::history::History;

/// The longest lease that a worker accepts, in milliseconds on its own clock.
const MAX_LEASE_MS: u64 = 6000;

/// A run in progress.
pub struct Active {
    pub run: Run,
    pub started: u64,
    /// When it stops after an order to stop.
    pub stops_at: Option<u64>,
}

/// An end that has not been acknowledged.
pub struct Ended {
    pub end: End,
    /// The lease has lapsed since.
    pub lapsed: bool,
}

/// One process of a worker.
pub struct Process {
    /// Identifies the process among those of all workers.
    pub number: usize,
    pub id: String,
    pub address: String,
    pub born: u64,
    /// When it started as it reports it; 0 where each start has another id.
    pub reported_birth: u64,
    /// Until when it does nothing.
    pub frozen_until: u64,
    /// Its clock stands still while it does nothing.
    pub clock_stands: bool,
    /// How long its clock has stood still, in milliseconds.
    pub clock_lag: u64,
    /// Speed of its clock in percent.
    pub clock_percent: u64,
    /// When its lease ends on its own clock.
    pub lease_end: u64,
    pub fencing_token: u64,
    pub running: Vec<Active>,
    pub ended: Vec<Ended>,
    pub last_end: u64,
    /// Runs that it refuses to start because they, or later ones, were stopped or have ended.
    pub stopped: Vec<(Task, u64)>,
    pub capacity: u64,
    pub draining: bool,
    pub leaves_at: Option<u64>,
    pub cold: u64,
    pub heartbeats: u64,
    pub next_heartbeat: u64,
    /// A run has ended since the last poll was answered.
    pub has_news: bool,
    /// The most ends that it lists at a time: those with the lowest numbers.
    pub max_listed_ends: usize,
}

impl Process {
    pub fn clock(&self, now: u64) -> u64 {
        1000 + self.number as u64 * 10_000
            + (now - self.born - self.clock_lag) * self.clock_percent / 100
    }

    /// Does nothing for one step of `ms`.
    pub fn skip(&mut self, ms: u64, now: u64, history: &mut History) {
        if self.clock_stands {
            self.clock_lag += ms;
        }
        self.expire_lease(now, history);
    }

    /// Ends all runs if the lease is over.
    pub fn expire_lease(&mut self, now: u64, history: &mut History) {
        if self.clock(now) < self.lease_end {
            return;
        }
        for ended in &mut self.ended {
            ended.lapsed = true;
        }
        for active in std::mem::take(&mut self.running) {
            self.end_run(active.run, How::Lapsed, history);
        }
    }

    /// Lists the end of a run that has been removed from those in progress.
    pub fn end_run(&mut self, run: Run, how: How, history: &mut History) {
        history.end(&run.task, run.number, self.number, how);
        self.last_end += 1;
        self.has_news = true;
        let Run { task, number: run, saved, .. } = run;
        self.stopped.push((task.clone(), run));
        let end = End { number: self.last_end, task, run, how, saved };
        self.ended.push(Ended { end, lapsed: false });
    }

    fn extend_lease(&mut self, end: u64, now: u64) {
        self.lease_end = self.lease_end.max(end.min(self.clock(now) + MAX_LEASE_MS));
    }

    /// Carries out a call. The need of a task is looked up by `need`.
    pub fn execute(
        &mut self,
        call: &Call,
        need: &dyn Fn(&Task) -> u64,
        stop_delay: u64,
        now: u64,
        history: &mut History,
    ) -> Reply {
        self.expire_lease(now, history);
        if call.worker != self.id {
            return Reply::Refused(Refused::Leaving);
        }
        if call.fencing_token < self.fencing_token {
            return Reply::Refused(Refused::Fence);
        }
        self.fencing_token = call.fencing_token;
        let clock = self.clock(now);
        match &call.action {
            Action::Start { task, run, lease_end, saved, .. } => {
                if *lease_end <= clock {
                    return Reply::Refused(Refused::Lease);
                }
                self.extend_lease(*lease_end, now);
                let is = |active: &Active| active.run.task == *task && active.run.number == *run;
                if self.running.iter().any(is) {
                    return Reply::Done { clock };
                }
                if self.stopped.iter().any(|(known, number)| known == task && number >= run) {
                    return Reply::Refused(Refused::Old);
                }
                let used: u64 = self.running.iter().map(|active| need(&active.run.task)).sum();
                if used + need(task) > self.capacity {
                    return Reply::Refused(Refused::Room);
                }
                history.start(task, *run, self.number);
                let run = Run {
                    task: task.clone(),
                    number: *run,
                    saved: saved.clone(),
                    percent: 0,
                    gauge: 0,
                };
                self.running.push(Active { run, started: now, stops_at: None });
            }
            Action::Stop { task, run } => {
                self.stopped.push((task.clone(), *run));
                let stopped =
                    |active: &&mut Active| active.run.task == *task && active.run.number <= *run;
                for active in self.running.iter_mut().filter(stopped) {
                    active.stops_at.get_or_insert(now + stop_delay);
                }
            }
            Action::Pace { .. } => {}
            Action::Hold { acknowledged, lease_end, .. } => {
                if let Some(end) = lease_end {
                    self.extend_lease(*end, now);
                }
                let known = |ended: &mut Ended| ended.end.number <= *acknowledged;
                for ended in self.ended.extract_if(.., known).filter(|ended| !ended.lapsed) {
                    history.acknowledge(&ended.end.task, ended.end.run, self.number);
                }
                return self.list(now);
            }
            Action::List => return self.list(now),
        }
        Reply::Done { clock }
    }

    /// The reply to a poll.
    pub fn list(&self, now: u64) -> Reply {
        let running = self.running.iter().map(|active| active.run.clone()).collect();
        let listed = self.ended.iter().take(self.max_listed_ends);
        let ended = listed.map(|ended| ended.end.clone()).collect();
        Reply::Held {
            born: self.reported_birth,
            clock: self.clock(now),
            running,
            ended,
            truncated: self.ended.len() >= self.max_listed_ends,
        }
    }

    pub fn resources(&self) -> Resources {
        Resources { cpu: 64_000, memory: 262_144, accelerators: self.capacity }
    }
}
