//! Tasks that crash their workers beside sound ones, while workers also restart for other reasons,
//! agents and owners end, the table takes no writes and operators evacuate availability zones.

mod simulation;

use std::collections::BTreeMap;

use quincewheel_job::{Evacuation, State};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use simulation::{Behavior, Simulation, gang, job};

/// Workers, of which each zone has a half.
const WORKERS: usize = 6;
/// Time from the start of a crashing task to the crash, in milliseconds.
const CRASH_DELAY_MS: u64 = 10;
/// Longest downtime of a worker that restarts, in milliseconds.
const MAX_DOWNTIME_MS: u64 = 1500;
/// Duration of a course, in milliseconds.
const DURATION_MS: u64 = 20_000;
/// Step of the clock, in milliseconds.
const STEP_MS: u64 = 10;
/// A job may start this often after its third crash.
const MAX_STARTS_AFTER_CRASHES: u64 = 2;
/// Jobs that crash each worker that starts them, a task and a gang.
const CRASHING_JOBS: [&str; 2] = ["bad", "bad-gang"];
const SOUND_JOBS: [&str; 5] = ["a", "b", "c", "gang-a", "gang-b"];

/// What goes wrong in a course beside the crashing tasks: the mean time between two such events, in
/// milliseconds; none if it does not happen.
#[derive(Clone, Copy, Default)]
struct Trouble {
    /// Restarts of each worker.
    workers: Option<u64>,
    /// Restarts of each agent.
    agents: Option<u64>,
    /// Changes of owner.
    owners: Option<u64>,
    /// Outages of the table.
    table: Option<u64>,
    /// An agent and the owner end this long after the agent's worker has crashed, in milliseconds.
    witnesses: Option<u64>,
    /// Evacuations of a zone, which leave three workers.
    evacuations: Option<u64>,
    /// Agents learn of a broken connection at most this late, in milliseconds.
    notice_delay: u64,
}

/// One course.
struct Course {
    simulation: Simulation,
    random: StdRng,
    trouble: Trouble,
    epoch: u64,
    /// When each worker that is down is up again, and when its agent learns that it is down.
    down: BTreeMap<usize, (u64, Option<u64>)>,
    /// When agents and the owner end because they know of a crash.
    witness_ends: Vec<(u64, usize)>,
    table_back_at: u64,
    zone_back_at: u64,
    /// Starts of each crashing job, and those of them after its third crash.
    starts: BTreeMap<String, (u64, u64)>,
    /// Runs that have been counted: worker, start time, task and number.
    counted: Vec<(usize, u64, String, u64)>,
}

impl Course {
    fn new(seed: u64, trouble: Trouble) -> Course {
        let mut simulation = Simulation::new(1, WORKERS);
        simulation.step = STEP_MS;
        simulation.accepts_records = true;
        simulation.run_duration = Some(1200);
        for number in 0..WORKERS {
            simulation.nodes[number].zone = format!("z{}", number * 2 / WORKERS);
            simulation.send_heartbeat(number);
            simulation.connect(number);
        }
        for (name, version) in SOUND_JOBS.iter().chain(&CRASHING_JOBS).zip(150..) {
            let job = if name.contains("gang") { gang(2) } else { job(2) };
            simulation.submit(name, job, version);
        }
        Course {
            simulation,
            random: StdRng::seed_from_u64(seed),
            trouble,
            epoch: 1,
            down: BTreeMap::new(),
            witness_ends: Vec::new(),
            table_back_at: 0,
            zone_back_at: 0,
            starts: BTreeMap::new(),
            counted: Vec::new(),
        }
    }

    /// Returns whether an event with this mean interval happens in this step.
    fn happens(&mut self, interval: Option<u64>) -> bool {
        interval.is_some_and(|interval| self.random.random_range(0..interval / STEP_MS) == 0)
    }

    /// Restarts a worker, and lets its agent learn of it some time later.
    fn restart_worker(&mut self, number: usize, downtime: u64) {
        let now = self.simulation.now;
        let delay = self.random.random_range(0..=self.trouble.notice_delay);
        self.simulation.restart_worker(number);
        let node = &mut self.simulation.nodes[number];
        node.behavior = Behavior::Down;
        node.notice_delay = delay;
        self.down.insert(number, (now + downtime, Some(now + delay)));
    }

    /// Brings back the workers that are due.
    fn continue_restarts(&mut self) {
        let now = self.simulation.now;
        for (number, (up_at, noticed_at)) in self.down.clone() {
            if noticed_at.is_some_and(|at| now >= at) || now >= up_at {
                self.simulation.break_calls(number);
                self.down.insert(number, (up_at, None));
            }
            if now >= up_at {
                self.down.remove(&number);
                self.simulation.nodes[number].behavior = Behavior::Healthy;
                self.simulation.send_heartbeat(number);
            }
        }
    }

    /// Counts starts of crashing jobs, and crashes the workers that run them.
    fn crash_workers(&mut self) {
        let now = self.simulation.now;
        for number in 0..WORKERS {
            let starts = self.simulation.nodes[number].prompt_starts.clone();
            let bad = |task: &str| CRASHING_JOBS.contains(&task);
            let mut crashes = false;
            for (task, run, at) in starts.into_iter().filter(|(task, ..)| bad(&task.job)) {
                // The first member of a gang is the one that crashes its worker.
                let key = (number, at, task.to_string(), run);
                if task.index > 0 || now < at + CRASH_DELAY_MS || self.counted.contains(&key) {
                    continue;
                }
                self.counted.push(key);
                let (starts, late) = self.starts.entry(task.job).or_default();
                *starts += 1;
                *late += u64::from(*starts > 3);
                crashes = true;
            }
            if crashes {
                self.restart_worker(number, MAX_DOWNTIME_MS);
                self.witness_ends.extend(self.trouble.witnesses.map(|ms| (now + ms, number)));
            }
        }
    }

    fn change_owner(&mut self) {
        self.epoch += 1;
        self.simulation.take_over(self.epoch);
    }

    fn step(&mut self) {
        let trouble = self.trouble;
        for number in 0..WORKERS {
            if !self.down.contains_key(&number) && self.happens(trouble.workers) {
                let downtime = self.random.random_range(20..MAX_DOWNTIME_MS);
                self.restart_worker(number, downtime);
            }
            if self.happens(trouble.agents) {
                self.simulation.restart_agent(number);
            }
        }
        let now = self.simulation.now;
        if self.happens(trouble.table) {
            self.table_back_at = now + self.random.random_range(500..3000);
        }
        self.simulation.accepts_records = now >= self.table_back_at;
        if self.simulation.accepts_records && self.happens(trouble.owners) {
            self.change_owner();
        }
        let ends: Vec<(u64, usize)> =
            self.witness_ends.extract_if(.., |(at, _)| now >= *at).collect();
        for (_, number) in ends {
            self.simulation.restart_agent(number);
            self.change_owner();
        }
        if self.happens(trouble.evacuations) {
            let zone = format!("z{}", self.random.random_range(0..2));
            self.simulation.evacuation.add(&zone);
            self.zone_back_at = now + self.random.random_range(2000..9000);
        }
        if now >= self.zone_back_at {
            self.simulation.evacuation = Evacuation::default();
        }
        self.continue_restarts();
        self.simulation.advance(STEP_MS);
        self.crash_workers();
    }

    /// Plays the course, and returns what was wrong.
    fn play(mut self) -> Vec<String> {
        for _ in 0..DURATION_MS / STEP_MS {
            self.step();
        }
        let late = self.starts.iter().filter(|(_, starts)| starts.1 > MAX_STARTS_AFTER_CRASHES);
        let late = late.map(|(job, (starts, _))| format!("{job} started {starts} times"));
        let failed = SOUND_JOBS.iter().filter(|name| self.simulation.state(name) == State::Failed);
        late.chain(failed.map(|name| format!("{name} was given up"))).collect()
    }
}

/// Plays courses, and returns what was wrong in any of them.
fn play(seeds: std::ops::Range<u64>, trouble: Trouble) -> Vec<String> {
    let wrong = |seed: u64| {
        let found = Course::new(seed, trouble).play();
        found.into_iter().map(move |found| format!("seed {seed}: {found}"))
    };
    seeds.flat_map(wrong).collect()
}

// A task was started a third time after its third crash, as its agent learned of crashes late.
#[test]
fn crashing_tasks_are_given_up_although_agents_learn_of_crashes_late() {
    let trouble = Trouble { notice_delay: 600, ..Trouble::default() };
    assert_eq!(play(0..30, trouble), Vec::<String>::new());
}

// Sound tasks were given up, as their workers happened to restart just after their starts.
#[test]
fn sound_tasks_are_not_given_up_where_workers_restart_all_the_time() {
    let trouble = Trouble {
        workers: Some(4000),
        evacuations: Some(6000),
        notice_delay: 100,
        ..Trouble::default()
    };
    assert_eq!(play(0..50, trouble), Vec::<String>::new());
}

// Crashes were forgotten with the owner and the agent that knew of them.
#[test]
fn crashes_count_although_owners_and_agents_end() {
    let trouble = Trouble {
        agents: Some(5000),
        owners: Some(5000),
        witnesses: Some(500),
        notice_delay: 100,
        ..Trouble::default()
    };
    assert_eq!(play(0..30, trouble), Vec::<String>::new());
}

// The same while the table takes no writes for seconds.
#[test]
fn crashes_count_although_the_table_takes_no_writes() {
    let trouble =
        Trouble { owners: Some(4000), table: Some(3000), notice_delay: 100, ..Trouble::default() };
    assert_eq!(play(0..30, trouble), Vec::<String>::new());
}

// All at once.
#[test]
fn crashes_are_told_from_restarts_through_all_kinds_of_trouble() {
    let trouble = Trouble {
        workers: Some(5000),
        agents: Some(8000),
        owners: Some(6000),
        table: Some(6000),
        witnesses: None,
        evacuations: Some(8000),
        notice_delay: 200,
    };
    assert_eq!(play(0..30, trouble), Vec::<String>::new());
}
