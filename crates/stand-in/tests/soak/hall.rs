//! All workers of a run: what they run, and how it ends.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::judge::{Judge, Task};
use crate::kind::Kind;
use crate::proxy::{Mode, Proxy};

/// Accelerators of a worker.
pub const ACCELERATORS: u64 = 8;
/// A member of a gang waits so long for the others, in milliseconds.
const GANG: u64 = 3000;
/// A stop takes so long, in milliseconds.
const STOP: u64 = 50;
/// A task that crashes its worker does so after this time, in milliseconds.
const CRASH: u64 = 10;
/// How long a worker that crashed is away, in milliseconds.
const AWAY: u64 = 1500;
/// A room that has shrunk counts so much later, in milliseconds: what the platform's pages
/// allow, and the time between two reports.
const SHRINKS: u64 = 3000 + 300;
/// Workers of one rack, and of one availability zone.
const RACK: usize = 3;
/// Nothing starts in an evacuated availability zone after this time, in milliseconds.
pub const EVACUATE: u64 = 5000;
/// Longest lease, in milliseconds.
pub const LEASE: u64 = 6000;

/// A start of a task.
#[derive(Clone, Debug)]
pub struct Run {
    pub number: u64,
    pub began: u64,
    /// When its gang was complete, or it began.
    works: Option<u64>,
    /// When a stop of it is through.
    stops: Option<u64>,
}

/// An end that the worker lists.
#[derive(Clone, Debug)]
pub struct End {
    pub number: u64,
    pub task: Task,
    pub run: u64,
    pub how: &'static str,
}

/// One worker.
#[derive(Default)]
pub struct Worker {
    pub life: u64,
    /// When its process started, on the run's clock; its own clock begins there. 0 where
    /// workers do not keep their ids.
    pub born: u64,
    /// Its starts get no answer until then, on the run's clock.
    pub late: u64,
    pub fence: u64,
    pub lease: u64,
    pub runs: BTreeMap<Task, Run>,
    pub ended: Vec<End>,
    pub next_end: u64,
    /// Highest run of each task that was stopped or ended here.
    pub over: BTreeMap<Task, u64>,
    /// It answers nothing until then.
    pub dark: u64,
    /// Accelerators that it has lost for a while.
    pub lost: u64,
    /// When it lost them.
    shrunk: u64,
}

impl Worker {
    /// Accelerators that it has.
    pub fn room(&self) -> u64 {
        ACCELERATORS - self.lost
    }
}

/// Workers, and the judge of what they do.
pub struct Hall {
    opened: Instant,
    pub workers: Vec<Worker>,
    pub judge: Judge,
    /// What stands before each worker, where something does.
    pub doors: Vec<Proxy>,
    kind: Kind,
    /// Availability zones that are evacuated, and since when.
    evacuated: BTreeMap<usize, u64>,
}

impl Hall {
    pub fn open(workers: usize, kind: Kind) -> Hall {
        let worker = |_| Worker { life: 1, ..Worker::default() };
        let workers = (0..workers).map(worker).collect();
        let (opened, judge) = (Instant::now(), Judge::default());
        Hall { opened, workers, judge, doors: Vec::new(), kind, evacuated: BTreeMap::new() }
    }

    /// Milliseconds since the run began.
    pub fn now(&self) -> u64 {
        self.opened.elapsed().as_millis() as u64
    }

    /// A worker's clock, in milliseconds.
    pub fn clock(&self, at: usize) -> u64 {
        self.now().saturating_sub(self.workers[at].born)
    }

    /// True if workers keep their ids when they start again.
    pub fn keeps_ids(&self) -> bool {
        self.kind.keeps_ids()
    }

    /// True if the worker refuses what does not fit: every second one does not, where workers
    /// go wrong.
    pub fn checks(&self, at: usize) -> bool {
        !self.kind.harms_workers() || at.is_multiple_of(2)
    }

    /// Starts at a worker get no answer for a while.
    pub fn answer_late(&mut self, at: usize, ms: u64) {
        self.workers[at].late = self.now() + ms;
    }

    /// Accelerators that are taken, also by what is being stopped.
    pub fn used(&self, worker: usize) -> u64 {
        self.workers[worker].runs.keys().map(|task| self.need(task)).sum()
    }

    /// Accelerators that a task takes.
    pub fn need(&self, task: &Task) -> u64 {
        self.judge.jobs.get(&task.0).map_or(0, |job| job.steps[task.1 as usize].accelerators)
    }

    /// A worker loses accelerators, or has all of them again.
    pub fn resize(&mut self, at: usize, lost: u64) {
        let now = self.now();
        let worker = &mut self.workers[at];
        if lost > worker.lost {
            worker.shrunk = now;
        }
        worker.lost = lost;
    }

    /// The availability zone that a worker is in.
    pub fn zone(at: usize) -> usize {
        at / RACK
    }

    /// Operators were told that they evacuate an availability zone, or have taken it back.
    pub fn evacuate(&mut self, zone: usize, begins: bool) {
        match begins {
            true => {
                _ = self.evacuated.entry(zone).or_insert(self.opened.elapsed().as_millis() as u64)
            }
            false => _ = self.evacuated.remove(&zone),
        }
    }

    /// A worker begins a run, by an order that it carries out `on_time`.
    pub fn begin(&mut self, at: usize, task: Task, number: u64, spec: &str, on_time: bool) {
        let (now, life) = (self.now(), self.workers[at].life);
        let since = self.evacuated.get(&Hall::zone(at)).filter(|_| on_time);
        if let Some(ms) = since.map(|since| now - since).filter(|ms| *ms > EVACUATE) {
            self.judge.report(format!("EVAC {task:?}: {ms} ms after its zone was evacuated"));
        }
        let need = self.need(&task);
        let worker = &self.workers[at];
        let late = now >= worker.shrunk + SHRINKS;
        let room = if late { worker.room() } else { ACCELERATORS };
        if self.used(at) + need > room {
            let text = format!("LIMIT {task:?}: {} and {need} of {room}", self.used(at));
            self.judge.report(text);
        }
        self.judge.start(at, life, &task, number, spec);
        let run = Run { number, began: now, works: None, stops: None };
        self.workers[at].runs.insert(task, run);
    }

    /// A worker is told to stop a run, or never to begin it.
    pub fn stop(&mut self, at: usize, task: &Task, number: u64) {
        let now = self.now();
        let worker = &mut self.workers[at];
        let over = worker.over.entry(task.clone()).or_default();
        *over = number.max(*over);
        if let Some(run) = worker.runs.get_mut(task).filter(|run| run.number == number) {
            run.stops.get_or_insert(now + STOP);
        }
    }

    /// A worker is told that ends up to `seen` are recorded.
    pub fn acknowledge(&mut self, at: usize, seen: u64) {
        let ended = std::mem::take(&mut self.workers[at].ended);
        for end in ended {
            if end.number <= seen {
                self.judge.recorded(&end.task, end.how == "done", end.how == "failed");
            } else {
                self.workers[at].ended.push(end);
            }
        }
    }

    /// A worker loses all that it has and comes back: as another, or under its id.
    pub fn rebirth(&mut self, at: usize, dark: u64) {
        let now = self.now();
        let life = self.workers[at].life;
        let runs = std::mem::take(&mut self.workers[at].runs);
        let born = if self.keeps_ids() { now + dark } else { 0 };
        let dark = now + dark;
        self.workers[at] = Worker { life: life + 1, born, dark, ..Worker::default() };
        if self.keeps_ids() {
            self.doors[at].set(Mode::Reset);
        }
        for (task, run) in runs {
            self.judge.gone(at, life, &task, run.number);
            self.end_mates(&task, run.number, "broken");
        }
    }

    /// Lets time pass: gangs become complete, runs end, leases lapse.
    pub fn tick(&mut self) {
        let now = self.now();
        self.gather(now);
        self.crash_workers(now);
        for at in 0..self.workers.len() {
            let lapsed = now >= self.workers[at].lease;
            let runs: Vec<(Task, Run)> = self.workers[at]
                .runs
                .iter()
                .map(|(task, run)| (task.clone(), run.clone()))
                .collect();
            for (task, run) in runs {
                if let Some(how) = self.verdict(&task, &run, lapsed, now) {
                    self.end(at, &task, run.number, how);
                }
            }
        }
    }

    /// Workers crash by what they have started, and come back.
    fn crash_workers(&mut self, now: u64) {
        for at in 0..self.doors.len() {
            let bad =
                |(task, run): &(&Task, &Run)| self.judge.crashes(task) && now >= run.began + CRASH;
            let bad: Vec<Task> =
                self.workers[at].runs.iter().filter(bad).map(|(task, _)| task.clone()).collect();
            if !bad.is_empty() {
                bad.iter().for_each(|task| self.judge.crash(task));
                self.rebirth(at, AWAY);
                self.doors[at].set(Mode::Reset);
            } else if now >= self.workers[at].dark {
                self.doors[at].set(Mode::Pass);
            }
        }
    }

    /// Marks members of complete gangs, and all other runs, as at work.
    fn gather(&mut self, now: u64) {
        let mut present: BTreeMap<(String, u32, u64), u32> = BTreeMap::new();
        for (task, run) in self.workers.iter().flat_map(|worker| &worker.runs) {
            *present.entry((task.0.clone(), task.1, run.number)).or_default() += 1;
        }
        let Hall { workers, judge, .. } = self;
        for (task, run) in workers.iter_mut().flat_map(|worker| &mut worker.runs) {
            let Some(job) = judge.jobs.get(&task.0) else { continue };
            let step = &job.steps[task.1 as usize];
            let here = present.get(&(task.0.clone(), task.1, run.number)).copied().unwrap_or(0);
            if run.works.is_none() && (!step.gang || here == step.count) {
                run.works = Some(now);
            }
        }
    }

    fn verdict(&self, task: &Task, run: &Run, lapsed: bool, now: u64) -> Option<&'static str> {
        let job = self.judge.jobs.get(&task.0)?;
        let step = &job.steps[task.1 as usize];
        let fails = job.fails > 0 && (run.number + u64::from(task.2)).is_multiple_of(job.fails);
        match run.works {
            _ if lapsed => Some("lapsed"),
            _ if run.stops.is_some_and(|at| now >= at) => Some("stopped"),
            None => (now >= run.began + GANG).then_some("alone"),
            Some(works) if now >= works + step.ms => Some(if fails { "failed" } else { "done" }),
            Some(_) => None,
        }
    }

    /// Ends a run, and with it the other members of its gang.
    fn end(&mut self, at: usize, task: &Task, number: u64, how: &'static str) {
        if !self.list_end(at, task, number, how) {
            return;
        }
        match how {
            "alone" => {}
            "done" => self.end_mates(task, number, "done"),
            _ => self.end_mates(task, number, "broken"),
        }
    }

    /// Ends the other members of a gang; nothing for a task that is in none.
    fn end_mates(&mut self, task: &Task, number: u64, how: &'static str) {
        let gang = self.judge.jobs.get(&task.0).is_some_and(|job| job.steps[task.1 as usize].gang);
        if !gang {
            return;
        }
        let mates: Vec<(usize, Task)> = (0..self.workers.len())
            .flat_map(|at| self.workers[at].runs.iter().map(move |(task, run)| (at, task, run)))
            .filter(|(_, mate, run)| mate.0 == task.0 && mate.1 == task.1 && run.number == number)
            .map(|(at, mate, _)| (at, mate.clone()))
            .collect();
        for (at, mate) in mates {
            self.list_end(at, &mate, number, how);
        }
    }

    fn list_end(&mut self, at: usize, task: &Task, run: u64, how: &'static str) -> bool {
        let life = self.workers[at].life;
        let worker = &mut self.workers[at];
        if worker.runs.get(task).is_none_or(|known| known.number != run) {
            return false;
        }
        worker.runs.remove(task);
        worker.next_end += 1;
        let end = End { number: worker.next_end, task: task.clone(), run, how };
        worker.ended.push(end);
        let over = worker.over.entry(task.clone()).or_default();
        *over = run.max(*over);
        self.judge.gone(at, life, task, run);
        if how == "done" {
            self.judge.finish(task);
        }
        true
    }
}
