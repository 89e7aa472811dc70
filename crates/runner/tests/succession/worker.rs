//! One worker and the agent beside it.

use std::hash::{DefaultHasher, Hash, Hasher};

use quincewheel_job::{End, How, Incarnation, Resources, Run, Task, Worker as Identity};
use quincewheel_runner::{Action, Announcement, Call, Fault, Heartbeat, Reply, Runner, Settings};
use quincewheel_wire::Refused;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::audit::Audit;

/// Time between heartbeats of a worker.
const HEARTBEAT_INTERVAL_MS: u64 = 1500;
/// The most ends that a worker lists at a time, unless a course sets another number.
const MAX_LISTED_ENDS: usize = 500;
/// The slowest clock of a worker, in thousandths of true time.
const SLOWEST_CLOCK: u64 = 980;
/// Number of speeds of clocks, up to the fastest that leases allow for.
const CLOCK_RATES: u64 = 10;
/// The label that few workers have.
pub const RARE_LABEL: &str = "rare";
/// One of so many workers has the rare label.
const RARE_LABEL_INTERVAL: usize = 3;
/// Workers in a rack.
const RACK_SIZE: usize = 5;

/// One process of a worker. It carries out calls, ends runs, and stops them when its lease is over.
pub struct Worker {
    number: usize,
    /// Number of this process; each has an id of its own.
    process: u64,
    /// Speed of its clock, in thousandths of true time.
    clock_rate: u64,
    fencing_token: u64,
    lease_end: u64,
    running: Vec<Running>,
    last_end: u64,
    ends: Vec<(End, u64, bool)>,
    /// Runs that have ended or been stopped, which are not started again.
    stopped: Vec<(Task, u64)>,
    /// A run has ended since the last poll.
    changed: bool,
    draining: bool,
    /// The most ends that it lists at a time: those with the lowest numbers.
    pub max_listed_ends: usize,
    /// Share of the runs that fail, in percent.
    pub failure_percent: u32,
    /// Whether the workers are in several racks.
    pub in_racks: bool,
    /// When its process started.
    pub started_at: u64,
}

/// A run in progress.
struct Running {
    run: Run,
    started_at: u64,
    /// When it ends as done.
    done_at: u64,
    /// When its stop completes.
    stopped_at: Option<u64>,
    /// It ends as failed in place of done.
    fails: bool,
}

/// A call of an agent that has no reply.
struct PendingCall {
    /// The agent's process.
    agent: u64,
    id: u64,
    call: Call,
    /// When it reaches the worker; none if it is lost or has reached it.
    begin_at: Option<u64>,
    /// The process that it has reached.
    process: u64,
    /// When the worker replies, for a poll that has reached it.
    reply_at: Option<u64>,
    /// The agent has given up, or the reply is lost.
    reply_lost: bool,
    timeout_at: u64,
}

/// What a worker reports to its agent.
enum Report {
    Heartbeat { worker: Identity, clock: u64, number: u64 },
    Leave(Incarnation),
}

/// Troubles of the calls to a worker, each until a time.
#[derive(Clone, Copy, Default)]
pub struct CallTrouble {
    /// Calls do not reach the worker.
    pub lost_until: u64,
    /// Calls are carried out, but their replies are lost.
    pub replies_lost_until: u64,
    /// Calls reach the worker seconds late.
    pub late_until: u64,
    /// Connections break, half of them after the worker has carried out the call.
    pub broken_until: u64,
    /// The worker refuses all calls as busy.
    pub busy_until: u64,
    /// The worker carries out no calls, but ends runs on time.
    pub hung_until: u64,
    /// Heartbeats are late.
    pub late_reports_until: u64,
    /// The worker refuses starts for want of room.
    pub refuses_starts_until: u64,
}

/// The agent, its worker, and the calls between them.
pub struct Node {
    pub runner: Runner,
    pub worker: Worker,
    pub frozen_until: u64,
    /// Increases when the agent's process restarts.
    pub incarnation: u64,
    pub announcement: Announcement,
    pub next_announcement_at: u64,
    pub trouble: CallTrouble,
    rng: StdRng,
    /// When the worker's next process starts; none while one runs.
    worker_restart_at: Option<u64>,
    /// When the worker leaves, and for how long it is down then.
    leaves: Option<(u64, u64)>,
    next_heartbeat_at: u64,
    heartbeats: u64,
    calls: Vec<PendingCall>,
    /// Replies that the agent has not processed: the agent's process, id and reply.
    replies: Vec<(u64, u64, Result<Reply, Fault>)>,
    /// Reports that the agent has not processed, with the times of their arrival.
    reports: Vec<(u64, Report)>,
}

impl Worker {
    pub fn new(number: usize, process: u64) -> Worker {
        Worker {
            number,
            process,
            clock_rate: SLOWEST_CLOCK + 4 * (number as u64 % CLOCK_RATES),
            fencing_token: 0,
            lease_end: 0,
            running: Vec::new(),
            last_end: 0,
            ends: Vec::new(),
            stopped: Vec::new(),
            changed: false,
            draining: false,
            max_listed_ends: MAX_LISTED_ENDS,
            failure_percent: 0,
            in_racks: false,
            started_at: 0,
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        50_000 * self.process + now * self.clock_rate / 1000
    }

    fn id(&self) -> String {
        format!("i{}-{}", self.number, self.process)
    }

    pub fn identity(&self) -> Identity {
        Identity {
            id: self.id(),
            pool: "p".into(),
            capacity: Resources { cpu: 64_000, memory: 262_144, accelerators: 8 },
            rack: format!("r{}", self.number / RACK_SIZE * usize::from(self.in_racks)),
            labels: self.labels(),
            draining: self.draining,
            remaining: if self.draining { 1000 } else { 0 },
            ..Identity::default()
        }
    }

    /// Ends what is due: runs that are complete or stopped, and all runs once the lease is over.
    pub fn step(&mut self, audit: &mut Audit, now: u64) {
        let lapsed = self.clock(now) >= self.lease_end;
        if lapsed {
            self.ends.iter_mut().for_each(|(_, _, lapsed)| *lapsed = true);
        }
        let due = |run: &mut Running| {
            lapsed || run.done_at <= now || run.stopped_at.is_some_and(|at| at <= now)
        };
        let ended: Vec<Running> = self.running.extract_if(.., due).collect();
        for Running { run, done_at, fails, .. } in ended {
            self.changed = true;
            audit.on_over(self.number, &run.task, run.number);
            self.stopped.push((run.task.clone(), run.number));
            let how = match (done_at <= now, lapsed) {
                (true, _) if fails => How::Failed,
                (true, _) => How::Done,
                (_, true) => How::Lapsed,
                _ => continue,
            };
            self.last_end += 1;
            let Run { task, number: run, saved, .. } = run;
            self.ends.push((End { number: self.last_end, task, run, how, saved }, now, lapsed));
        }
    }

    /// Ends the process, and all runs with it.
    fn end_process(&mut self, audit: &mut Audit) {
        for Running { run, .. } in self.running.drain(..) {
            audit.on_over(self.number, &run.task, run.number);
        }
    }

    /// Whether anything runs there.
    pub fn is_busy(&self) -> bool {
        !self.running.is_empty()
    }

    /// When the newest run there started; 0 if nothing runs.
    pub fn last_start_at(&self) -> u64 {
        self.running.iter().map(|known| known.started_at).max().unwrap_or_default()
    }

    /// The tasks that run there.
    pub fn running_tasks(&self) -> impl Iterator<Item = &Task> {
        self.running.iter().map(|known| &known.run.task)
    }

    /// The tasks that are done there, with ends that are not acknowledged and still count.
    pub fn done_tasks(&self) -> impl Iterator<Item = &Task> {
        let done = |(end, _, lapsed): &&(End, u64, bool)| end.how == How::Done && !lapsed;
        self.ends.iter().filter(done).map(|(end, _, _)| &end.task)
    }

    fn labels(&self) -> Vec<String> {
        let rare = self.number.is_multiple_of(RARE_LABEL_INTERVAL);
        rare.then(|| RARE_LABEL.to_owned()).into_iter().collect()
    }

    fn list(&self, now: u64) -> Reply {
        let percent = |run: &Running| {
            let duration = (run.done_at - run.started_at).max(1);
            (((now - run.started_at) * 100 / duration) as u32).min(99)
        };
        let running = self.running.iter();
        let running = running.map(|known| Run { percent: percent(known), ..known.run.clone() });
        let running = running.collect();
        let listed = self.ends.iter().take(self.max_listed_ends);
        let ended = listed.map(|(end, _, _)| end.clone()).collect();
        let truncated = self.ends.len() >= self.max_listed_ends;
        Reply::Held { born: 0, clock: self.clock(now), running, ended, truncated }
    }

    /// Carries out a call. A run that it starts takes the first of `durations`, and a run that it
    /// stops the second.
    fn execute(
        &mut self,
        call: &Call,
        durations: (u64, u64),
        refuses_starts: bool,
        audit: &mut Audit,
        now: u64,
    ) -> Reply {
        if call.fencing_token < self.fencing_token {
            return Reply::Refused(Refused::Fence);
        }
        self.fencing_token = call.fencing_token;
        let clock = self.clock(now);
        match &call.action {
            Action::Start { task, run, lease_end, .. } => {
                let same = |known: &Running| known.run.task == *task && known.run.number >= *run;
                if self.running.iter().any(|known| same(known) && known.run.number == *run) {
                    return Reply::Done { clock };
                }
                let over = |(t, n): &(Task, u64)| t == task && n >= run;
                if self.running.iter().any(same) || self.stopped.iter().any(over) {
                    return Reply::Refused(Refused::Old);
                }
                if self.draining {
                    return Reply::Refused(Refused::Leaving);
                }
                if refuses_starts {
                    return Reply::Refused(Refused::Room);
                }
                if *lease_end <= clock {
                    return Reply::Refused(Refused::Lease);
                }
                self.lease_end = self.lease_end.max(*lease_end);
                audit.on_start(self.number, task, *run, now);
                let run = Run {
                    task: task.clone(),
                    number: *run,
                    saved: String::new(),
                    percent: 10,
                    gauge: 0,
                };
                let done_at = now + durations.0;
                let fails = fails(task, audit.start_count(task), self.failure_percent);
                let (started_at, stopped_at) = (now, None);
                self.running.push(Running { run, started_at, done_at, stopped_at, fails });
            }
            Action::Stop { task, run } => {
                self.stopped.push((task.clone(), *run));
                let due =
                    |known: &&mut Running| known.run.task == *task && known.run.number <= *run;
                for known in self.running.iter_mut().filter(due) {
                    known.stopped_at.get_or_insert(now + durations.1);
                }
                self.changed = true;
            }
            Action::Pace { .. } => {}
            Action::Hold { .. } | Action::List => return self.list(now),
        }
        Reply::Done { clock }
    }

    /// Takes the acknowledgement and the lease of a poll.
    fn begin_poll(&mut self, call: &Call, audit: &mut Audit, now: u64) {
        let Action::Hold { acknowledged, lease_end, .. } = &call.action else { return };
        if call.fencing_token < self.fencing_token {
            return;
        }
        self.fencing_token = call.fencing_token;
        let noted = self.ends.extract_if(.., |(end, _, _)| end.number <= *acknowledged);
        for (end, at, lapsed) in noted {
            if end.how == How::Done && !lapsed {
                audit.on_noted(self.number, &end.task, (end.run, at), now);
            }
        }
        self.lease_end = self.lease_end.max(lease_end.unwrap_or_default());
    }
}

impl Node {
    pub fn new(number: usize, seed: u64) -> Node {
        Node {
            runner: Runner::new(Settings::default()),
            worker: Worker::new(number, 1),
            frozen_until: 0,
            incarnation: 1,
            announcement: Announcement::unwritten(),
            next_announcement_at: 0,
            trouble: CallTrouble::default(),
            rng: StdRng::seed_from_u64(seed * 100 + number as u64),
            worker_restart_at: None,
            leaves: None,
            next_heartbeat_at: 0,
            heartbeats: 0,
            calls: Vec::new(),
            replies: Vec::new(),
            reports: Vec::new(),
        }
    }

    /// Restarts the agent's process. Calls in flight are still carried out.
    pub fn restart(&mut self) {
        self.runner = Runner::new(Settings::default());
        self.incarnation += 1;
        self.announcement = Announcement::unwritten();
        self.next_announcement_at = 0;
        self.frozen_until = 0;
        self.reports.clear();
    }

    /// Ends the worker's process; another starts after `ms`.
    pub fn crash_worker(&mut self, ms: u64, audit: &mut Audit, now: u64) {
        if self.worker_restart_at.is_some() {
            return;
        }
        self.worker.end_process(audit);
        self.worker_restart_at = Some(now + ms);
        self.leaves = None;
        let process = self.worker.process;
        let reached = |call: &mut PendingCall| call.process == process;
        for call in self.calls.extract_if(.., reached) {
            if call.timeout_at != u64::MAX {
                self.replies.push((call.agent, call.id, Err(unclear(true))));
            }
        }
    }

    /// Lets the worker take no more starts, and leave after `remaining`; another process starts
    /// `down` later.
    pub fn drain_worker(&mut self, remaining: u64, down: u64, now: u64) {
        if self.worker_restart_at.is_none() && self.leaves.is_none() {
            self.worker.draining = true;
            self.leaves = Some((now + remaining, down));
            self.next_heartbeat_at = now;
        }
    }

    /// Whether the worker and its agent are up and take starts.
    pub fn takes_starts(&self, now: u64) -> bool {
        let trouble = &self.trouble;
        let refuses = [trouble.busy_until, trouble.hung_until, trouble.refuses_starts_until];
        self.worker_restart_at.is_none()
            && !self.worker.draining
            && now >= self.frozen_until
            && refuses.into_iter().all(|until| now >= until)
    }

    /// Starts the worker's next process now, if none runs.
    pub fn start_worker(&mut self, now: u64) {
        self.worker_restart_at = self.worker_restart_at.map(|_| now);
    }

    /// Takes a call of the agent.
    pub fn send_call(&mut self, id: u64, call: Call, now: u64) {
        let trouble = self.trouble;
        let timeout_at = now + call.timeout;
        let mut pending = PendingCall {
            agent: self.incarnation,
            id,
            call,
            begin_at: Some(now),
            process: 0,
            reply_at: None,
            reply_lost: false,
            timeout_at,
        };
        let mut chance =
            |until: u64, probability: f64| now < until && self.rng.random_bool(probability);
        if chance(trouble.broken_until, 0.5) {
            self.replies.push((self.incarnation, id, Err(unclear(true))));
            pending.reply_lost = true;
            pending.timeout_at = u64::MAX;
            if self.rng.random_bool(0.5) {
                return;
            }
        } else if chance(trouble.lost_until, 0.7) {
            pending.begin_at = None;
        } else if chance(trouble.replies_lost_until, 0.7) {
            pending.reply_lost = true;
        } else if chance(trouble.late_until, 0.6) {
            pending.begin_at = Some(now + self.rng.random_range(300..5000));
        }
        self.calls.push(pending);
    }

    /// Delivers calls, reports and replies, and lets the agent do what is due.
    pub fn step(&mut self, duration: u64, audit: &mut Audit, now: u64) {
        self.step_process(audit, now);
        self.begin_calls(duration, audit, now);
        self.end_polls(audit, now);
        self.time_out_calls(now);
        self.send_heartbeat(now);
        if now < self.frozen_until {
            return;
        }
        let due = self.reports.extract_if(.., |(at, _)| *at <= now);
        for (_, report) in due.collect::<Vec<_>>() {
            match report {
                Report::Heartbeat { worker, clock, number } => {
                    let address = "10.0.0.1:80";
                    let heartbeat = Heartbeat { worker: &worker, address, clock, number };
                    self.runner.on_heartbeat(&heartbeat, now);
                }
                Report::Leave(worker) => self.runner.on_leave(&worker, now),
            }
        }
        for (incarnation, id, reply) in std::mem::take(&mut self.replies) {
            if incarnation == self.incarnation {
                self.runner.on_reply(id, reply, now);
            }
        }
        self.runner.tick(now);
    }

    /// Starts and ends the worker's process, and its runs.
    fn step_process(&mut self, audit: &mut Audit, now: u64) {
        if self.worker_restart_at.take_if(|at| *at <= now).is_some() {
            let max_listed_ends = self.worker.max_listed_ends;
            let Worker { failure_percent, in_racks, .. } = self.worker;
            let next = Worker::new(self.worker.number, self.worker.process + 1);
            let started_at = now;
            self.worker = Worker { max_listed_ends, failure_percent, in_racks, started_at, ..next };
            self.next_heartbeat_at = now;
        }
        if self.worker_restart_at.is_some() {
            return;
        }
        self.worker.step(audit, now);
        if let Some((_, down)) = self.leaves.take_if(|(at, _)| *at <= now) {
            let notice = Report::Leave(self.worker.identity().incarnation());
            let at = now + self.rng.random_range(1..30);
            if self.rng.random_bool(0.7) {
                self.reports.push((at, notice));
            }
            self.crash_worker(down, audit, now);
        }
    }

    /// Lets calls that arrive reach the worker.
    fn begin_calls(&mut self, duration: u64, audit: &mut Audit, now: u64) {
        let up = self.worker_restart_at.is_none();
        if up && now < self.trouble.hung_until {
            return;
        }
        let refuses_starts = now < self.trouble.refuses_starts_until;
        for index in 0..self.calls.len() {
            let pending = &mut self.calls[index];
            if pending.begin_at.take_if(|at| *at <= now).is_none() {
                continue;
            }
            let reply = if !up {
                Err(Fault::Unsent { detail: "refused".into() })
            } else if pending.call.worker != self.worker.id() {
                Ok(Reply::Refused(Refused::Leaving))
            } else if now < self.trouble.busy_until {
                Ok(Reply::Refused(Refused::Busy))
            } else if let Action::Hold { wait, .. } = pending.call.action {
                pending.process = self.worker.process;
                pending.reply_at = Some(now + wait);
                self.worker.begin_poll(&pending.call, audit, now);
                continue;
            } else {
                let stop_duration = self.rng.random_range(0..700);
                let durations = (duration, stop_duration);
                Ok(self.worker.execute(&pending.call, durations, refuses_starts, audit, now))
            };
            let pending = &mut self.calls[index];
            if !pending.reply_lost {
                self.replies.push((pending.agent, pending.id, reply));
                pending.agent = 0;
            }
        }
        self.calls.retain(|call| call.agent != 0);
    }

    /// Replies to polls that are due, or at once if a run has ended.
    fn end_polls(&mut self, audit: &mut Audit, now: u64) {
        if now < self.trouble.hung_until || self.worker_restart_at.is_some() {
            return;
        }
        let changed = self.worker.changed;
        let is_due = |call: &mut PendingCall| call.reply_at.is_some_and(|at| changed || at <= now);
        for mut call in self.calls.extract_if(.., is_due).collect::<Vec<_>>() {
            let reply = self.worker.execute(&call.call, (0, 0), false, audit, now);
            self.worker.changed = false;
            if !call.reply_lost {
                self.replies.push((call.agent, call.id, Ok(reply)));
            } else if call.timeout_at != u64::MAX {
                call.reply_at = None;
                self.calls.push(call);
            }
        }
    }

    /// Reports calls without a reply in time. They may still reach the worker.
    fn time_out_calls(&mut self, now: u64) {
        for call in self.calls.iter_mut().filter(|call| now >= call.timeout_at) {
            self.replies.push((call.agent, call.id, Err(unclear(false))));
            call.reply_lost = true;
            call.timeout_at = u64::MAX;
        }
        self.calls.retain(|call| {
            call.timeout_at != u64::MAX || call.begin_at.is_some() || call.reply_at.is_some()
        });
    }

    fn send_heartbeat(&mut self, now: u64) {
        if now < self.next_heartbeat_at || self.worker_restart_at.is_some() {
            return;
        }
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
        self.heartbeats += 1;
        let late = now < self.trouble.late_reports_until;
        let at = if late { now + self.rng.random_range(100..4000) } else { now };
        let (worker, clock) = (self.worker.identity(), self.worker.clock(now));
        self.reports.push((at, Report::Heartbeat { worker, clock, number: self.heartbeats }));
    }
}

/// Whether the run of a task that is its `start`th one fails. That depends on nothing else, so that
/// it stays the same in a shortened course.
fn fails(task: &Task, start: usize, percent: u32) -> bool {
    let mut hasher = DefaultHasher::new();
    (task.to_string(), start).hash(&mut hasher);
    hasher.finish() % 100 < u64::from(percent)
}

fn unclear(closed: bool) -> Fault {
    Fault::Unclear { closed, detail: "no reply".into() }
}
