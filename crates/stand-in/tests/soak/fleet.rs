//! The simulated workers of a run: the tasks that they run, and how those end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::checker::{Checker, Task};
use crate::kind::Kind;
use crate::proxy::{Mode, Proxy};
use crate::size::Size;
use crate::standing::{STABLE_WINDOW_MS, Standing};
use crate::worker_log::WorkerLog;

/// Accelerators of a worker.
pub const ACCELERATORS: u64 = 8;
/// How long a member of a gang waits for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3000;
/// Time from a stop to the end of the run, in milliseconds.
const STOP_DURATION_MS: u64 = 50;
/// Time from the start of a crashing task to the crash, in milliseconds.
const CRASH_DELAY_MS: u64 = 10;
/// Time from a start on a failing worker to the failure, in milliseconds.
const FAILURE_DELAY_MS: u64 = 30;
/// How long a crashed worker is down, in milliseconds.
const CRASH_DOWNTIME_MS: u64 = 1500;
/// Reduced capacity is enforced only after this time, in milliseconds: the delay that the
/// platform allows, and one heartbeat interval.
const SHRINK_GRACE_MS: u64 = 3000 + 300;
/// Nothing starts in an evacuated availability zone after this time, in milliseconds.
pub const EVACUATION_DEADLINE_MS: u64 = 5000;
/// The most ends that a worker lists at a time.
const MAX_LISTED_ENDS: usize = 500;
/// Longest lease, in milliseconds.
pub const MAX_LEASE_MS: u64 = 6000;

/// A start of a task.
#[derive(Clone, Debug)]
pub struct Run {
    pub number: u64,
    pub started_at: u64,
    /// When its gang became complete; without a gang, when it started.
    working_since: Option<u64>,
    /// When a requested stop takes effect.
    stops_at: Option<u64>,
}

/// An end that the worker lists until it is acknowledged.
#[derive(Clone, Debug)]
pub struct End {
    pub number: u64,
    pub task: Task,
    pub run: u64,
    pub how: &'static str,
    /// It was in a reply to a poll.
    pub listed: bool,
    /// Its place in the order of all starts and ends.
    pub order: u64,
    /// The worker's lease has lapsed since.
    pub lease_lapsed: bool,
}

/// One worker.
#[derive(Default)]
pub struct Worker {
    pub incarnation: u64,
    /// When its process started, on the run's clock; its own clock starts there. 0 where
    /// workers do not keep their ids.
    pub started_at: u64,
    /// Its starts get no reply until then, on the run's clock.
    pub starts_delayed_until: u64,
    /// All that starts until then fails at once, on the run's clock.
    pub fails_until: u64,
    pub fence: u64,
    pub lease: u64,
    pub runs: BTreeMap<Task, Run>,
    pub ended: Vec<End>,
    pub next_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    pub highest_ended: BTreeMap<Task, u64>,
    /// It answers no call until then.
    pub unavailable_until: u64,
    /// When it gives notice and ends, and for how long nothing is at its address then; only while
    /// it drains.
    pub departure: Option<(u64, u64)>,
    /// Its process is suspended until then: it sends nothing, replies to nothing, and its runs
    /// stand still.
    pub suspended_until: u64,
    /// A task crashed it, and it does not count as taking work until then.
    pub recovers_until: u64,
    /// It refuses polls until then.
    pub refuses_polls_until: u64,
    /// It refuses other calls until then.
    pub refuses_orders_until: u64,
    /// Every other call gets no reply in time until then, and is carried out later.
    pub calls_delayed_until: u64,
    /// Number of calls while calls are delayed.
    pub delayed_call_count: u64,
    /// Accelerators that are temporarily lost.
    pub lost_accelerators: u64,
    /// When the capacity last shrank.
    shrunk_at: u64,
}

impl Worker {
    /// Returns the number of usable accelerators.
    pub fn capacity(&self) -> u64 {
        ACCELERATORS - self.lost_accelerators
    }
}

/// All workers, and the checker of what they do.
pub struct Fleet {
    created_at: Instant,
    pub workers: Vec<Worker>,
    pub checker: Checker,
    /// The proxy in front of each worker; empty if the run has none.
    pub proxies: Vec<Proxy>,
    /// What these proxies do while their workers are up.
    pub link_modes: Vec<Mode>,
    pub log: WorkerLog,
    /// Jobs that stand beside idle workers.
    pub standing: Standing,
    /// All faults have ended while clients still submit jobs.
    pub has_calmed: bool,
    /// The last heartbeat of each ended incarnation is delayed until a restarted agent listens.
    pub delays_former_heartbeats: bool,
    /// Number of these heartbeats that have arrived.
    pub former_heartbeat_count: u64,
    /// Runs of gangs of which a member has failed: job, step, run.
    failed_gangs: BTreeSet<(String, u32, u64)>,
    kind: Kind,
    pub size: Size,
    /// Availability zones under evacuation, with the time when it started.
    evacuated: BTreeMap<usize, u64>,
}

impl Fleet {
    pub fn new(size: Size, kind: Kind) -> Fleet {
        let worker = |_| Worker { incarnation: 1, ..Worker::default() };
        let workers = (0..size.workers).map(worker).collect();
        let (created_at, checker) = (Instant::now(), Checker::default());
        Fleet {
            created_at,
            workers,
            checker,
            proxies: Vec::new(),
            link_modes: vec![Mode::Pass; size.workers],
            log: WorkerLog::default(),
            standing: Standing::default(),
            has_calmed: false,
            delays_former_heartbeats: false,
            former_heartbeat_count: 0,
            failed_gangs: BTreeSet::new(),
            kind,
            size,
            evacuated: BTreeMap::new(),
        }
    }

    /// Returns the milliseconds since the run started.
    pub fn now(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64
    }

    /// Returns a worker's own clock, in milliseconds.
    pub fn clock(&self, index: usize) -> u64 {
        self.now().saturating_sub(self.workers[index].started_at)
    }

    /// Returns whether workers keep their ids when they restart.
    pub fn keeps_ids(&self) -> bool {
        self.kind.keeps_ids()
    }

    /// Returns whether the worker refuses starts beyond its capacity. Every second one does not
    /// in the kinds with worker faults.
    pub fn checks_capacity(&self, index: usize) -> bool {
        !self.kind.harms_workers() || index.is_multiple_of(2)
    }

    /// Lets starts at a worker get no reply for `ms` milliseconds.
    pub fn delay_starts(&mut self, index: usize, ms: u64) {
        self.workers[index].starts_delayed_until = self.now() + ms;
    }

    /// Lets all that a worker starts fail at once for `ms` milliseconds.
    pub fn fail_starts(&mut self, index: usize, ms: u64) {
        self.workers[index].fails_until = self.now() + ms;
    }

    /// Suspends a worker's process for `ms` milliseconds.
    pub fn suspend(&mut self, index: usize, ms: u64) {
        self.workers[index].suspended_until = self.now() + ms;
        self.log.write(index, "suspended", &format!("for {ms} ms"));
    }

    /// Returns how much longer a worker's process is suspended.
    pub fn suspension(&self, index: usize) -> Duration {
        let until = self.workers[index].suspended_until;
        Duration::from_millis(until.saturating_sub(self.now()))
    }

    /// Returns whether a worker has a fault now, other than a crash under a task.
    pub fn is_disturbed(&self, now: u64) -> bool {
        let crashed = |index: usize| now < self.workers[index].recovers_until;
        (0..self.workers.len()).any(|index| !crashed(index) && !self.takes_work(index, now))
    }

    /// Returns whether a worker is up, and takes and carries out what it is given.
    fn takes_work(&self, index: usize, now: u64) -> bool {
        let worker = &self.workers[index];
        let faults = [
            worker.unavailable_until,
            worker.suspended_until,
            worker.recovers_until,
            worker.starts_delayed_until,
            worker.calls_delayed_until,
            worker.fails_until,
            worker.refuses_polls_until,
            worker.refuses_orders_until,
        ];
        worker.departure.is_none()
            && self.link_modes[index] == Mode::Pass
            && !self.evacuated.contains_key(&self.size.zone(index))
            && faults.iter().all(|until| now >= *until)
    }

    /// Returns the free accelerators of each worker that takes work.
    pub fn free_accelerators(&self, now: u64) -> impl Iterator<Item = u64> {
        let takers = (0..self.workers.len()).filter(move |index| self.takes_work(*index, now));
        takers.map(|index| self.workers[index].capacity().saturating_sub(self.used(index)))
    }

    /// Returns the accelerators in use, and all, of the workers that take work.
    pub fn use_of_capacity(&self, now: u64) -> (u64, u64) {
        let takers = || (0..self.workers.len()).filter(|index| self.takes_work(*index, now));
        let used = takers().map(|index| self.used(index)).sum();
        (used, takers().map(|index| self.workers[index].capacity()).sum())
    }

    /// Lets a worker drain for `serves` milliseconds and end then, unless it drains already.
    pub fn drain(&mut self, index: usize, serves: u64, down_ms: u64) {
        let now = self.now();
        let worker = &mut self.workers[index];
        if now >= worker.unavailable_until {
            worker.departure.get_or_insert((now + serves, down_ms));
            self.log.write(index, "draining", &format!("for {serves} ms"));
        }
    }

    /// Lets a worker refuse polls, or all calls, for `ms` milliseconds.
    pub fn refuse_calls(&mut self, index: usize, polls_only: bool, ms: u64) {
        let until = self.now() + ms;
        let worker = &mut self.workers[index];
        worker.refuses_polls_until = until;
        if !polls_only {
            worker.refuses_orders_until = until;
        }
    }

    /// Lets every other call to a worker get no reply in time for `ms` milliseconds.
    pub fn delay_calls(&mut self, index: usize, ms: u64) {
        self.workers[index].calls_delayed_until = self.now() + ms;
    }

    /// Returns whether a call that arrives at a worker now is carried out late.
    pub fn delays_call(&mut self, index: usize, is_start: bool) -> bool {
        let now = self.now();
        let worker = &mut self.workers[index];
        if now < worker.calls_delayed_until {
            worker.delayed_call_count += 1;
            return worker.delayed_call_count.is_multiple_of(2);
        }
        is_start && now < worker.starts_delayed_until
    }

    /// Returns the accelerators in use, including those of runs that are being stopped.
    pub fn used(&self, worker: usize) -> u64 {
        self.workers[worker].runs.keys().map(|task| self.need(task)).sum()
    }

    /// Returns the accelerators that a task needs.
    pub fn need(&self, task: &Task) -> u64 {
        self.checker.jobs.get(&task.0).map_or(0, |job| job.steps[task.1 as usize].accelerators)
    }

    /// Sets the number of accelerators that a worker has lost.
    pub fn resize(&mut self, index: usize, lost: u64) {
        let now = self.now();
        let worker = &mut self.workers[index];
        if lost > worker.lost_accelerators {
            worker.shrunk_at = now;
        }
        worker.lost_accelerators = lost;
    }

    /// Records that the evacuation of an availability zone starts or ends.
    pub fn evacuate(&mut self, zone: usize, begins: bool) {
        match begins {
            true => {
                _ = self
                    .evacuated
                    .entry(zone)
                    .or_insert(self.created_at.elapsed().as_millis() as u64)
            }
            false => _ = self.evacuated.remove(&zone),
        }
    }

    /// Starts a run; `on_time` is false for an order that is carried out late.
    pub fn start_run(&mut self, index: usize, task: Task, number: u64, spec: &str, on_time: bool) {
        let (now, incarnation) = (self.now(), self.workers[index].incarnation);
        let since = self.evacuated.get(&self.size.zone(index)).filter(|_| on_time);
        if let Some(ms) = since.map(|since| now - since).filter(|ms| *ms > EVACUATION_DEADLINE_MS) {
            self.checker.report(format!("EVAC {task:?}: {ms} ms after its zone was evacuated"));
        }
        let need = self.need(&task);
        let worker = &self.workers[index];
        // A suspended worker reports its capacity only after it.
        let late = now >= worker.shrunk_at.max(worker.suspended_until) + SHRINK_GRACE_MS;
        let room = if late { worker.capacity() } else { ACCELERATORS };
        if self.used(index) + need > room {
            let text = format!("LIMIT {task:?}: {} and {need} of {room}", self.used(index));
            self.checker.report(text);
        }
        self.log.write(index, "start", &format!("{task:?} run {number}, on time: {on_time}"));
        self.checker.on_start(index, incarnation, &task, number, spec);
        let run = Run { number, started_at: now, working_since: None, stops_at: None };
        self.workers[index].runs.insert(task, run);
    }

    /// Stops a run, or prevents it from starting later.
    pub fn stop_run(&mut self, index: usize, task: &Task, number: u64) {
        let now = self.now();
        let worker = &mut self.workers[index];
        let highest = worker.highest_ended.entry(task.clone()).or_default();
        *highest = number.max(*highest);
        if let Some(run) = worker.runs.get_mut(task).filter(|run| run.number == number) {
            run.stops_at.get_or_insert(now + STOP_DURATION_MS);
        }
    }

    /// Returns the ends that a reply to a poll lists.
    pub fn list_ends(&mut self, index: usize) -> &[End] {
        let count = self.workers[index].ended.len().min(MAX_LISTED_ENDS);
        for end in self.workers[index].ended[..count].iter_mut().filter(|end| !end.listed) {
            end.listed = true;
            if end.how == "failed" {
                self.checker.on_failure_listed(&end.task);
            }
        }
        &self.workers[index].ended[..count]
    }

    /// Handles the acknowledgement of all ends up to `seen` as recorded.
    pub fn acknowledge(&mut self, index: usize, seen: u64) {
        self.apply_lapse(index);
        let ended = std::mem::take(&mut self.workers[index].ended);
        for end in ended {
            if end.number <= seen {
                self.log.write(index, "end acknowledged", &format!("{end:?}"));
                self.checker.on_end_recorded(&end);
            } else {
                self.workers[index].ended.push(end);
            }
        }
    }

    /// Restarts a worker without its state, under a new id or the same one.
    pub fn restart_worker(&mut self, index: usize, down_ms: u64) {
        let now = self.now();
        let incarnation = self.workers[index].incarnation;
        let runs = std::mem::take(&mut self.workers[index].runs);
        let started_at = if self.keeps_ids() { now + down_ms } else { 0 };
        let unavailable_until = now + down_ms;
        self.log.write(index, "down", &format!("incarnation {incarnation}, for {down_ms} ms"));
        self.workers[index] = Worker {
            incarnation: incarnation + 1,
            started_at,
            unavailable_until,
            ..Worker::default()
        };
        if let Some(mode) = self.kind.downtime_mode() {
            self.proxies[index].set(mode);
        }
        for (task, run) in runs {
            self.checker.on_run_over(index, incarnation, &task, run.number);
            self.end_other_members(&task, run.number, "broken");
        }
    }

    /// Extends a worker's lease. It never gets shorter.
    pub fn extend_lease(&mut self, index: usize, lease_end: u64) {
        self.apply_lapse(index);
        let worker = &mut self.workers[index];
        worker.lease = worker.lease.max(lease_end);
    }

    /// Ends all runs of a worker whose lease has lapsed. An acknowledgement that comes after a lapse
    /// does not count for the ends before it, even if the lease was extended in between.
    fn apply_lapse(&mut self, index: usize) {
        if self.now() < self.workers[index].lease {
            return;
        }
        for end in self.workers[index].ended.iter_mut().filter(|end| !end.lease_lapsed) {
            end.lease_lapsed = true;
            self.log.write(index, "lease lapsed", &format!("{end:?}"));
        }
        let runs: Vec<(Task, u64)> =
            self.workers[index].runs.iter().map(|(task, run)| (task.clone(), run.number)).collect();
        for (task, run) in runs {
            self.end_run(index, &task, run, "lapsed");
        }
    }

    /// Advances the simulation: gangs become complete, runs end, leases lapse.
    pub fn tick(&mut self) {
        let now = self.now();
        self.mark_complete_gangs(now);
        self.crash_workers(now);
        let mut standing = std::mem::take(&mut self.standing);
        standing.observe(self, now);
        self.standing = standing;
        for index in 0..self.workers.len() {
            // Runs of a suspended worker stand still, and have ended once its lease has lapsed.
            self.apply_lapse(index);
            if now < self.workers[index].suspended_until {
                continue;
            }
            let runs: Vec<(Task, Run)> = self.workers[index]
                .runs
                .iter()
                .map(|(task, run)| (task.clone(), run.clone()))
                .collect();
            for (task, run) in runs {
                let failing = run.started_at < self.workers[index].fails_until
                    && now >= run.started_at + FAILURE_DELAY_MS;
                let how = match self.end_reason(&task, &run, now) {
                    None if failing && self.has_failed(&task, run.number) => Some("broken"),
                    None if failing => Some("failed"),
                    how => how,
                };
                if let Some(how) = how {
                    self.end_run(index, &task, run.number, how);
                }
            }
        }
    }

    /// Crashes the workers that run a crashing task; ends the downtime of others.
    fn crash_workers(&mut self, now: u64) {
        for index in 0..self.proxies.len() {
            let crashing = |(task, run): &(&Task, &Run)| {
                self.checker.crashes_workers(task) && now >= run.started_at + CRASH_DELAY_MS
            };
            let crashing: Vec<Task> = self.workers[index]
                .runs
                .iter()
                .filter(crashing)
                .map(|(task, _)| task.clone())
                .collect();
            if now < self.workers[index].suspended_until {
                continue;
            }
            if !crashing.is_empty() {
                crashing.iter().for_each(|task| self.checker.on_crash(task));
                self.restart_worker(index, CRASH_DOWNTIME_MS);
                self.workers[index].recovers_until = now + CRASH_DOWNTIME_MS + STABLE_WINDOW_MS;
                self.proxies[index].set(self.kind.downtime_mode().unwrap_or(Mode::Reset));
            } else if now >= self.workers[index].unavailable_until {
                self.proxies[index].set(self.link_modes[index]);
            }
        }
    }

    /// Marks members of complete gangs, and all runs outside gangs, as working.
    fn mark_complete_gangs(&mut self, now: u64) {
        let mut present: BTreeMap<(String, u32, u64), u32> = BTreeMap::new();
        for (task, run) in self.workers.iter().flat_map(|worker| &worker.runs) {
            *present.entry((task.0.clone(), task.1, run.number)).or_default() += 1;
        }
        let Fleet { workers, checker, .. } = self;
        for (task, run) in workers.iter_mut().flat_map(|worker| &mut worker.runs) {
            let Some(job) = checker.jobs.get(&task.0) else { continue };
            let step = &job.steps[task.1 as usize];
            let here = present.get(&(task.0.clone(), task.1, run.number)).copied().unwrap_or(0);
            if run.working_since.is_none() && (!step.gang || here == step.count) {
                run.working_since = Some(now);
            }
        }
    }

    fn end_reason(&self, task: &Task, run: &Run, now: u64) -> Option<&'static str> {
        let job = self.checker.jobs.get(&task.0)?;
        let step = &job.steps[task.1 as usize];
        let fails = job.fail_interval > 0
            && (run.number + u64::from(task.2)).is_multiple_of(job.fail_interval);
        let fails = fails || self.checker.fails_at_first(task);
        match run.working_since {
            _ if run.stops_at.is_some_and(|at| now >= at) => Some("stopped"),
            None => (now >= run.started_at + GANG_TIMEOUT_MS).then_some("alone"),
            Some(working_since) if now >= working_since + step.ms => {
                Some(if fails { "failed" } else { "done" })
            }
            Some(_) => None,
        }
    }

    /// Returns whether a member of a gang's run has failed. One that starts later breaks with it.
    fn has_failed(&self, task: &Task, run: u64) -> bool {
        self.failed_gangs.contains(&(task.0.clone(), task.1, run))
    }

    /// Ends a run, and with it the other members of its gang.
    fn end_run(&mut self, index: usize, task: &Task, number: u64, how: &'static str) {
        if !self.record_end(index, task, number, how) {
            return;
        }
        match how {
            "alone" => {}
            "done" => self.end_other_members(task, number, "done"),
            _ => self.end_other_members(task, number, "broken"),
        }
    }

    /// Ends the other members of a gang; does nothing for a task outside gangs.
    fn end_other_members(&mut self, task: &Task, number: u64, how: &'static str) {
        let gang =
            self.checker.jobs.get(&task.0).is_some_and(|job| job.steps[task.1 as usize].gang);
        if !gang {
            return;
        }
        if how == "broken" {
            self.failed_gangs.insert((task.0.clone(), task.1, number));
        }
        let members: Vec<(usize, Task)> = (0..self.workers.len())
            .flat_map(|index| {
                self.workers[index].runs.iter().map(move |(task, run)| (index, task, run))
            })
            .filter(|(_, member, run)| {
                member.0 == task.0 && member.1 == task.1 && run.number == number
            })
            .map(|(index, member, _)| (index, member.clone()))
            .collect();
        for (index, member) in members {
            self.record_end(index, &member, number, how);
        }
    }

    fn record_end(&mut self, index: usize, task: &Task, run: u64, how: &'static str) -> bool {
        let incarnation = self.workers[index].incarnation;
        let worker = &mut self.workers[index];
        if worker.runs.get(task).is_none_or(|known| known.number != run) {
            return false;
        }
        worker.runs.remove(task);
        worker.next_end += 1;
        let end = End {
            number: worker.next_end,
            task: task.clone(),
            run,
            how,
            listed: false,
            order: self.checker.count_event(),
            lease_lapsed: false,
        };
        self.log.write(index, "end", &format!("{end:?}"));
        worker.ended.push(end);
        let highest = worker.highest_ended.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        self.checker.on_run_over(index, incarnation, task, run);
        match how {
            "done" => self.checker.on_done(task),
            "failed" => self.checker.on_failed(task),
            _ => {}
        }
        true
    }
}
