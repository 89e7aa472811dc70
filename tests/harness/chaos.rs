use quincewheel_wire::Ask;
use rand::Rng;

use super::cluster::{Cluster, Process, put_team};
use super::table_state::TableState;
use super::{OTHER, TEAM, gang, job, ms, secs};

/// A cluster under a random, seeded schedule of load and overlapping faults.
pub struct Chaos {
    pub cluster: Cluster,
    calls: Vec<u64>,
    entries: usize,
    workers: usize,
    seed: u64,
}

impl Chaos {
    pub async fn ready(seed: u64) -> Chaos {
        let (entries, workers) = (3, 4);
        let cluster = Cluster::ready(entries, workers, seed).await;
        Chaos { cluster, calls: Vec::new(), entries, workers, seed }
    }

    /// Runs `rounds` rounds of load and faults, repairs everything and leaves
    /// time for all work to end.
    pub async fn run(&mut self, rounds: u32) {
        for round in 0..rounds {
            self.submit_load(round);
            self.inject_fault();
            let pause = self.cluster.rng.random_range(50..1500);
            self.cluster.run(ms(pause)).await;
            self.repair_some();
        }
        self.cluster.disorder_percent = 0;
        self.repair_all();
        self.cluster.run(secs(90)).await;
    }

    /// Counts the calls without an answer after everything was repaired.
    pub fn unanswered(&self) -> usize {
        self.calls.iter().filter(|call| self.cluster.answer(**call).is_none()).count()
    }

    fn submit_load(&mut self, round: u32) {
        if self.cluster.rng.random_bool(0.3) {
            let entry = self.cluster.rng.random_range(0..self.entries);
            let team = if self.cluster.rng.random_bool(0.5) { TEAM } else { OTHER };
            if self.cluster.is_alive(Process::Entry(entry)) {
                let expected =
                    self.cluster.node(entry).config().team(team).map_or(0, |row| row.version);
                self.cluster.call(entry, put_team(team, expected));
            }
        }
        for index in 0..self.cluster.rng.random_range(1..4u32) {
            let entry = self.cluster.rng.random_range(0..self.entries);
            if !self.cluster.is_alive(Process::Entry(entry)) {
                continue;
            }
            let idempotent = self.cluster.rng.random_bool(0.4);
            let work = ms(self.cluster.rng.random_range(0..3000));
            let request = format!("{}-{round}-{index}", self.seed);
            let mut work = if self.cluster.rng.random_bool(0.2) {
                gang(&request, idempotent, work, 2)
            } else {
                job(&request, idempotent, work)
            };
            work.team = if self.cluster.rng.random_bool(0.5) { TEAM } else { OTHER }.to_owned();
            work.deadline = secs(self.cluster.rng.random_range(1..30));
            work.wait = self.cluster.rng.random_bool(0.8);
            let twice = self.cluster.rng.random_bool(0.2);
            work.first = !twice;
            let call = self.cluster.submit(entry, &work);
            self.calls.push(call);
            if twice {
                // A retry at another entry while the first call is in flight.
                let other = self.cluster.rng.random_range(0..self.entries);
                if self.cluster.is_alive(Process::Entry(other)) {
                    self.cluster.submit(other, &work);
                }
            }
            if self.cluster.rng.random_bool(0.1) {
                let (team, request) = (work.team.clone(), work.request.clone());
                self.cluster.call(entry, Ask::Cancel { team, request });
            }
        }
    }

    fn inject_fault(&mut self) {
        let entry = Process::Entry(self.cluster.rng.random_range(0..self.entries));
        let agent = Process::Agent(self.cluster.rng.random_range(0..self.workers));
        match self.cluster.rng.random_range(0..15) {
            0 => self.cluster.kill(entry),
            1 => self.cluster.stop_silently(entry),
            2 => self.cluster.kill(agent),
            3 => {
                if let Process::Agent(worker) = agent {
                    self.cluster.remove_worker(worker);
                }
            }
            4 => self.cluster.freeze(entry),
            5 => self.cluster.freeze(agent),
            6 => self.cluster.partition(entry, agent),
            7 => drop(self.cluster.partitions.insert((agent, entry))),
            8 => self.cluster.table = TableState::Down,
            9 => self.cluster.table = TableState::Unresponsive,
            10 => self.cluster.table = TableState::CommitRepliesLost,
            11 => self.cluster.table = TableState::Slow(ms(700)),
            12 => self.cluster.disorder_percent = 20,
            13 => self.cluster.table = TableState::AllRepliesLost,
            _ => {}
        }
    }

    /// Repairs a random part of the faults, so that faults of several rounds
    /// overlap.
    fn repair_some(&mut self) {
        if self.cluster.rng.random_bool(0.5) {
            self.cluster.table = TableState::Up;
        }
        if self.cluster.rng.random_bool(0.5) {
            self.cluster.partitions.clear();
        }
        for process in self.processes() {
            if self.cluster.rng.random_bool(0.5) {
                self.cluster.thaw(process);
            }
            if !self.cluster.is_alive(process) && self.cluster.rng.random_bool(0.5) {
                self.cluster.start(process);
            }
        }
    }

    fn repair_all(&mut self) {
        self.cluster.table = TableState::Up;
        self.cluster.partitions.clear();
        for process in self.processes() {
            self.cluster.thaw(process);
            if !self.cluster.is_alive(process) {
                self.cluster.start(process);
            }
        }
        // Clients of a killed entry have lost their connection and get no answer.
        let open: Vec<u64> = self.calls.clone();
        self.calls = open.into_iter().filter(|call| self.cluster.is_pending(*call)).collect();
    }

    fn processes(&self) -> Vec<Process> {
        let entries = (0..self.entries).map(Process::Entry);
        entries.chain((0..self.workers).map(Process::Agent)).collect()
    }
}
