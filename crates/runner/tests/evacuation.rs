//! Availability zones that operators evacuate: an owner, agents and workers together.

mod world;

use insta::assert_snapshot;
use quincewheel_job::Evacuation;
use world::{Mood, World, gang, job};

/// Milliseconds after which nothing may start any more.
const BOUND: u64 = 5000;
/// Workers, every second of which is in each of two availability zones.
const WORKERS: usize = 4;

/// Workers in the availability zones `a` and `b` by turns, and an owner that has heard them.
fn world() -> World {
    let mut world = World::open(1, WORKERS);
    world.records = true;
    world.work = Some(900);
    for number in 0..WORKERS {
        world.sides[number].zone = if number % 2 == 0 { "a" } else { "b" }.to_owned();
        world.report(number);
        world.link(number);
    }
    world.pass(1000);
    world
}

fn zones(names: &[&str]) -> Evacuation {
    let mut zones = Evacuation::default();
    names.iter().for_each(|name| zones.add(name));
    zones
}

/// Starts in an availability zone within a span, but for those that workers carried out late.
fn starts(world: &World, zone: &str, span: std::ops::Range<u64>) -> Vec<String> {
    let sides = world.sides.iter().filter(|side| side.zone == zone);
    let starts = sides.flat_map(|side| &side.on_time).filter(|(.., at)| span.contains(at));
    starts.map(|(task, run, at)| format!("{task} run {run} at {at}")).collect()
}

/// Clients submit a gang and a job of single tasks, more than the workers of one zone hold.
fn submit(world: &mut World, number: u64) {
    world.submit(&format!("gang{number}"), gang(2), 200 + 2 * number);
    world.submit(&format!("job{number}"), job(5), 201 + 2 * number);
}

// Symptom: work starts in a zone that operators evacuate, and is cut off when it goes dark.
#[test]
fn nothing_starts_in_an_evacuated_zone_and_what_runs_there_ends_by_itself() {
    let mut world = world();
    world.work = None;
    world.submit("before", job(32), 150);
    world.pass(500);
    world.operators = zones(&["a"]);
    world.pass(500);
    world.finish(0, "before");
    world.finish(1, "before");
    world.told();
    world.submit("after", job(20), 160);
    world.pass(1000);
    let (told, running) = (world.told(), world.running());
    assert!(!told.contains("w0") && !told.contains("w2"), "{told}");
    assert_eq!(running.iter().filter(|run| run.starts_with("w2 before")).count(), 8);
    assert_eq!(running.iter().filter(|run| run.starts_with("w1 after")).count(), 8);
    world.operators = zones(&[]);
    world.pass(1000);
    assert_eq!(world.running().iter().filter(|run| run.starts_with("w0 after")).count(), 8);
}

// Symptom: a task starts in an evacuated zone seconds later, by an order that a connection held up.
// Sequence: the first try gets no answer, the zone is evacuated, and the agent tries again.
#[test]
fn a_start_without_an_answer_is_not_tried_again_in_an_evacuated_zone() {
    let mut world = world();
    (0..WORKERS).for_each(|number| world.sides[number].mood = Mood::Late(20_000));
    world.submit("gang", gang(4), 150);
    world.pass(700);
    world.operators = zones(&["a"]);
    world.pass(300);
    world.sides[0].mood = Mood::Sound;
    world.sides[2].mood = Mood::Sound;
    world.pass(3000);
    assert_eq!(starts(&world, "a", 0..u64::MAX), Vec::<String>::new());
}

// A worker that starts again within an evacuated zone is no other worker to its operators.
#[test]
fn a_worker_that_starts_again_in_an_evacuated_zone_takes_nothing() {
    let mut world = world();
    world.operators = zones(&["a"]);
    world.pass(500);
    world.reborn(0);
    world.start_again(2);
    world.report(2);
    world.submit("work", job(32), 150);
    world.pass(3000);
    assert_eq!(starts(&world, "a", 0..u64::MAX), Vec::<String>::new());
}

// Gangs that were half started when their zone was evacuated begin whole in another.
#[test]
fn a_gang_that_is_half_started_when_its_zone_is_evacuated_begins_whole_elsewhere() {
    let mut world = world();
    world.work = None;
    world.sides[0].mood = Mood::Late(20_000);
    world.submit("gang", gang(2), 150);
    world.pass(300);
    world.operators = zones(&["a"]);
    world.pass(4000);
    assert_snapshot!(world.running().join("\n"), @r"
    w1 gang.0.0.0 run 2
    w3 gang.0.0.1 run 2
    ");
}

/// What happens beside an evacuation.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Another entry takes over.
    Owner,
    /// The owner hears nothing of the operators or of the table for so many milliseconds.
    Deaf(u64),
    /// The table answers nobody for so many milliseconds: operators cannot write either.
    Table(u64),
    /// Two agents start anew.
    Agents,
    /// Starts at two workers get no answer, and are carried out so much later.
    Late(u64),
    /// Two workers start again under their ids.
    Workers,
}

const FAULTS: [Fault; 7] = [
    Fault::Owner,
    Fault::Deaf(1500),
    Fault::Table(4000),
    Fault::Agents,
    Fault::Late(2500),
    Fault::Late(9000),
    Fault::Workers,
];

/// Plays an evacuation of `a`, with one fault at a moment around its begin and another later, and
/// returns what was wrong.
fn play((first, at): (Fault, u64), (second, later): (Fault, u64)) -> Vec<String> {
    const ACKNOWLEDGED: u64 = 1000;
    const OVER: u64 = 12_000;
    const STEP: u64 = 100;
    let mut world = world();
    let zero = world.now;
    let mut begun = None;
    let mut wrong = Vec::new();
    let mut heals: Vec<(u64, Fault)> = Vec::new();
    let mut epoch = 1;
    for ms in (0..20_000).step_by(STEP as usize) {
        if ms % 700 == 0 && ms < OVER {
            submit(&mut world, ms / 700);
        }
        let down = heals.iter().any(|(_, fault)| matches!(fault, Fault::Table(_)));
        if begun.is_none() && ms >= ACKNOWLEDGED && !down {
            world.operators = zones(&["a"]);
            begun = Some(world.now);
        }
        if ms == OVER {
            world.operators = zones(&[]);
        }
        for (fault, _) in [(first, at), (second, later)].into_iter().filter(|(_, at)| *at == ms) {
            inflict(&mut world, fault, &mut epoch);
            heals.extend(lasts(fault).map(|last| (ms + last, fault)));
        }
        for (_, fault) in heals.extract_if(.., |(end, _)| *end <= ms) {
            heal(&mut world, fault);
        }
        if heals.iter().any(|(_, fault)| matches!(fault, Fault::Table(_) | Fault::Deaf(_))) {
            (world.reads, world.confirmed, world.records) = (false, false, false);
        }
        world.pass(STEP);
        wrong.extend(world.wrong());
    }
    let begun = begun.expect("evacuated");
    wrong.extend(starts(&world, "a", begun + BOUND..zero + OVER));
    world.pass(30_000);
    let open = |number: &u64| !world.has_ended(&format!("gang{number}"));
    wrong.extend((0..OVER.div_ceil(700)).filter(open).map(|number| format!("gang{number} open")));
    wrong
}

fn inflict(world: &mut World, fault: Fault, epoch: &mut u64) {
    match fault {
        Fault::Owner => {
            *epoch += 1;
            world.take_over(*epoch);
        }
        Fault::Deaf(_) | Fault::Table(_) => {}
        Fault::Agents => (0..2).for_each(|number| world.restart(number)),
        Fault::Late(ms) => (0..2).for_each(|at| world.sides[at].mood = Mood::Late(ms)),
        Fault::Workers => (0..2).for_each(|number| {
            world.start_again(number);
            world.report(number);
        }),
    }
}

/// How long a fault lasts; none if it is over at once.
fn lasts(fault: Fault) -> Option<u64> {
    match fault {
        Fault::Deaf(ms) | Fault::Table(ms) => Some(ms),
        Fault::Late(_) => Some(2000),
        Fault::Owner | Fault::Agents | Fault::Workers => None,
    }
}

fn heal(world: &mut World, fault: Fault) {
    match fault {
        Fault::Deaf(_) | Fault::Table(_) => {
            (world.reads, world.confirmed, world.records) = (true, true, true);
        }
        Fault::Late(_) => (0..2).for_each(|at| world.sides[at].mood = Mood::Sound),
        Fault::Owner | Fault::Agents | Fault::Workers => {}
    }
}

// Whatever happens around an evacuation, and again later: nothing starts in the zone once its bound is
// over, no task runs twice, and all gangs end once it is taken back.
#[test]
fn nothing_starts_in_an_evacuated_zone_whatever_happens_meanwhile() {
    let mut failed = Vec::new();
    let mut courses = 0;
    for first in FAULTS {
        for at in [800, 900, 1000, 1100, 1400] {
            for second in FAULTS {
                for later in [2600, 5900, 8000] {
                    courses += 1;
                    let wrong = play((first, at), (second, later));
                    if !wrong.is_empty() {
                        let (count, some) = (wrong.len(), &wrong[..wrong.len().min(2)]);
                        failed
                            .push(format!("{first:?} {at}, {second:?} {later}: {count} {some:?}"));
                    }
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} of {courses}\n{}", failed.len(), failed.join("\n"));
}
