//! Invariants of the pool, checked after each command of seeded random sequences.

use std::collections::BTreeMap;
use std::time::Duration;

use quincewheel_pool::{Adjacency, Condition, Decision, Demand, Limits, Placement, Pool};
use quincewheel_pool::{Shape, Share};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const WORKERS: usize = 8;
const TEAMS: [&str; 3] = ["a", "b", "c"];

struct RandomPool {
    pool: Pool,
    rng: StdRng,
    now: Duration,
    next: u64,
    waiting: Vec<u64>,
    running: BTreeMap<u64, Placement>,
    stopping: Vec<u64>,
}

impl RandomPool {
    fn new(seed: u64) -> RandomPool {
        let mut pool = Pool::new(Limits { failure_reserve: 0, ..Limits::default() });
        for index in 0..WORKERS {
            pool.put_worker(&format!("w{index}"), "z", &format!("r{}", index / 2), 8, 6);
        }
        let shares = |shape, count| vec![Share { shape, count }];
        let guarantees = [
            ("a", shares(Shape::new(2, 8, Adjacency::Rack), 1)),
            ("b", shares(Shape::new(1, 4, Adjacency::Worker), 3)),
            ("c", shares(Shape::new(3, 2, Adjacency::Any), 2)),
        ];
        for (team, shares) in guarantees {
            pool.put_team(team, 0);
            assert_eq!(pool.unsatisfiable_share(team, &shares), None);
            pool.put_shares(team, shares);
        }
        RandomPool {
            pool,
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            next: 1,
            waiting: Vec::new(),
            running: BTreeMap::new(),
            stopping: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_secs(self.rng.random_range(0..40));
        match self.rng.random_range(0..10) {
            0..5 => self.submit(),
            5..8 => self.end(),
            8 => self.cancel(),
            _ => {
                for job in std::mem::take(&mut self.stopping) {
                    self.release(job);
                }
            }
        }
        for decision in self.pool.decide(self.now) {
            match decision {
                Decision::Start { job, placement, .. } => {
                    self.waiting.retain(|waiting| *waiting != job);
                    self.running.insert(job, placement);
                }
                Decision::Reclaim { job, .. } => self.stopping.push(job),
            }
        }
    }

    fn submit(&mut self) {
        let tasks = [1, 1, 1, 2, 3][self.rng.random_range(0..5)];
        let accelerators = self.rng.random_range(1..=8);
        let adjacency = match self.rng.random_range(0..4) {
            0 => Adjacency::Rack,
            1 if tasks * accelerators <= 4 => Adjacency::Worker,
            _ => Adjacency::Any,
        };
        let team = TEAMS[self.rng.random_range(0..3)].to_owned();
        let demand = Demand {
            team,
            shape: Shape::new(tasks, accelerators, adjacency),
            urgent: self.rng.random_bool(0.2),
            restartable: self.rng.random_bool(0.7),
            arrived_at: self.now,
            declared_duration: Duration::from_secs(self.rng.random_range(1..1000)),
            avoided_workers: Vec::new(),
        };
        self.pool.enqueue(self.next, demand);
        self.waiting.push(self.next);
        self.next += 1;
    }

    fn end(&mut self) {
        let jobs: Vec<u64> = self.running.keys().copied().collect();
        if !jobs.is_empty() {
            let job = jobs[self.rng.random_range(0..jobs.len())];
            self.stopping.retain(|stopping| *stopping != job);
            self.release(job);
        }
    }

    fn release(&mut self, job: u64) {
        let Some(placement) = self.running.remove(&job) else { return };
        for (worker, _) in &placement {
            self.pool.release(job, worker);
        }
    }

    fn cancel(&mut self) {
        if !self.waiting.is_empty() {
            let index = self.rng.random_range(0..self.waiting.len());
            assert!(self.pool.withdraw(self.waiting.remove(index)));
        }
    }

    fn check(&self, context: &str) {
        let mut held: BTreeMap<&str, u64> = BTreeMap::new();
        for (job, placement) in &self.running {
            for (worker, mask) in placement {
                let before = held.entry(worker).or_default();
                assert_eq!(*before & mask, 0, "{context}: {worker} held twice, by {job}");
                *before |= mask;
            }
        }
        for view in self.pool.workers() {
            let taken = held.get(view.worker).copied().unwrap_or(0).count_ones();
            assert_eq!(view.free + taken, 8, "{context}: {} does not add up", view.worker);
            assert!(view.tasks <= 6, "{context}: {} has too many tasks", view.worker);
        }
        assert_eq!(
            self.pool.unsatisfied_guarantee(),
            None,
            "{context}: a guarantee is not reclaimable"
        );
    }
}

/// Guards against a guaranteed shape that can't be reclaimed although all counts add up, since a
/// guaranteed job was placed where another guarantee needs to fit, and against an accelerator with
/// two holders, since a claimed placement was given to another job.
#[test]
fn guarantees_stay_reclaimable_and_cells_add_up() {
    for seed in 0..40 {
        let mut state = RandomPool::new(seed);
        for step in 0..400 {
            state.step();
            state.check(&format!("seed {seed}, step {step}"));
        }
    }
}

/// Guards against new work on drained workers, and against cells that stay held on a worker that
/// comes back, since claims on it were lost or were never dropped. Workers stop serving and come
/// back under load.
#[test]
fn workers_that_stop_serving_get_nothing_new() {
    for seed in 0..20 {
        let mut state = RandomPool::new(seed);
        for step in 0..300 {
            let name = format!("w{}", state.rng.random_range(0..WORKERS));
            let up = state.rng.random_bool(0.5);
            let condition = if up { Condition::Serving } else { Condition::Drained };
            state.pool.set_condition(&name, condition);
            let before: Vec<u64> = state.running.keys().copied().collect();
            state.step();
            let drained: Vec<String> = state
                .pool
                .workers()
                .filter(|view| view.condition == Condition::Drained)
                .map(|view| view.worker.to_owned())
                .collect();
            for (job, placement) in state.running.iter().filter(|(job, _)| !before.contains(job)) {
                let bad = placement.iter().any(|(worker, _)| drained.contains(worker));
                assert!(!bad, "seed {seed}, step {step}: job {job} went to a drained worker");
            }
        }
    }
}

/// Placement of wide gangs: adjacency, and shapes that never fit.
#[test]
fn gangs_are_placed_whole_and_within_their_adjacency() {
    let mut lines = Vec::new();
    let shapes = [
        Shape::new(2, 8, Adjacency::Rack),
        Shape::new(3, 8, Adjacency::Rack),
        Shape::new(8, 8, Adjacency::Any),
        Shape::new(9, 8, Adjacency::Any),
        Shape::new(4, 2, Adjacency::Worker),
        Shape::new(5, 2, Adjacency::Worker),
        Shape::new(1, 3, Adjacency::Worker),
        Shape::new(48, 1, Adjacency::Any),
        Shape::new(49, 1, Adjacency::Any),
    ];
    for shape in shapes {
        let mut state = RandomPool::new(0);
        let possible = state.pool.can_ever_fit(&shape);
        let demand = Demand {
            team: "nobody".to_owned(),
            shape,
            urgent: false,
            restartable: true,
            arrived_at: Duration::ZERO,
            declared_duration: Duration::from_secs(1),
            avoided_workers: Vec::new(),
        };
        state.pool.enqueue(1, demand);
        let decisions = state.pool.decide(Duration::from_secs(1));
        let placed = match decisions.first() {
            Some(Decision::Start { placement, .. }) => {
                let mut workers: Vec<&str> = placement.iter().map(|(w, _)| w.as_str()).collect();
                workers.dedup();
                format!("{} tasks on {}", placement.len(), workers.join(" "))
            }
            _ => "not placed".to_owned(),
        };
        lines.push(format!(
            "{}x{} {:?}: possible {possible}, {placed}",
            shape.tasks, shape.accelerators, shape.adjacency
        ));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    2x8 Rack: possible true, 2 tasks on w0 w1
    3x8 Rack: possible false, not placed
    8x8 Any: possible true, 8 tasks on w0 w1 w2 w3 w4 w5 w6 w7
    9x8 Any: possible false, not placed
    4x2 Worker: possible true, 4 tasks on w0
    5x2 Worker: possible false, not placed
    1x3 Worker: possible true, 1 tasks on w0
    48x1 Any: possible true, 48 tasks on w0 w1 w2 w3 w4 w5 w6 w7
    49x1 Any: possible false, not placed
    ");
}
