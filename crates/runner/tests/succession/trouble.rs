//! Random courses: series of troubles that overlap, while jobs arrive.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::shape::Shape;
use super::{Course, ENTRIES, NODES, Peer, peer_name};

/// Time until an entry that hands over has ended.
const SHUTDOWN_MS: u64 = 300;
/// How long the system may take to end all jobs after the last trouble.
const RECOVERY_MS: u64 = 60_000;
/// Calls that are late reach a worker within this time.
const LATE_CALL_MS: u64 = 5000;
/// The same for calls of entries to the table, and for heartbeats.
const LATE_MS: u64 = 4000;
/// Longer than any course.
const GONE_MS: u64 = 3_600_000;
/// The longest suspension of a process that is without processor time.
const STARVED_MS: u64 = 1200;

/// A course: what happens, and when, from the start of the simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub events: Vec<(u64, Event)>,
    /// When the last trouble is over.
    pub end: u64,
    /// Reads of all rows return rows that are up to this many versions old.
    pub stale_versions: u64,
    /// The most ends that a worker lists at a time; as the platform's if none.
    pub max_listed_ends: Option<usize>,
    /// Steps of each job, each of which waits for the one before.
    pub steps: u32,
}

/// The entry that owns at that time, or one entry.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    Owner,
    Entry(usize),
}

/// Something that happens to the system; `ms` is for how long.
#[derive(Clone, Debug)]
pub enum Event {
    Job {
        entry: usize,
        count: u32,
        accelerators: u64,
        gang: bool,
        duration: u64,
    },
    Freeze {
        target: Target,
        ms: u64,
        decides: bool,
    },
    Kill {
        target: Target,
        ms: u64,
    },
    ShutDown {
        target: Target,
        ms: u64,
    },
    CutFromTable {
        target: Target,
        ms: u64,
    },
    TableRefuses {
        target: Target,
        ms: u64,
    },
    TableSlow {
        target: Target,
        ms: u64,
    },
    RepliesLost {
        target: Target,
        ms: u64,
    },
    FeedStalled {
        target: Target,
        ms: u64,
    },
    TableSilent {
        ms: u64,
    },
    HistoryLost,
    /// `to_entry` is the direction in which frames are held back; none for both.
    Cut {
        target: Target,
        peer: Peer,
        to_entry: Option<bool>,
        ms: u64,
    },
    /// All processes are without processor time, one after another.
    Starve {
        ms: u64,
    },
    FreezeAgent {
        node: usize,
        ms: u64,
    },
    RestartAgent {
        node: usize,
        ms: u64,
    },
    CallsLost {
        node: usize,
        ms: u64,
    },
    CallRepliesLost {
        node: usize,
        ms: u64,
    },
    CallsLate {
        node: usize,
        ms: u64,
    },
    CallsBroken {
        node: usize,
        ms: u64,
    },
    Busy {
        node: usize,
        ms: u64,
    },
    Hang {
        node: usize,
        ms: u64,
    },
    ReportsLate {
        node: usize,
        ms: u64,
    },
    Crash {
        node: usize,
        ms: u64,
    },
    Drain {
        node: usize,
        remaining: u64,
        ms: u64,
    },
    /// A job of several shapes.
    Submit {
        entry: usize,
        shape: Shape,
    },
    /// The worker refuses starts for want of room.
    RefuseStarts {
        node: usize,
        ms: u64,
    },
    /// The worker that last started a run crashes.
    CrashNewest {
        ms: u64,
    },
    /// A worker and its agent are gone for good; their connections are closed or not.
    Gone {
        node: usize,
        closes: bool,
    },
    /// So many percent of the runs that start at the worker fail.
    Failures {
        node: usize,
        percent: u32,
    },
    /// An entry is gone for good, with its connections open.
    EntryGone {
        target: Target,
    },
    /// The time of day of an entry steps by `ms`.
    StepClock {
        target: Target,
        ms: i64,
    },
}

impl Event {
    /// For how long the event disturbs the system; none for jobs and for tasks that fail.
    pub fn disturbance(&self) -> Option<u64> {
        match *self {
            Event::Job { .. } | Event::Submit { .. } | Event::Failures { .. } => None,
            Event::HistoryLost
            | Event::StepClock { .. }
            | Event::Gone { .. }
            | Event::EntryGone { .. } => Some(0),
            Event::Freeze { ms, .. }
            | Event::Kill { ms, .. }
            | Event::TableRefuses { ms, .. }
            | Event::TableSlow { ms, .. }
            | Event::FeedStalled { ms, .. }
            | Event::Cut { ms, .. }
            | Event::FreezeAgent { ms, .. }
            | Event::RestartAgent { ms, .. }
            | Event::CallsLost { ms, .. }
            | Event::CallRepliesLost { ms, .. }
            | Event::CallsBroken { ms, .. }
            | Event::Busy { ms, .. }
            | Event::Hang { ms, .. }
            | Event::RefuseStarts { ms, .. }
            | Event::Crash { ms, .. }
            | Event::CrashNewest { ms } => Some(ms),
            Event::ShutDown { ms, .. } => Some(SHUTDOWN_MS + ms),
            Event::Starve { ms } => Some(ms + STARVED_MS),
            Event::CallsLate { ms, .. } => Some(ms + LATE_CALL_MS),
            Event::CutFromTable { ms, .. }
            | Event::RepliesLost { ms, .. }
            | Event::TableSilent { ms }
            | Event::ReportsLate { ms, .. } => Some(ms + LATE_MS),
            Event::Drain { remaining, ms, .. } => Some(remaining + ms),
        }
    }
}

impl Plan {
    /// Draws the course of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let length = rng.random_range(30_000..60_000);
        let mut events = Vec::new();
        let mut at = 2000;
        while at < length {
            events.push((at, draw_job(&mut rng)));
            at += rng.random_range(20..900);
        }
        let mut at = 4000 + rng.random_range(0..4000);
        while at < length {
            let mut time = at;
            for _ in 0..rng.random_range(2..9) {
                draw_trouble(&mut rng, time, &mut events);
                time += rng.random_range(0..1200);
            }
            at = time + rng.random_range(500..7000);
        }
        events.sort_by_key(|(at, _)| *at);
        let stale_versions = if rng.random_bool(0.2) { rng.random_range(1..40) } else { 0 };
        Plan { seed, events, end: length + 10_000, stale_versions, max_listed_ends: None, steps: 1 }
    }

    /// Plays the course. Returns violations of the rule and jobs that have not ended, with the log;
    /// empty if there are none.
    pub fn play(&self) -> String {
        let mut course = Course::new(self.seed);
        course.stale_versions = self.stale_versions;
        course.steps = self.steps;
        for node in &mut course.nodes {
            if let Some(count) = self.max_listed_ends {
                node.worker.max_listed_ends = count;
            }
        }
        let start = course.now;
        let mut kills: Vec<(u64, usize, u64)> = Vec::new();
        let mut events = self.events.iter().peekable();
        loop {
            let time = course.now - start;
            while let Some((_, event)) = events.next_if(|(at, _)| *at <= time) {
                course.log(format!("-- {event:?}"));
                course.happen(event, &mut kills);
            }
            let now = course.now;
            for (_, entry, ms) in kills.extract_if(.., |(at, _, _)| *at <= now) {
                course.kill_entry(entry, ms);
            }
            course.step();
            let unfinished = time >= self.end && time % 500 < 10 && !course.has_ended_all();
            if !course.audit.violations.is_empty() && time >= self.end {
                return course.report();
            }
            if time >= self.end && time % 500 < 10 && !unfinished {
                return course.report();
            }
            if time >= self.end + RECOVERY_MS {
                let open = course.open_jobs();
                course.audit.violations.push(format!("jobs that have not ended: {open:?}"));
                return course.report();
            }
        }
    }
}

fn draw_job(rng: &mut StdRng) -> Event {
    let entry = rng.random_range(0..ENTRIES);
    let duration = rng.random_range(300..6000);
    let (count, accelerators, gang) = match rng.random_range(0..10) {
        0 => (rng.random_range(7..10), 8, false),
        1 => (rng.random_range(2..5), 8, true),
        2 => (rng.random_range(2..8), 4, true),
        3 | 4 => (rng.random_range(2..6), 2, false),
        _ => (1, rng.random_range(1..6), false),
    };
    Event::Job { entry, count, accelerators, gang, duration }
}

pub fn draw_target(rng: &mut StdRng) -> Target {
    match rng.random_bool(0.6) {
        true => Target::Owner,
        false => Target::Entry(rng.random_range(0..ENTRIES)),
    }
}

/// Draws one trouble, or several that belong together.
fn draw_trouble(rng: &mut StdRng, at: u64, events: &mut Vec<(u64, Event)>) {
    let target = draw_target(rng);
    let node = rng.random_range(0..NODES);
    let short = rng.random_range(300..3500);
    let long = rng.random_range(1000..9000);
    let to_entry = [None, Some(true), Some(false)][rng.random_range(0..3)];
    let event = match rng.random_range(0..28) {
        0 | 1 => Event::Freeze { target, ms: rng.random_range(500..9000), decides: true },
        2 => Event::Freeze { target, ms: rng.random_range(500..9000), decides: false },
        3 => Event::Kill { target, ms: short },
        4 => Event::ShutDown { target, ms: short },
        5 | 6 => Event::CutFromTable { target, ms: long },
        7 => Event::TableRefuses { target, ms: long },
        8 => Event::TableSlow { target, ms: long },
        9 => Event::RepliesLost { target, ms: long },
        10 => Event::FeedStalled { target, ms: long },
        11 => Event::TableSilent { ms: short },
        12 => Event::HistoryLost,
        13 | 14 => {
            for number in 0..NODES {
                if rng.random_bool(0.5) {
                    let peer = Peer::Node(number);
                    events.push((at, Event::Cut { target, peer, to_entry, ms: long }));
                }
            }
            return;
        }
        15 => {
            for number in 0..ENTRIES {
                let peer = Peer::Entry(number);
                events.push((at, Event::Cut { target, peer, to_entry, ms: long }));
            }
            return;
        }
        16 => Event::Cut { target, peer: Peer::Node(node), to_entry, ms: long },
        17 => Event::FreezeAgent { node, ms: long },
        18 => Event::RestartAgent { node, ms: short },
        19 => Event::CallsLost { node, ms: long },
        20 => Event::CallRepliesLost { node, ms: long },
        21 => Event::CallsLate { node, ms: long },
        22 => Event::CallsBroken { node, ms: short },
        23 => match rng.random_bool(0.5) {
            true => Event::Busy { node, ms: long },
            false => Event::ReportsLate { node, ms: long },
        },
        24 => Event::Hang { node, ms: rng.random_range(300..7000) },
        25 => Event::Crash { node, ms: short },
        26 => Event::Starve { ms: long },
        _ => Event::Drain { node, remaining: rng.random_range(200..4000), ms: short },
    };
    events.push((at, event));
}

impl Course {
    fn resolve(&self, target: Target) -> usize {
        match target {
            Target::Owner => self.owners().into_iter().next().unwrap_or(0),
            Target::Entry(number) => number,
        }
    }

    pub(super) fn happen(&mut self, event: &Event, kills: &mut Vec<(u64, usize, u64)>) {
        let now = self.now;
        match *event {
            Event::Job { entry, count, accelerators, gang, duration } => {
                // The load is the same for any number of steps.
                let duration = duration / u64::from(self.steps);
                self.durations = (duration.min(300), duration);
                if self.entries[entry].is_up(now) && !self.entries[entry].closing {
                    let shape = Shape::of_step(count, accelerators, gang);
                    self.submit_shape(entry, &Shape { steps: self.steps, ..shape });
                }
            }
            Event::Freeze { target, ms, decides } => {
                let number = self.resolve(target);
                if self.entries[number].is_up(now) {
                    self.freeze_entry(number, ms, decides);
                }
            }
            Event::Kill { target, ms } => self.kill_entry(self.resolve(target), ms),
            Event::ShutDown { target, ms } => {
                let number = self.resolve(target);
                if self.entries[number].is_up(now) {
                    self.shut_down(number);
                    kills.push((now + SHUTDOWN_MS, number, ms));
                }
            }
            Event::CutFromTable { target, ms } => {
                self.troubles[self.resolve(target)].cut_until = now + ms;
            }
            Event::TableRefuses { target, ms } => {
                self.troubles[self.resolve(target)].refuses_until = now + ms;
            }
            Event::TableSlow { target, ms } => {
                self.troubles[self.resolve(target)].slow_until = now + ms;
            }
            Event::RepliesLost { target, ms } => {
                self.troubles[self.resolve(target)].loses_replies_until = now + ms;
            }
            Event::FeedStalled { target, ms } => {
                self.troubles[self.resolve(target)].feed_stalled_until = now + ms;
            }
            Event::TableSilent { ms } => self.silent_until = now + ms,
            Event::HistoryLost => self.table.compacted = self.table.version,
            Event::Cut { target, peer, to_entry, ms } => {
                let (number, name) = (self.resolve(target), peer_name(peer));
                match to_entry {
                    _ if peer == Peer::Entry(number) => {}
                    None => self.cut(number, &name, now + ms),
                    Some(to_entry) => self.cut_one_way(number, &name, to_entry, now + ms),
                }
            }
            Event::Starve { ms } => self.starved_until = now + ms,
            Event::FreezeAgent { node, ms } => self.nodes[node].frozen_until = now + ms,
            Event::RestartAgent { node, ms } => {
                self.restart_agent(node);
                self.nodes[node].frozen_until = now + ms;
            }
            Event::CallsLost { node, ms } => self.nodes[node].trouble.lost_until = now + ms,
            Event::CallRepliesLost { node, ms } => {
                self.nodes[node].trouble.replies_lost_until = now + ms;
            }
            Event::CallsLate { node, ms } => self.nodes[node].trouble.late_until = now + ms,
            Event::CallsBroken { node, ms } => self.nodes[node].trouble.broken_until = now + ms,
            Event::Busy { node, ms } => self.nodes[node].trouble.busy_until = now + ms,
            Event::Hang { node, ms } => self.nodes[node].trouble.hung_until = now + ms,
            Event::ReportsLate { node, ms } => {
                self.nodes[node].trouble.late_reports_until = now + ms;
            }
            Event::Crash { node, ms } => self.nodes[node].crash_worker(ms, &mut self.audit, now),
            Event::Drain { node, remaining, ms } => {
                self.nodes[node].drain_worker(remaining, ms, now);
            }
            Event::Submit { entry, ref shape } => {
                if self.entries[entry].is_up(now) && !self.entries[entry].closing {
                    self.submit_shape(entry, shape);
                }
            }
            Event::RefuseStarts { node, ms } => {
                self.nodes[node].trouble.refuses_starts_until = now + ms;
            }
            Event::CrashNewest { ms } => {
                let newest = self.nodes.iter_mut().max_by_key(|node| node.worker.last_start_at());
                if let Some(node) = newest {
                    node.crash_worker(ms, &mut self.audit, now);
                }
            }
            Event::Gone { node, closes } => {
                if closes {
                    self.restart_agent(node);
                }
                self.nodes[node].crash_worker(GONE_MS, &mut self.audit, now);
                self.nodes[node].frozen_until = now + GONE_MS;
            }
            Event::Failures { node, percent } => {
                self.nodes[node].worker.failure_percent = percent;
            }
            Event::EntryGone { target } => {
                let number = self.resolve(target);
                self.freeze_entry(number, GONE_MS, true);
            }
            Event::StepClock { target, ms } => self.clock_offsets[self.resolve(target)] += ms,
        }
    }

    /// Jobs in the table that have not ended.
    fn open_jobs(&self) -> Vec<String> {
        self.table.open_jobs()
    }

    fn has_ended_all(&self) -> bool {
        self.open_jobs().is_empty()
    }
}
