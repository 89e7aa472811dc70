//! One worker, its agent, and the calls between them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use quincewheel_job::{End, How, Run, Task};
use quincewheel_runner::{Action, Call, Fault, Reply, Runner, Settings};
use quincewheel_wire::{Order, Refused};

use super::history::History;

/// The longest lease that a worker accepts, in milliseconds on its own clock.
const MAX_LEASE_MS: u64 = 6000;

/// The most ends that a worker lists at a time: those with the lowest numbers.
const MAX_LISTED_ENDS: usize = 500;

/// How a worker replies to calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behavior {
    /// It carries out all calls.
    Healthy,
    /// It is unhealthy, and refuses all calls as busy.
    Busy,
    /// It refuses all calls but polls.
    RefusesStarts,
    /// Starts get no reply, and are carried out this many milliseconds after their timeout; other
    /// calls are carried out at once.
    DelaysStarts(u64),
    /// Polls get no reply, and are not carried out; other calls are carried out at once.
    SilentPolls,
    /// Polls get no reply, although they are carried out; other calls are carried out at once.
    LosesPollReplies,
    /// Its process has ended: it accepts no connections and sends no heartbeats.
    Down,
}

/// One worker, its agent, and the calls between them.
pub struct Node {
    pub behavior: Behavior,
    /// Number of earlier incarnations of the worker that had other ids.
    pub(super) renames: usize,
    /// When its process started; 0 if each incarnation has an id of its own.
    pub(super) born: u64,
    /// The highest fencing token that it has seen.
    pub(super) fencing_token: u64,
    /// When its lease ends, on its own clock.
    pub lease_end: u64,
    /// How far its clock is behind that of its first incarnation, in milliseconds.
    pub(super) clock_lag: u64,
    pub(super) runner: Runner,
    pub running: Vec<Run>,
    /// Number of the last end of this incarnation.
    pub(super) last_end: u64,
    /// Number of the last end after which the lease has lapsed.
    pub(super) last_lapsed_end: u64,
    /// Number of its process in the history.
    pub(super) process: usize,
    /// The starts and ends of all workers.
    pub(super) history: Rc<RefCell<History>>,
    /// Ends that have not been acknowledged.
    pub(super) unacknowledged: Vec<End>,
    /// A run has ended since the last poll, so the next one is replied to at once.
    pub(super) poll_due: bool,
    /// When its next heartbeat is due; none before the first, or if heartbeats have stopped.
    pub(super) next_heartbeat: Option<u64>,
    /// The agent closed its connection to the owner, which has to dial again.
    pub(super) needs_dial: bool,
    /// Frames between its agent and the owner are lost, and neither notices.
    pub cut: bool,
    /// Orders to its agent wait.
    pub orders_wait: bool,
    /// Orders that wait, with the connections on which they were sent.
    pub(super) waiting_orders: Vec<(u64, Order)>,
    /// Refusals of the next starts.
    pub start_refusals: VecDeque<Refused>,
    /// How long after a failed connection its agent learns of it, in milliseconds.
    pub notice_delay: u64,
    /// Calls in flight: when their reply is due, and their ids.
    pub(super) calls: Vec<(u64, u64, Call)>,
    /// Starts without a reply, and when they take effect.
    pub(super) delayed_starts: Vec<(u64, Call)>,
    /// Runs that this incarnation has ended or was ordered to stop, and refuses to start.
    pub(super) stopped: Vec<(Task, u64)>,
    /// Starts of this incarnation, and when it carried them out.
    pub(super) started: Vec<(Task, u64, u64)>,
    /// Starts of all incarnations that were not delayed, and when they were carried out.
    pub prompt_starts: Vec<(Task, u64, u64)>,
    /// Its availability zone.
    pub zone: String,
    /// Its heartbeats say that it is about to shut down.
    pub draining: bool,
    /// Tasks whose ends as done were acknowledged to it.
    pub(super) acknowledged: Vec<Task>,
}

impl Node {
    /// Creates a healthy worker that has sent no heartbeat, and an agent without state.
    pub(super) fn new(history: Rc<RefCell<History>>) -> Node {
        let process = history.borrow_mut().start_process();
        Node {
            behavior: Behavior::Healthy,
            renames: 0,
            born: 0,
            fencing_token: 0,
            lease_end: 0,
            clock_lag: 0,
            runner: Runner::new(Settings::default()),
            running: Vec::new(),
            last_end: 0,
            last_lapsed_end: 0,
            process,
            history,
            unacknowledged: Vec::new(),
            poll_due: false,
            next_heartbeat: None,
            needs_dial: false,
            cut: false,
            orders_wait: false,
            waiting_orders: Vec::new(),
            start_refusals: VecDeque::new(),
            notice_delay: 0,
            calls: Vec::new(),
            delayed_starts: Vec::new(),
            stopped: Vec::new(),
            started: Vec::new(),
            prompt_starts: Vec::new(),
            zone: String::new(),
            draining: false,
            acknowledged: Vec::new(),
        }
    }

    /// When the reply to a call is due. A poll waits for the end of a run unless the worker refuses
    /// it or is down.
    pub(super) fn reply_time(&self, call: &Call, now: u64) -> u64 {
        match (&call.action, self.behavior) {
            (Action::Hold { .. }, Behavior::SilentPolls | Behavior::LosesPollReplies) => {
                now + call.timeout
            }
            (Action::Hold { .. }, _) if self.poll_due => now,
            (
                Action::Hold { wait, .. },
                Behavior::Healthy | Behavior::RefusesStarts | Behavior::DelaysStarts(_),
            ) => now + wait,
            (Action::Start { .. }, Behavior::DelaysStarts(_)) => now + call.timeout,
            (_, Behavior::Down) => now + self.notice_delay,
            _ => now,
        }
    }

    pub(super) fn reply(&mut self, call: &Call, now: u64) -> Result<Reply, Fault> {
        if !call.worker.ends_with(&format!("-{}", self.renames)) {
            return Ok(Reply::Refused(Refused::Leaving));
        }
        let is_poll = matches!(call.action, Action::Hold { .. } | Action::List);
        match self.behavior {
            Behavior::Healthy => {}
            Behavior::RefusesStarts if is_poll => {}
            Behavior::Busy | Behavior::RefusesStarts => return Ok(Reply::Refused(Refused::Busy)),
            Behavior::SilentPolls if is_poll => {
                return Err(Fault::Unclear { closed: false, detail: "no reply".into() });
            }
            Behavior::LosesPollReplies if is_poll => {
                _ = self.execute(call, now);
                return Err(Fault::Unclear { closed: false, detail: "no reply".into() });
            }
            Behavior::SilentPolls | Behavior::LosesPollReplies => {}
            Behavior::Down => return Err(Fault::Unsent { detail: "refused".into() }),
            Behavior::DelaysStarts(delay) if matches!(call.action, Action::Start { .. }) => {
                self.delayed_starts.push((now + delay, call.clone()));
                return Err(Fault::Unclear { closed: false, detail: "no reply".into() });
            }
            Behavior::DelaysStarts(_) => {}
        }
        self.execute(call, now)
    }

    /// Carries out delayed starts that are due, if their lease has not ended. A restarted worker
    /// carries out none before its first heartbeat: starts that its former incarnation had received
    /// are lost.
    pub(super) fn apply_delayed_starts(&mut self, now: u64) {
        if self.next_heartbeat.is_none() {
            return;
        }
        let is_due = |(at, _): &(u64, Call)| *at <= now;
        let (ready, waiting) =
            std::mem::take(&mut self.delayed_starts).into_iter().partition(is_due);
        self.delayed_starts = waiting;
        let ready: Vec<(u64, Call)> = ready;
        for (_, call) in ready {
            let Action::Start { task, run, lease_end, .. } = &call.action else { continue };
            if *lease_end > self.clock(now) && !self.refuses_start(task, *run) {
                let prompt = self.prompt_starts.len();
                _ = self.execute(&call, now);
                self.prompt_starts.truncate(prompt);
            }
        }
    }

    /// True if the run is in progress.
    pub(super) fn has_run(&self, task: &Task, run: u64) -> bool {
        self.running.iter().any(|known| known.task == *task && known.number == run)
    }

    /// True if this or a later run of the task is in progress, was stopped, or has ended here.
    pub(super) fn refuses_start(&self, task: &Task, run: u64) -> bool {
        let later = |known: &Run| known.task == *task && known.number >= run;
        let ended = |(other, number): &(Task, u64)| other == task && *number >= run;
        self.running.iter().any(later) || self.stopped.iter().any(ended)
    }

    /// Ends runs as done that started at least `duration` milliseconds ago.
    pub(super) fn finish_after(&mut self, duration: u64, now: u64) {
        let started = &self.started;
        let is_due = |run: &Run| {
            started.iter().any(|(task, number, at)| {
                (task, *number) == (&run.task, run.number) && now >= at + duration
            })
        };
        let ends: Vec<Run> = self.running.extract_if(.., |run| is_due(run)).collect();
        self.poll_due |= !ends.is_empty();
        ends.into_iter().for_each(|run| self.end_run(run, How::Done));
    }

    /// The clock of the current incarnation.
    pub fn clock(&self, now: u64) -> u64 {
        first_clock(now) - self.clock_lag
    }

    /// Ends all runs if the lease is over.
    pub(super) fn expire_lease(&mut self, now: u64) {
        if self.clock(now) < self.lease_end {
            return;
        }
        self.last_lapsed_end = self.last_end;
        for run in std::mem::take(&mut self.running) {
            self.end_run(run, How::Lapsed);
        }
    }

    /// Extends the lease, which is never shortened.
    fn extend_lease(&mut self, end: u64, now: u64) {
        self.lease_end = self.lease_end.max(end.min(self.clock(now) + MAX_LEASE_MS));
    }

    /// Ends the process with all its runs, and lets the next one begin.
    pub(super) fn replace_process(&mut self) {
        let mut history = self.history.borrow_mut();
        for run in self.running.drain(..) {
            history.end(&run.task, run.number, self.process, How::Stopped);
        }
        self.process = history.start_process();
        self.last_lapsed_end = self.last_end;
        self.lease_end = 0;
    }

    pub(super) fn end_run(&mut self, run: Run, how: How) {
        self.history.borrow_mut().end(&run.task, run.number, self.process, how);
        self.last_end += 1;
        let Run { task, number: run, saved, .. } = run;
        self.stopped.push((task.clone(), run));
        self.unacknowledged.push(End { number: self.last_end, task, run, how, saved });
    }

    /// Carries out a call as a healthy worker does.
    pub(super) fn execute(&mut self, call: &Call, now: u64) -> Result<Reply, Fault> {
        self.expire_lease(now);
        let clock = self.clock(now);
        if call.fencing_token < self.fencing_token {
            return Ok(Reply::Refused(Refused::Fence));
        }
        self.fencing_token = call.fencing_token;
        if let Action::Start { lease_end, .. } | Action::Hold { lease_end: Some(lease_end), .. } =
            &call.action
        {
            self.extend_lease(*lease_end, now);
        }
        match &call.action {
            Action::Start { task, run, lease_end, .. } => {
                if *lease_end <= clock {
                    return Ok(Reply::Refused(Refused::Lease));
                }
                if let Some(why) = self.start_refusals.pop_front() {
                    return Ok(Reply::Refused(why));
                }
                if self.has_run(task, *run) {
                    return Ok(Reply::Done { clock });
                }
                if self.refuses_start(task, *run) {
                    return Ok(Reply::Refused(Refused::Old));
                }
                let saved = String::new();
                self.history.borrow_mut().start(task, *run, self.process);
                self.started.push((task.clone(), *run, now));
                self.prompt_starts.push((task.clone(), *run, now));
                let run = Run { task: task.clone(), number: *run, saved, percent: 10, gauge: 0 };
                self.running.push(run);
            }
            Action::Stop { task, run } => {
                self.stopped.push((task.clone(), *run));
                let stopped = |known: &mut Run| known.task == *task && known.number <= *run;
                for known in self.running.extract_if(.., stopped) {
                    let mut history = self.history.borrow_mut();
                    history.end(&known.task, known.number, self.process, How::Stopped);
                }
                self.poll_due = true;
            }
            Action::Pace { .. } => {}
            Action::Hold { acknowledged, .. } => {
                self.poll_due = false;
                let forgotten =
                    self.unacknowledged.extract_if(.., |end| end.number <= *acknowledged);
                for end in forgotten.filter(|end| end.how == How::Done) {
                    if end.number > self.last_lapsed_end {
                        self.history.borrow_mut().acknowledge(&end.task, end.run, self.process);
                    }
                    self.acknowledged.push(end.task);
                }
                for run in &mut self.running {
                    run.percent = (run.percent + 1).min(99);
                }
                return Ok(self.list(clock));
            }
            Action::List => return Ok(self.list(clock)),
        }
        Ok(Reply::Done { clock })
    }

    fn list(&self, clock: u64) -> Reply {
        let listed = self.unacknowledged.iter().take(MAX_LISTED_ENDS);
        let (running, ended) = (self.running.clone(), listed.cloned().collect());
        let truncated = self.unacknowledged.len() >= MAX_LISTED_ENDS;
        Reply::Held { born: self.born, clock, running, ended, truncated }
    }
}

/// The clock of a worker's first incarnation.
pub(super) fn first_clock(now: u64) -> u64 {
    50_000 + now
}
