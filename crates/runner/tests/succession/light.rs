//! Random courses of light load, with troubles that end: accepted work does not stand beside free
//! workers in calm times.

use std::collections::BTreeMap;

use quincewheel_dispatch::Settings;
use quincewheel_job::{Resources, Task};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::shape::Shape;
use super::standing::{JobView, Rows, STANDING_LIMIT_MS, Standing, View, Violation, WorkerView};
use super::trouble::{Event, Target, draw_target};
use super::{Course, ENTRIES, Peer};

/// Time of day at the start.
const WALL_BASE_MS: u64 = 1_000_000_000;
/// Time between two checks.
const CHECK_INTERVAL_MS: u64 = 50;
/// When the rule is judged after the end of submissions and troubles, where only the end counts.
const FINISH_MS: u64 = 14_000;
/// How long a course goes on after its last event.
const TAIL_MS: u64 = 40_000;
const SMALL_POOL: usize = 6;

/// What a course leaves out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Without {
    pub silences: bool,
    pub clock_steps: bool,
    pub failures: bool,
    pub racks: bool,
    pub crashes: bool,
    /// Workers that are gone for good.
    pub departures: bool,
}

impl Without {
    /// Reads names that are separated by commas.
    pub fn parse(names: &str) -> Without {
        let has = |name: &str| names.split(',').any(|known| known == name);
        Without {
            silences: has("silences"),
            clock_steps: has("steps"),
            failures: has("failures"),
            racks: has("racks"),
            crashes: has("crashes"),
            departures: has("departures"),
        }
    }
}

/// When the rule is judged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Judged {
    /// In all calm times.
    Always,
    /// From [`FINISH_MS`] after the last event on.
    AtEnd,
}

/// A course of light load.
#[derive(Clone, Debug)]
pub struct Light {
    pub seed: u64,
    pub nodes: usize,
    pub judged: Judged,
    pub limit: u64,
    /// Share of the runs that fail, in percent.
    pub failure_percent: u32,
    pub in_racks: bool,
    /// The longest time that a run takes.
    pub longest_run: u64,
    pub events: Vec<(u64, Event)>,
}

/// What a course has shown.
#[derive(Debug, Default)]
pub struct Outcome {
    pub violation: Option<Violation>,
    /// The owner's last line about the wait.
    pub wait: String,
    pub lines: Vec<String>,
    /// How long the rule was judged, and how long of that jobs were open.
    pub judged_ms: u64,
    pub busy_ms: u64,
    pub starts: usize,
}

impl Outcome {
    /// The cause of the wait by the owner's last line; none if there is no violation.
    pub fn kind(&self) -> Option<String> {
        self.violation.as_ref()?;
        let cause = self.wait.split(" ms: ").nth(1).and_then(|rest| rest.split(':').next());
        Some(cause.unwrap_or("no line").to_owned())
    }

    /// The violation, the owner's last line about the job, and the events; empty if there is none.
    pub fn report(&self) -> String {
        let Some(Violation { job, since, until }) = &self.violation else { return String::new() };
        let first = format!("{job} stood from {since} to {until}: {}", self.wait);
        let is_event = |line: &&String| line.contains(" -- ");
        let mut lines = vec![first];
        lines.extend(self.lines.iter().filter(is_event).cloned());
        lines.join("\n")
    }
}

impl Light {
    /// Draws the course of a seed.
    pub fn draw(seed: u64, without: Without) -> Light {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = if seed.is_multiple_of(3) { rng.random_range(20..28) } else { SMALL_POOL };
        let judged = if rng.random_bool(0.3) { Judged::AtEnd } else { Judged::Always };
        let failing = !without.failures && rng.random_bool(0.4);
        let failure_percent = if failing { rng.random_range(5..40) } else { 0 };
        let in_racks = !without.racks && rng.random_bool(0.5);
        let length = rng.random_range(30_000..70_000);
        let mut events = Vec::new();
        // Frequent events cause rounds of planning that hide a round that is missing.
        let sparsity = [1, 1, 3, 10][rng.random_range(0..4)];
        let gap = sparsity * 14_000 / nodes as u64;
        let longest_run = rng.random_range(500..6000);
        let mut at = 2000;
        while at < length {
            let entry = rng.random_range(0..ENTRIES);
            let shape = draw_shape(&mut rng, in_racks);
            events.push((at, Event::Submit { entry, shape }));
            at += rng.random_range(gap / 4..gap);
        }
        let mut at = 4000 + rng.random_range(0..6000);
        while at < length {
            let mut time = at;
            let most = if judged == Judged::AtEnd { 8 } else { 4 };
            for _ in 0..rng.random_range(1..=most) {
                draw_trouble(&mut rng, time, nodes, without, &mut events);
                time += rng.random_range(0..1500);
            }
            at = time + rng.random_range(9000..18_000);
        }
        for _ in 0..nodes / 2 {
            let entry = rng.random_range(0..ENTRIES);
            let shape = draw_long_shape(&mut rng);
            events.push((length - rng.random_range(0..4000), Event::Submit { entry, shape }));
        }
        events.sort_by_key(|(at, _)| *at);
        let limit = STANDING_LIMIT_MS;
        let mut light =
            Light { seed, nodes, judged, limit, failure_percent, in_racks, longest_run, events };
        if judged == Judged::AtEnd {
            light.events.retain(|(at, _)| *at <= length);
        }
        light
    }

    /// Plays the course up to the first violation, or to its end.
    pub fn play(&self) -> Outcome {
        let mut course = Course::with_nodes(self.seed, self.nodes);
        course.wall_base = WALL_BASE_MS;
        course.settings = settings();
        course.durations = (200, self.longest_run);
        for node in &mut course.nodes {
            node.worker.failure_percent = self.failure_percent;
            node.worker.in_racks = self.in_racks;
        }
        let start = course.now;
        let mut kills: Vec<(u64, usize, u64)> = Vec::new();
        let mut events = self.events.iter().peekable();
        let last = self.events.last().map_or(0, |(at, _)| *at);
        let mut troubled_until = start;
        let mut rows = Rows::default();
        let mut standing = Standing::default();
        let mut outcome = Outcome::default();
        while course.now < start + last + TAIL_MS {
            let time = course.now - start;
            while let Some((_, event)) = events.next_if(|(at, _)| *at <= time) {
                course.log(format!("-- {event:?}"));
                course.happen(event, &mut kills);
                if let Some(lasts) = event.disturbance() {
                    troubled_until = troubled_until.max(course.now + lasts);
                }
            }
            let now = course.now;
            for (_, entry, ms) in kills.extract_if(.., |(at, _, _)| *at <= now) {
                course.kill_entry(entry, ms);
            }
            course.step();
            let ended = last + FINISH_MS;
            let judged = self.judged == Judged::Always || time >= ended;
            if !judged || !time.is_multiple_of(CHECK_INTERVAL_MS) {
                continue;
            }
            rows.follow(&course.table);
            let view = course.view(&rows, troubled_until);
            if view.is_judged() {
                outcome.judged_ms += CHECK_INTERVAL_MS;
                let waiting = view.jobs.values().any(|job| !job.over);
                outcome.busy_ms += u64::from(waiting) * CHECK_INTERVAL_MS;
            }
            outcome.violation = standing.observe(&view, self.limit).into_iter().next();
            let done = time >= ended && view.jobs.values().all(|job| job.over);
            if outcome.violation.is_some() || done {
                break;
            }
        }
        outcome.starts = course.audit.starts;
        outcome.lines = course.lines;
        if let Some(violation) = &outcome.violation {
            let time = |line: &str| line.split(' ').next().and_then(|at| at.parse().ok());
            let about = |line: &&String| {
                line.contains(" waits ")
                    && line.contains(&violation.job)
                    && time(line).is_some_and(|at: u64| at >= violation.since)
            };
            outcome.wait = outcome.lines.iter().rfind(about).cloned().unwrap_or_default();
        }
        outcome
    }
}

/// The settings that an entry has unless it is told others.
fn settings() -> Settings {
    Settings {
        claim_after: 2000,
        doubt: 10_000,
        uneven_percent: 10,
        share_half_life: 10_000,
        ..Settings::default()
    }
}

impl Course {
    /// What the rule is judged by.
    fn view(&self, rows: &Rows, troubled_until: u64) -> View {
        let mut jobs: BTreeMap<String, JobView> = BTreeMap::new();
        for (id, (job, progress)) in &rows.jobs {
            let done = |task: &Task| progress.is_done(task) || self.audit.is_noted(task);
            let done = tasks_of(id, job).into_iter().filter(done).collect();
            let job = job.clone();
            jobs.insert(id.clone(), JobView { job, over: false, done, running: false });
        }
        let mut workers = Vec::new();
        let mut restarted_at = 0;
        for node in &self.nodes {
            let identity = node.worker.identity();
            let mut used = Resources::default();
            for task in node.worker.running_tasks() {
                let Some(job) = jobs.get_mut(&task.job) else { continue };
                job.running = true;
                if let Some(step) = job.job.steps.get(task.step as usize) {
                    used.add(&step.resources());
                }
            }
            for task in node.worker.done_tasks() {
                if let Some(job) = jobs.get_mut(&task.job) {
                    job.done.insert(task.clone());
                }
            }
            restarted_at = restarted_at.max(node.worker.started_at);
            workers.push(WorkerView {
                pool: identity.pool,
                labels: identity.labels,
                capacity: identity.capacity,
                used,
                open: node.takes_starts(self.now),
            });
        }
        // An occurrence is due once it is so by the true time and by the owner's clock.
        let wall = self.owners().into_iter().map(|owner| self.wall(owner)).min();
        let wall = wall.unwrap_or_default().min(self.true_time());
        let troubled_until = troubled_until.max(restarted_at);
        View { now: self.now, wall, troubled_until, jobs, workers }
    }
}

fn tasks_of(id: &str, job: &quincewheel_job::Job) -> Vec<Task> {
    let mut tasks = Vec::new();
    for occurrence in 0..job.occurrences() {
        for (number, step) in (0u32..).zip(&job.steps) {
            let task = |index: u32| Task { job: id.to_owned(), occurrence, step: number, index };
            tasks.extend((0..step.count).map(task));
        }
    }
    tasks
}

fn draw_shape(rng: &mut StdRng, in_racks: bool) -> Shape {
    let single = Shape::of_step(1, rng.random_range(1..5), false);
    let shape = match rng.random_range(0..14) {
        0 => Shape::of_step(2, 4, true),
        1 => Shape::of_step(rng.random_range(2..5), 2, true),
        2 => Shape { same_rack: in_racks, ..Shape::of_step(2, 2, true) },
        3 => Shape { rare: true, ..Shape::of_step(1, 2, false) },
        4 => Shape { rare: true, ..Shape::of_step(2, 1, false) },
        5 => Shape { per_worker: 1, ..Shape::of_step(2, 2, rng.random_bool(0.5)) },
        6 => Shape::of_step(rng.random_range(2..6), 1, false),
        7 | 8 => Shape { steps: rng.random_range(2..6), ..single },
        9 => Shape { steps: 3, ..Shape::of_step(2, 2, rng.random_bool(0.5)) },
        10 | 11 => {
            let every = rng.random_range(1500..6000);
            let delay = rng.random_range(0..5000);
            Shape { schedule: Some((rng.random_range(2..9), delay, every)), ..single }
        }
        _ => single,
    };
    let attempts = if rng.random_bool(0.5) { 2 } else { 4 };
    let (team, priority) = (rng.random_range(0..3), rng.random_range(0..3));
    Shape { attempts, team, priority, ..shape }
}

/// Draws the shape of a job that still has tasks to start long after the last event.
fn draw_long_shape(rng: &mut StdRng) -> Shape {
    let (count, gang) = (rng.random_range(1..3), rng.random_bool(0.3));
    let shape = Shape::of_step(count, rng.random_range(1..4), gang);
    let (team, attempts) = (rng.random_range(0..3), rng.random_range(2..4));
    let shape = Shape { attempts, team, rare: rng.random_bool(0.2), ..shape };
    if rng.random_bool(0.4) {
        return Shape { steps: rng.random_range(4..12), ..shape };
    }
    let schedule = (rng.random_range(1..4), rng.random_range(12_000..32_000), 5000);
    Shape { schedule: Some(schedule), steps: rng.random_range(1..3), ..shape }
}

/// Draws one trouble, or several that belong together.
fn draw_trouble(
    rng: &mut StdRng,
    at: u64,
    nodes: usize,
    without: Without,
    events: &mut Vec<(u64, Event)>,
) {
    let target = draw_target(rng);
    let node = rng.random_range(0..nodes);
    let short = rng.random_range(300..3500);
    let long = rng.random_range(1000..9000);
    let suspended = rng.random_range(400..13_000);
    let to_entry = [None, Some(true), Some(false)][rng.random_range(0..3)];
    let peer = Peer::Node(node);
    let some: Vec<usize> = (0..nodes).filter(|_| rng.random_bool(0.4)).collect();
    let kind = rng.random_range(0..38);
    let all = |events: &mut Vec<(u64, Event)>, event: &dyn Fn(usize) -> Event| {
        events.extend(some.iter().map(|node| (at, event(*node))));
    };
    let event = match kind {
        0 | 1 => Event::Freeze { target, ms: suspended, decides: true },
        2 => Event::Freeze { target, ms: suspended, decides: false },
        3 => Event::Kill { target, ms: short },
        4 => Event::Kill { target, ms: suspended },
        5 => Event::ShutDown { target, ms: short },
        6 | 7 => Event::CutFromTable { target, ms: suspended },
        8 => Event::TableRefuses { target, ms: long },
        9 => Event::TableSlow { target, ms: long },
        10 => Event::RepliesLost { target, ms: long },
        11 => Event::FeedStalled { target, ms: long },
        12 => Event::TableSilent { ms: long },
        13 => Event::HistoryLost,
        14 => {
            return all(events, &|node| Event::Cut {
                target,
                peer: Peer::Node(node),
                to_entry,
                ms: long,
            });
        }
        15 => {
            let entries = (0..ENTRIES).map(Peer::Entry);
            events
                .extend(entries.map(|peer| (at, Event::Cut { target, peer, to_entry, ms: long })));
            return;
        }
        16 => Event::Cut { target, peer, to_entry, ms: long },
        17 => {
            let entries = (0..ENTRIES).map(Target::Entry);
            let cut = |target| (at, Event::Cut { target, peer, to_entry: None, ms: suspended });
            return events.extend(entries.map(cut));
        }
        18 => Event::FreezeAgent { node, ms: suspended },
        19 => Event::RestartAgent { node, ms: short },
        20 => Event::CallsLost { node, ms: long },
        21 => Event::CallRepliesLost { node, ms: long },
        22 => Event::CallsLate { node, ms: long },
        23 => Event::CallsBroken { node, ms: short },
        24 => Event::Busy { node, ms: long },
        25 => Event::RefuseStarts { node, ms: long },
        26 => Event::ReportsLate { node, ms: long },
        27 if !without.silences => Event::Hang { node, ms: rng.random_range(300..7000) },
        28 if !without.silences => {
            let ms = rng.random_range(3000..6000);
            return all(events, &|node| Event::Hang { node, ms });
        }
        29 if !without.crashes => match rng.random_bool(0.5) {
            true => Event::CrashNewest { ms: short },
            false => Event::Crash { node, ms: suspended },
        },
        30 => Event::Starve { ms: long },
        31 => Event::Drain { node, remaining: rng.random_range(200..4000), ms: short },
        32 | 33 if !without.clock_steps => {
            let ms = match rng.random_range(0..5) {
                0 => 3_600_000,
                _ => rng.random_range(2000..10_000),
            };
            let ms = if rng.random_bool(0.5) { ms } else { -ms };
            Event::StepClock { target, ms }
        }
        34 if !without.departures => Event::Gone { node, closes: rng.random_bool(0.5) },
        35 => {
            let ms = rng.random_range(300..6000);
            return all(events, &|node| Event::Crash { node, ms });
        }
        36 => return all(events, &|node| Event::RestartAgent { node, ms: short }),
        _ => Event::RestartAgent { node, ms: suspended },
    };
    events.push((at, event));
}
