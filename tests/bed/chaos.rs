use quincewheel_wire::Ask;
use rand::Rng;

use super::table::Table;
use super::world::{Who, World, put_team};
use super::{OTHER, TEAM, gang, job, ms, secs};

/// A seeded schedule of failures under load.
pub struct Chaos {
    pub world: World,
    calls: Vec<u64>,
    entries: usize,
    workers: usize,
    seed: u64,
}

impl Chaos {
    pub async fn settled(seed: u64) -> Chaos {
        let (entries, workers) = (3, 4);
        let world = World::settled(entries, workers, seed).await;
        Chaos { world, calls: Vec::new(), entries, workers, seed }
    }

    /// Lets `rounds` rounds of load and failures happen, heals everything and
    /// gives all work time to end.
    pub async fn run(&mut self, rounds: u32) {
        for round in 0..rounds {
            self.load(round);
            self.fail();
            let pause = self.world.rng.random_range(50..1500);
            self.world.run(ms(pause)).await;
            self.mend();
        }
        self.world.mess = 0;
        self.heal();
        self.world.run(secs(90)).await;
    }

    /// Calls that got no answer although everything was healed.
    pub fn unanswered(&self) -> usize {
        self.calls.iter().filter(|call| self.world.answer(**call).is_none()).count()
    }

    fn load(&mut self, round: u32) {
        if self.world.rng.random_bool(0.3) {
            let at = self.world.rng.random_range(0..self.entries);
            let team = if self.world.rng.random_bool(0.5) { TEAM } else { OTHER };
            if self.world.alive(Who::Entry(at)) {
                let expected = self.world.node(at).config().team(team).map_or(0, |row| row.version);
                self.world.ask(at, put_team(team, expected));
            }
        }
        for index in 0..self.world.rng.random_range(1..4u32) {
            let at = self.world.rng.random_range(0..self.entries);
            if !self.world.alive(Who::Entry(at)) {
                continue;
            }
            let idempotent = self.world.rng.random_bool(0.4);
            let work = ms(self.world.rng.random_range(0..3000));
            let request = format!("{}-{round}-{index}", self.seed);
            let mut work = if self.world.rng.random_bool(0.2) {
                gang(&request, idempotent, work, 2)
            } else {
                job(&request, idempotent, work)
            };
            work.team = if self.world.rng.random_bool(0.5) { TEAM } else { OTHER }.to_owned();
            work.deadline = secs(self.world.rng.random_range(1..30));
            work.wait = self.world.rng.random_bool(0.8);
            let twice = self.world.rng.random_bool(0.2);
            work.first = !twice;
            let call = self.world.submit(at, &work);
            self.calls.push(call);
            if twice {
                // A retry at another entry while the first is under way.
                let other = self.world.rng.random_range(0..self.entries);
                if self.world.alive(Who::Entry(other)) {
                    self.world.submit(other, &work);
                }
            }
            if self.world.rng.random_bool(0.1) {
                let (team, request) = (work.team.clone(), work.request.clone());
                self.world.ask(at, Ask::Cancel { team, request });
            }
        }
    }

    fn fail(&mut self) {
        let entry = Who::Entry(self.world.rng.random_range(0..self.entries));
        let agent = Who::Agent(self.world.rng.random_range(0..self.workers));
        match self.world.rng.random_range(0..15) {
            0 => self.world.kill(entry),
            1 => self.world.lose(entry),
            2 => self.world.kill(agent),
            3 => {
                if let Who::Agent(at) = agent {
                    self.world.vanish(at);
                }
            }
            4 => self.world.freeze(entry),
            5 => self.world.freeze(agent),
            6 => self.world.cut(entry, agent),
            7 => drop(self.world.cuts.insert((agent, entry))),
            8 => self.world.table = Table::Down,
            9 => self.world.table = Table::Silent,
            10 => self.world.table = Table::Deaf,
            11 => self.world.table = Table::Slow(ms(700)),
            12 => self.world.mess = 20,
            13 => self.world.table = Table::Mute,
            _ => {}
        }
    }

    /// Mends some of what is broken, so that failures overlap.
    fn mend(&mut self) {
        if self.world.rng.random_bool(0.5) {
            self.world.table = Table::Up;
        }
        if self.world.rng.random_bool(0.5) {
            self.world.cuts.clear();
        }
        for who in self.everyone() {
            if self.world.rng.random_bool(0.5) {
                self.world.thaw(who);
            }
            if !self.world.alive(who) && self.world.rng.random_bool(0.5) {
                self.world.start(who);
            }
        }
    }

    fn heal(&mut self) {
        self.world.table = Table::Up;
        self.world.cuts.clear();
        for who in self.everyone() {
            self.world.thaw(who);
            if !self.world.alive(who) {
                self.world.start(who);
            }
        }
        // Callers of an entry that was killed have lost their connection.
        let open: Vec<u64> = self.calls.clone();
        self.calls = open.into_iter().filter(|call| self.world.waits(*call)).collect();
    }

    fn everyone(&self) -> Vec<Who> {
        let entries = (0..self.entries).map(Who::Entry);
        entries.chain((0..self.workers).map(Who::Agent)).collect()
    }
}
