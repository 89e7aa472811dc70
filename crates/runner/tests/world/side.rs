//! One worker, its agent, and what is on its way between them.

use quincewheel_job::{End, How, Run, Task};
use quincewheel_runner::{Action, Call, Fault, Reply, Runner, Settings};
use quincewheel_wire::Refused;

/// How a worker answers calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mood {
    /// As it should.
    Sound,
    /// It is unhealthy and does nothing that it is called for, but says so.
    Refusing,
    /// It does so for starts and stops only.
    RefusingStarts,
    /// Starts get no answer, and are carried out so many milliseconds after that; the
    /// rest is as it should be.
    Late(u64),
    /// Its process is gone: connections are refused, and it reports no more.
    Gone,
}

/// One worker, its agent, and what is on its way between them.
pub struct Side {
    pub mood: Mood,
    /// Lives of the worker before this one.
    pub(super) lives: usize,
    /// When its process started; 0 where each start has an id of its own.
    pub(super) born: u64,
    /// The highest fencing token that it has seen.
    pub(super) fence: u64,
    /// Its clock is so much behind that of its first start.
    pub(super) behind: u64,
    pub(super) runner: Runner,
    pub(super) running: Vec<Run>,
    /// How many ends this start of it has numbered, and those that are not forgotten.
    pub(super) ends: u64,
    pub(super) listed: Vec<End>,
    /// A run was stopped since the last look: the next one need not wait.
    pub(super) ended: bool,
    /// When it reports next; none before its first report.
    pub(super) report: Option<u64>,
    /// Its connection was closed by the agent.
    pub(super) dial: bool,
    /// Calls by when they are answered.
    pub(super) calls: Vec<(u64, u64, Call)>,
    /// Starts without an answer, by when they take effect.
    pub(super) late: Vec<(u64, Call)>,
    /// Runs that this start of it was told to stop, which it does not begin any more.
    pub(super) stopped: Vec<(Task, u64)>,
    /// When each of its runs began.
    pub(super) begun: Vec<(Task, u64, u64)>,
    /// The same of all its incarnations, but for starts that it carried out late.
    pub on_time: Vec<(Task, u64, u64)>,
    /// Its availability zone.
    pub zone: String,
    /// Ends as done that it was told are recorded.
    pub(super) noted: Vec<Task>,
}

impl Side {
    /// A sound worker that has not reported yet, and an agent that knows nothing.
    pub(super) fn open() -> Side {
        Side {
            mood: Mood::Sound,
            lives: 0,
            born: 0,
            fence: 0,
            behind: 0,
            runner: Runner::new(Settings::default()),
            running: Vec::new(),
            ends: 0,
            listed: Vec::new(),
            ended: false,
            report: None,
            dial: false,
            calls: Vec::new(),
            late: Vec::new(),
            stopped: Vec::new(),
            begun: Vec::new(),
            on_time: Vec::new(),
            zone: String::new(),
            noted: Vec::new(),
        }
    }

    /// When a call is answered: a look waits at a sound worker for an end.
    pub(super) fn due(&self, call: &Call, now: u64) -> u64 {
        match (&call.action, self.mood) {
            (Action::Hold { .. }, _) if self.ended => now,
            (Action::Hold { wait, .. }, Mood::Sound | Mood::RefusingStarts | Mood::Late(_)) => {
                now + wait
            }
            (Action::Start { .. }, Mood::Late(_)) => now + call.timeout,
            _ => now,
        }
    }

    pub(super) fn answer(&mut self, call: &Call, now: u64) -> Result<Reply, Fault> {
        if !call.worker.ends_with(&format!("-{}", self.lives)) {
            return Ok(Reply::Refused(Refused::Leaving));
        }
        let looks = matches!(call.action, Action::Hold { .. });
        match self.mood {
            Mood::Sound => {}
            Mood::RefusingStarts if looks => {}
            Mood::Refusing | Mood::RefusingStarts => return Ok(Reply::Refused(Refused::Busy)),
            Mood::Gone => return Err(Fault::Unsent { detail: "refused".into() }),
            Mood::Late(delay) if matches!(call.action, Action::Start { .. }) => {
                self.late.push((now + delay, call.clone()));
                return Err(Fault::Unclear { closed: false, detail: "no answer".into() });
            }
            Mood::Late(_) => {}
        }
        self.carry_out(call, now)
    }

    /// Starts whose time has come take effect now, if their lease still holds. One that is still
    /// on its way to a worker that starts again does not come before its first report: what the
    /// former incarnation had taken ended with it.
    pub(super) fn take_effect(&mut self, now: u64) {
        if self.report.is_none() {
            return;
        }
        let due = |(at, _): &(u64, Call)| *at <= now;
        let (ready, kept) = std::mem::take(&mut self.late).into_iter().partition(due);
        self.late = kept;
        let ready: Vec<(u64, Call)> = ready;
        for (_, call) in ready {
            let Action::Start { task, run, lease_end, .. } = &call.action else { continue };
            if *lease_end > self.clock(now) && !self.refuses(task, *run) {
                let on_time = self.on_time.len();
                _ = self.carry_out(&call, now);
                self.on_time.truncate(on_time);
            }
        }
    }

    /// True if the run is there.
    pub(super) fn has(&self, task: &Task, run: u64) -> bool {
        self.running.iter().any(|known| known.task == *task && known.number == run)
    }

    /// True if this or a later run of the task is there, or was stopped or has ended here.
    pub(super) fn refuses(&self, task: &Task, run: u64) -> bool {
        let later = |known: &Run| known.task == *task && known.number >= run;
        let over = |(other, number): &(Task, u64)| other == task && *number >= run;
        self.running.iter().any(later) || self.stopped.iter().any(over)
    }

    /// Ends what has run for so long.
    pub(super) fn end_work(&mut self, work: u64, now: u64) {
        let begun = &self.begun;
        let over = |run: &Run| {
            begun.iter().any(|(task, number, at)| {
                (task, *number) == (&run.task, run.number) && now >= at + work
            })
        };
        let ends: Vec<Run> = self.running.extract_if(.., |run| over(run)).collect();
        self.ended |= !ends.is_empty();
        ends.into_iter().for_each(|run| self.end(run, How::Done));
    }

    pub(super) fn clock(&self, now: u64) -> u64 {
        clock(now) - self.behind
    }

    pub(super) fn end(&mut self, run: Run, how: How) {
        self.ends += 1;
        let Run { task, number: run, saved, .. } = run;
        self.stopped.push((task.clone(), run));
        self.listed.push(End { number: self.ends, task, run, how, saved });
    }

    pub(super) fn carry_out(&mut self, call: &Call, now: u64) -> Result<Reply, Fault> {
        let clock = self.clock(now);
        if call.fencing_token < self.fence {
            return Ok(Reply::Refused(Refused::Fence));
        }
        self.fence = call.fencing_token;
        match &call.action {
            Action::Start { task, run, .. } => {
                if self.has(task, *run) {
                    return Ok(Reply::Done { clock });
                }
                if self.refuses(task, *run) {
                    return Ok(Reply::Refused(Refused::Old));
                }
                let saved = String::new();
                self.begun.push((task.clone(), *run, now));
                self.on_time.push((task.clone(), *run, now));
                let run = Run { task: task.clone(), number: *run, saved, percent: 10, gauge: 0 };
                self.running.push(run);
            }
            Action::Stop { task, run } => {
                self.stopped.push((task.clone(), *run));
                self.running.retain(|known| known.task != *task || known.number > *run);
                self.ended = true;
            }
            Action::Pace { .. } => {}
            Action::Hold { acknowledged, .. } => {
                self.ended = false;
                let noted = self.listed.extract_if(.., |end| end.number <= *acknowledged);
                self.noted.extend(noted.filter(|end| end.how == How::Done).map(|end| end.task));
                for run in &mut self.running {
                    run.percent = (run.percent + 1).min(99);
                }
                let (running, ended) = (self.running.clone(), self.listed.clone());
                return Ok(Reply::Held { born: self.born, clock, running, ended });
            }
        }
        Ok(Reply::Done { clock })
    }
}

pub(super) fn clock(now: u64) -> u64 {
    50_000 + now
}
