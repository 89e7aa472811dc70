//! Preemption, guarantees, and workers that are reserved for urgent work.

use insta::assert_snapshot;
use quincewheel_job::{Resources, Step};
use quincewheel_place::WorkerState;
use quincewheel_policy::{
    Guarantees, borrowed_reclaim_at, core_weight, is_any_resource_half_free, is_worth_preempting,
    preemption_loss, release_whole_workers, reserve_whole_workers, rounds,
};

fn step(count: u32, accelerators: u64) -> Step {
    let need = Resources { cpu: 8000, memory: 0, accelerators };
    Step { count, need, ..Step::default() }
}

fn worker(rack: &str, free: u64) -> WorkerState {
    let need = |accelerators| Resources { cpu: 64_000, memory: 1, accelerators };
    WorkerState {
        pool: "p".into(),
        rack: rack.into(),
        capacity: need(8),
        free: need(free),
        ..WorkerState::default()
    }
}

// Urgent gangs that need whole workers of one rack arrive while less urgent work fills a pool of
// eleven workers, three to a rack. A stop takes longer than an urgent job can wait.
#[test]
fn whole_workers_are_reserved_in_the_freest_racks_first() {
    let racks = ["a", "a", "a", "b", "b", "b", "c", "c", "c", "d", "d"];
    let free = [8, 8, 0, 8, 8, 8, 8, 3, 0, 8, 0];
    let mut workers: Vec<WorkerState> =
        racks.iter().zip(free).map(|(rack, free)| worker(rack, free)).collect();
    let reserved = reserve_whole_workers(&mut workers, "p");
    let left: Vec<u64> = workers.iter().map(|worker| worker.free.accelerators).collect();
    let indices = release_whole_workers(&mut workers, reserved);
    let back: Vec<u64> = workers.iter().map(|worker| worker.free.accelerators).collect();
    assert_eq!(back, free);
    let other = reserve_whole_workers(&mut workers, "another").len();
    assert_snapshot!(format!(
        "{indices:?}\n{left:?}\n{other}, {}",
        is_any_resource_half_free(&workers, "p")
    ));
}

// An urgent job of three whole workers arrives in a pool full of long jobs, some with
// checkpoints. Preemption may lose twice the work that then ends in time; a guarantee is honoured
// at any cost.
#[test]
fn work_is_preempted_where_little_is_lost() {
    let urgent = core_weight(&step(3, 8)) * 2500 * 3;
    let checkpointed = Step { checkpoints: true, ..step(1, 8) };
    let gang = Step { gang: true, ..step(4, 8) };
    let cases = [
        ("3 s", step(1, 8), 3000),
        ("30 s", step(1, 8), 30_000),
        ("saved", checkpointed, 30_000),
        ("gang", gang, 3000),
    ];
    let lines = cases.map(|(name, step, ran)| {
        let loss = preemption_loss(&step, ran);
        format!(
            "{name}: loses {loss}, pays {} {}",
            is_worth_preempting(loss, urgent, false),
            is_worth_preempting(loss, urgent, true)
        )
    });
    assert_snapshot!(lines.join("\n"));
}

// Work of a team arrives while others borrow its guarantee. The capacity must be available
// `reclaim` milliseconds after the acceptance, and a stop takes up to `stop` milliseconds.
#[test]
fn borrowed_capacity_is_reclaimed_in_time() {
    assert_eq!(borrowed_reclaim_at(10_000, 2900, 400), 11_800);
    assert_eq!(borrowed_reclaim_at(10_000, 1000, 900), 10_000);
}

// One of two teams holds more than it is guaranteed, the other is guaranteed nothing.
#[test]
fn the_last_started_units_beyond_a_guarantee_are_borrowed() {
    let of = |team: &str| if team == "a" { 16 } else { 0 };
    let units = [(1, "a", 8), (2, "a", 8), (3, "a", 4), (4, "b", 1)];
    let borrowed = Guarantees::new(of).borrowed_units(units.into_iter());
    let mut guarantees = Guarantees::new(of);
    guarantees.record_use("a", 8);
    let covered = [("a", 16), ("a", 8), ("a", 1), ("b", 1)].map(|(t, n)| guarantees.try_use(t, n));
    assert_snapshot!(format!("{borrowed:?} {covered:?}"));
}

// A step wider than a quarter of its pool runs in several rounds, a gang never does.
#[test]
fn a_wide_step_runs_in_rounds() {
    let all = Resources { cpu: 704_000, memory: 0, accelerators: 88 };
    let counts = [(step(9, 1), true), (step(55, 1), true), (step(9, 8), true), (step(9, 8), false)]
        .map(|(step, known)| rounds(&step, known.then_some(&all)));
    let gang = rounds(&Step { gang: true, ..step(9, 8) }, Some(&all));
    assert_snapshot!(format!("{counts:?} gang {gang}"));
}
