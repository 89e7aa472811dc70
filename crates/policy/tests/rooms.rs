//! Work that gives way, and workers that are kept free.

use insta::assert_snapshot;
use quincewheel_job::{Resources, Step};
use quincewheel_place::WorkerState;
use quincewheel_policy::{
    Guarantees, borrowed_reclaim_at, core_weight, is_half_free, is_worth_preempting,
    preemption_loss, release_whole_workers, reserve_whole_workers, rounds,
};

fn step(count: u32, accelerators: u64) -> Step {
    let need = Resources { cpu: 8000, memory: 0, accelerators };
    Step { count, need, ..Step::default() }
}

fn spot(rack: &str, free: u64) -> WorkerState {
    let need = |accelerators| Resources { cpu: 64_000, memory: 1, accelerators };
    WorkerState {
        pool: "p".into(),
        rack: rack.into(),
        capacity: need(8),
        free: need(free),
        ..WorkerState::default()
    }
}

// Pattern: urgent gangs of whole workers of one rack come while work that has many seconds
// left fills a pool of eleven workers, three a rack. Grounds: a stop takes longer than an
// urgent job has to spare.
#[test]
fn whole_workers_are_kept_the_fullest_racks_first() {
    let racks = ["a", "a", "a", "b", "b", "b", "c", "c", "c", "d", "d"];
    let free = [8, 8, 0, 8, 8, 8, 8, 3, 0, 8, 0];
    let mut spots: Vec<WorkerState> =
        racks.iter().zip(free).map(|(rack, free)| spot(rack, free)).collect();
    let kept = reserve_whole_workers(&mut spots, "p");
    let left: Vec<u64> = spots.iter().map(|spot| spot.free.accelerators).collect();
    let places = release_whole_workers(&mut spots, kept);
    let back: Vec<u64> = spots.iter().map(|spot| spot.free.accelerators).collect();
    assert_eq!(back, free);
    let other = reserve_whole_workers(&mut spots, "another").len();
    assert_snapshot!(format!("{places:?}\n{left:?}\n{other}, {}", is_half_free(&spots, "p")));
}

// Pattern: an urgent job of three whole workers comes into a pool full of jobs of many
// minutes, some with checkpoints. Grounds: stopping may lose twice the work that then ends
// in time, and what a team is guaranteed is given whatever it costs.
#[test]
fn work_is_stopped_where_it_loses_little() {
    let urgent = core_weight(&step(3, 8)) * 2500 * 3;
    let saves = Step { checkpoints: true, ..step(1, 8) };
    let gang = Step { gang: true, ..step(4, 8) };
    let cases = [
        ("3 s", step(1, 8), 3000),
        ("30 s", step(1, 8), 30_000),
        ("saved", saves, 30_000),
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

// Pattern: a team's guarantee is borrowed by others when its own work comes. Grounds: room
// must be there `reclaim` after the acceptance, and a stop takes up to `stop`.
#[test]
fn room_is_made_in_time_for_what_was_promised() {
    assert_eq!(borrowed_reclaim_at(10_000, 2900, 400), 11_800);
    assert_eq!(borrowed_reclaim_at(10_000, 1000, 900), 10_000);
}

// Pattern: four teams, of which one holds more than it is guaranteed.
#[test]
fn what_a_team_started_last_beyond_its_guarantee_is_borrowed() {
    let of = |team: &str| if team == "a" { 16 } else { 0 };
    let units = [(1, "a", 8), (2, "a", 8), (3, "a", 4), (4, "b", 1)];
    let borrowed = Guarantees::new(of).borrowed_units(units.into_iter());
    let mut guarantees = Guarantees::new(of);
    guarantees.record_use("a", 8);
    let covered = [("a", 16), ("a", 8), ("a", 1), ("b", 1)].map(|(t, n)| guarantees.try_use(t, n));
    assert_snapshot!(format!("{borrowed:?} {covered:?}"));
}

// Pattern: wide steps in a small pool. Grounds: a step wider than a quarter of the pool
// runs in waves, a gang never does.
#[test]
fn a_wide_step_runs_in_waves() {
    let all = Resources { cpu: 704_000, memory: 0, accelerators: 88 };
    let told = [(step(9, 1), true), (step(55, 1), true), (step(9, 8), true), (step(9, 8), false)]
        .map(|(step, known)| rounds(&step, known.then_some(&all)));
    let gang = rounds(&Step { gang: true, ..step(9, 8) }, Some(&all));
    assert_snapshot!(format!("{told:?} gang {gang}"));
}
