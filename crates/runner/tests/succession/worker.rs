//! One worker and the agent beside it.

use quincewheel_job::{End, How, Resources, Run, Task, Worker as Identity};
use quincewheel_runner::{Action, Announcement, Call, Heartbeat, Reply, Runner, Settings};
use quincewheel_wire::Refused;

use super::audit::Audit;

/// Time between heartbeats of a worker.
const HEARTBEAT_INTERVAL_MS: u64 = 1500;
/// The slowest clock of a worker, in thousandths of true time.
const SLOWEST_CLOCK: u64 = 980;

/// A worker that carries out calls, ends runs, and stops them when its lease is over.
pub struct Worker {
    number: usize,
    /// Speed of its clock, in thousandths of true time.
    clock_rate: u64,
    fencing_token: u64,
    lease_end: u64,
    /// Runs, with the times of their start and of their end.
    running: Vec<(Run, (u64, u64))>,
    last_end: u64,
    ends: Vec<(End, u64, bool)>,
    /// Runs that have ended or been stopped, which are not started again.
    stopped: Vec<(Task, u64)>,
    /// A run has ended since the last poll.
    changed: bool,
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
    next_heartbeat_at: u64,
    heartbeats: u64,
    /// Calls that wait for their reply: the agent's process, when the reply is due, id and call.
    calls: Vec<(u64, u64, u64, Call)>,
    /// Replies that the agent has not processed: the agent's process, id and reply.
    replies: Vec<(u64, u64, Reply)>,
}

impl Worker {
    pub fn new(number: usize) -> Worker {
        Worker {
            number,
            clock_rate: SLOWEST_CLOCK + 4 * number as u64,
            fencing_token: 0,
            lease_end: 0,
            running: Vec::new(),
            last_end: 0,
            ends: Vec::new(),
            stopped: Vec::new(),
            changed: false,
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        50_000 + now * self.clock_rate / 1000
    }

    pub fn identity(&self) -> Identity {
        Identity {
            id: format!("i{}", self.number),
            pool: "p".into(),
            capacity: Resources { cpu: 64_000, memory: 262_144, accelerators: 8 },
            rack: "r0".into(),
            ..Identity::default()
        }
    }

    /// Ends what is due: runs that are complete, and all runs once the lease is over.
    pub fn step(&mut self, audit: &mut Audit, now: u64) {
        let lapsed = self.clock(now) >= self.lease_end;
        if lapsed {
            self.ends.iter_mut().for_each(|(_, _, lapsed)| *lapsed = true);
        }
        let due = |(_, (_, end_at)): &mut (Run, (u64, u64))| lapsed || *end_at <= now;
        let ended: Vec<(Run, (u64, u64))> = self.running.extract_if(.., due).collect();
        for (run, (_, end_at)) in ended {
            let how = if end_at <= now { How::Done } else { How::Lapsed };
            self.last_end += 1;
            self.changed = true;
            audit.on_over(self.number, &run.task, run.number);
            self.stopped.push((run.task.clone(), run.number));
            let Run { task, number: run, saved, .. } = run;
            self.ends.push((End { number: self.last_end, task, run, how, saved }, now, lapsed));
        }
    }

    /// Whether anything runs there.
    pub fn is_busy(&self) -> bool {
        !self.running.is_empty()
    }

    fn list(&self, now: u64) -> Reply {
        let percent = |start: u64, end: u64| ((now - start) * 100 / (end - start).max(1)) as u32;
        let running = self.running.iter().map(|(run, (start, end))| Run {
            percent: percent(*start, *end).min(99),
            ..run.clone()
        });
        let running = running.collect();
        let ended = self.ends.iter().map(|(end, _, _)| end.clone()).collect();
        Reply::Held { born: 0, clock: self.clock(now), running, ended }
    }

    /// Carries out a call; `duration` is that of the run if it starts one.
    fn execute(&mut self, call: &Call, duration: u64, audit: &mut Audit, now: u64) -> Reply {
        if call.fencing_token < self.fencing_token {
            return Reply::Refused(Refused::Fence);
        }
        self.fencing_token = call.fencing_token;
        let clock = self.clock(now);
        match &call.action {
            Action::Start { task, run, lease_end, .. } => {
                let same =
                    |(known, _): &(Run, (u64, u64))| known.task == *task && known.number >= *run;
                if self.running.iter().any(|r| same(r) && r.0.number == *run) {
                    return Reply::Done { clock };
                }
                let over = |(t, n): &(Task, u64)| t == task && n >= run;
                if self.running.iter().any(same) || self.stopped.iter().any(over) {
                    return Reply::Refused(Refused::Old);
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
                self.running.push((run, (now, now + duration)));
            }
            Action::Stop { task, run } => {
                self.stopped.push((task.clone(), *run));
                let due = |(known, _): &mut (Run, (u64, u64))| {
                    known.task == *task && known.number <= *run
                };
                for (ended, _) in self.running.extract_if(.., due).collect::<Vec<_>>() {
                    audit.on_over(self.number, &ended.task, ended.number);
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
    pub fn new(number: usize) -> Node {
        Node {
            runner: Runner::new(Settings::default()),
            worker: Worker::new(number),
            frozen_until: 0,
            incarnation: 1,
            announcement: Announcement::unwritten(),
            next_announcement_at: 0,
            next_heartbeat_at: 0,
            heartbeats: 0,
            calls: Vec::new(),
            replies: Vec::new(),
        }
    }

    /// Restarts the agent's process. Calls in flight are still carried out.
    pub fn restart(&mut self) {
        self.runner = Runner::new(Settings::default());
        self.incarnation += 1;
        self.announcement = Announcement::unwritten();
        self.next_announcement_at = 0;
        self.frozen_until = 0;
    }

    /// Takes a call of the agent. All but polls are carried out at once.
    pub fn send_call(&mut self, id: u64, call: Call, audit: &mut Audit, now: u64) {
        self.worker.begin_poll(&call, audit, now);
        let wait = if let Action::Hold { wait, .. } = call.action { wait } else { 0 };
        self.calls.push((self.incarnation, now + wait, id, call));
    }

    /// Delivers heartbeats and replies to the agent, and lets it do what is due.
    pub fn step(&mut self, duration: u64, audit: &mut Audit, now: u64) {
        self.worker.step(audit, now);
        let changed = self.worker.changed;
        let is_due = |(_, due, _, call): &mut (u64, u64, u64, Call)| {
            *due <= now || (changed && matches!(call.action, Action::Hold { .. }))
        };
        let due: Vec<_> = self.calls.extract_if(.., is_due).collect();
        for (incarnation, _, id, call) in due {
            let reply = self.worker.execute(&call, duration, audit, now);
            if matches!(call.action, Action::Hold { .. }) {
                self.worker.changed = false;
            }
            self.replies.push((incarnation, id, reply));
        }
        if now < self.frozen_until {
            return;
        }
        for (incarnation, id, reply) in std::mem::take(&mut self.replies) {
            if incarnation == self.incarnation {
                self.runner.on_reply(id, Ok(reply), now);
            }
        }
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
            self.heartbeats += 1;
            let worker = self.worker.identity();
            let clock = self.worker.clock(now);
            let number = self.heartbeats;
            let heartbeat = Heartbeat { worker: &worker, address: "10.0.0.1:80", clock, number };
            self.runner.on_heartbeat(&heartbeat, now);
        }
        self.runner.tick(now);
    }
}
