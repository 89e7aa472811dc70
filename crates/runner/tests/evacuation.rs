//! Evacuation of availability zones, with an owner, agents and workers.

mod simulation;

use insta::assert_snapshot;
use quincewheel_job::Evacuation;
use simulation::{Behavior, Simulation, gang, job};

/// Time after which nothing may start in an evacuated availability zone.
const DEADLINE_MS: u64 = 5000;
/// Number of workers, half of them in each of two availability zones.
const WORKERS: usize = 4;

/// Workers alternating between the availability zones `a` and `b`, and an owner that is connected
/// to their agents.
fn open_sim() -> Simulation {
    let mut sim = Simulation::new(1, WORKERS);
    sim.accepts_records = true;
    sim.run_duration = Some(900);
    for number in 0..WORKERS {
        sim.nodes[number].zone = if number % 2 == 0 { "a" } else { "b" }.to_owned();
        sim.send_heartbeat(number);
        sim.connect(number);
    }
    sim.advance(1000);
    sim
}

fn zones(names: &[&str]) -> Evacuation {
    let mut zones = Evacuation::default();
    names.iter().for_each(|name| zones.add(name));
    zones
}

/// Starts in an availability zone within a span of time, without those that workers delayed.
fn starts(sim: &Simulation, zone: &str, span: std::ops::Range<u64>) -> Vec<String> {
    let nodes = sim.nodes.iter().filter(|node| node.zone == zone);
    let starts = nodes.flat_map(|node| &node.prompt_starts).filter(|(.., at)| span.contains(at));
    starts.map(|(task, run, at)| format!("{task} run {run} at {at}")).collect()
}

/// Submits a gang and a job of single tasks, more than fits on the workers of one zone.
fn submit(sim: &mut Simulation, number: u64) {
    sim.submit(&format!("gang{number}"), gang(2), 200 + 2 * number);
    sim.submit(&format!("job{number}"), job(5), 201 + 2 * number);
}

// Work that starts in an evacuated zone would be cut off when the zone goes down.
#[test]
fn nothing_starts_in_an_evacuated_zone_and_runs_there_go_on() {
    let mut sim = open_sim();
    sim.run_duration = None;
    sim.submit("before", job(32), 150);
    sim.advance(500);
    sim.evacuation = zones(&["a"]);
    sim.advance(500);
    sim.finish_runs(0, "before");
    sim.finish_runs(1, "before");
    sim.take_orders();
    sim.submit("after", job(20), 160);
    sim.advance(1000);
    let (orders, running) = (sim.take_orders(), sim.running());
    assert!(!orders.contains("w0") && !orders.contains("w2"), "{orders}");
    assert_eq!(running.iter().filter(|run| run.starts_with("w2 before")).count(), 8);
    assert_eq!(running.iter().filter(|run| run.starts_with("w1 after")).count(), 8);
    sim.evacuation = zones(&[]);
    sim.advance(1000);
    assert_eq!(sim.running().iter().filter(|run| run.starts_with("w0 after")).count(), 8);
}

// The first attempt of a start gets no reply, and then the zone is evacuated. Another attempt
// would start the task there seconds later.
#[test]
fn a_start_without_a_reply_is_not_retried_in_an_evacuated_zone() {
    let mut sim = open_sim();
    (0..WORKERS).for_each(|number| sim.nodes[number].behavior = Behavior::DelaysStarts(20_000));
    sim.submit("gang", gang(4), 150);
    sim.advance(700);
    sim.evacuation = zones(&["a"]);
    sim.advance(300);
    sim.nodes[0].behavior = Behavior::Healthy;
    sim.nodes[2].behavior = Behavior::Healthy;
    sim.advance(3000);
    assert_eq!(starts(&sim, "a", 0..u64::MAX), Vec::<String>::new());
}

// The evacuation also holds for the next incarnations of the zone's workers.
#[test]
fn a_worker_that_restarts_in_an_evacuated_zone_gets_no_work() {
    let mut sim = open_sim();
    sim.evacuation = zones(&["a"]);
    sim.advance(500);
    sim.replace_worker(0);
    sim.restart_worker(2);
    sim.send_heartbeat(2);
    sim.submit("work", job(32), 150);
    sim.advance(3000);
    assert_eq!(starts(&sim, "a", 0..u64::MAX), Vec::<String>::new());
}

// A gang of which only some members have started when their zone is evacuated must start as a
// whole in another zone.
#[test]
fn a_gang_that_is_half_started_when_its_zone_is_evacuated_starts_whole_elsewhere() {
    let mut sim = open_sim();
    sim.run_duration = None;
    sim.nodes[0].behavior = Behavior::DelaysStarts(20_000);
    sim.submit("gang", gang(2), 150);
    sim.advance(300);
    sim.evacuation = zones(&["a"]);
    sim.advance(4000);
    assert_snapshot!(sim.running().join("\n"), @r"
    w1 gang.0.0.0 run 2
    w3 gang.0.0.1 run 2
    ");
}

/// A fault during an evacuation.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Another entry takes over.
    OwnerChange,
    /// The owner is cut off from the table, and so from changes by operators, for this many
    /// milliseconds.
    OwnerCutOff(u64),
    /// The table is down for this many milliseconds, for operators as well.
    TableDown(u64),
    /// Two agents restart.
    AgentRestarts,
    /// Starts at two workers get no reply, and are carried out this many milliseconds later.
    DelayedStarts(u64),
    /// Two workers restart under their ids.
    WorkerRestarts,
}

const FAULTS: [Fault; 7] = [
    Fault::OwnerChange,
    Fault::OwnerCutOff(1500),
    Fault::TableDown(4000),
    Fault::AgentRestarts,
    Fault::DelayedStarts(2500),
    Fault::DelayedStarts(9000),
    Fault::WorkerRestarts,
];

/// Runs an evacuation of `a` with one fault around its beginning and another one later, each at the
/// given time in milliseconds. Returns the violations.
fn run_with_faults((first, at): (Fault, u64), (second, later): (Fault, u64)) -> Vec<String> {
    const EVACUATION_BEGINS_MS: u64 = 1000;
    const EVACUATION_ENDS_MS: u64 = 12_000;
    const STEP_MS: u64 = 100;
    let mut sim = open_sim();
    let start = sim.now;
    let mut evacuated_at = None;
    let mut violations = Vec::new();
    let mut repairs: Vec<(u64, Fault)> = Vec::new();
    let mut epoch = 1;
    for ms in (0..20_000).step_by(STEP_MS as usize) {
        if ms % 700 == 0 && ms < EVACUATION_ENDS_MS {
            submit(&mut sim, ms / 700);
        }
        let down = repairs.iter().any(|(_, fault)| matches!(fault, Fault::TableDown(_)));
        if evacuated_at.is_none() && ms >= EVACUATION_BEGINS_MS && !down {
            sim.evacuation = zones(&["a"]);
            evacuated_at = Some(sim.now);
        }
        if ms == EVACUATION_ENDS_MS {
            sim.evacuation = zones(&[]);
        }
        for (fault, _) in [(first, at), (second, later)].into_iter().filter(|(_, at)| *at == ms) {
            inflict(&mut sim, fault, &mut epoch);
            repairs.extend(duration(fault).map(|duration| (ms + duration, fault)));
        }
        for (_, fault) in repairs.extract_if(.., |(end, _)| *end <= ms) {
            repair(&mut sim, fault);
        }
        if repairs
            .iter()
            .any(|(_, fault)| matches!(fault, Fault::TableDown(_) | Fault::OwnerCutOff(_)))
        {
            (sim.reads_evacuation, sim.ownership_confirmed, sim.accepts_records) =
                (false, false, false);
        }
        sim.advance(STEP_MS);
        violations.extend(sim.violations());
    }
    let evacuated_at = evacuated_at.expect("the evacuation began");
    violations.extend(starts(&sim, "a", evacuated_at + DEADLINE_MS..start + EVACUATION_ENDS_MS));
    sim.advance(30_000);
    let open = |number: &u64| !sim.has_ended(&format!("gang{number}"));
    violations.extend(
        (0..EVACUATION_ENDS_MS.div_ceil(700))
            .filter(open)
            .map(|number| format!("gang{number} open")),
    );
    violations
}

fn inflict(sim: &mut Simulation, fault: Fault, epoch: &mut u64) {
    match fault {
        Fault::OwnerChange => {
            *epoch += 1;
            sim.take_over(*epoch);
        }
        Fault::OwnerCutOff(_) | Fault::TableDown(_) => {}
        Fault::AgentRestarts => (0..2).for_each(|number| sim.restart_agent(number)),
        Fault::DelayedStarts(ms) => {
            (0..2).for_each(|at| sim.nodes[at].behavior = Behavior::DelaysStarts(ms))
        }
        Fault::WorkerRestarts => (0..2).for_each(|number| {
            sim.restart_worker(number);
            sim.send_heartbeat(number);
        }),
    }
}

/// How long a fault lasts in milliseconds; none if it needs no repair.
fn duration(fault: Fault) -> Option<u64> {
    match fault {
        Fault::OwnerCutOff(ms) | Fault::TableDown(ms) => Some(ms),
        Fault::DelayedStarts(_) => Some(2000),
        Fault::OwnerChange | Fault::AgentRestarts | Fault::WorkerRestarts => None,
    }
}

fn repair(sim: &mut Simulation, fault: Fault) {
    match fault {
        Fault::OwnerCutOff(_) | Fault::TableDown(_) => {
            (sim.reads_evacuation, sim.ownership_confirmed, sim.accepts_records) =
                (true, true, true);
        }
        Fault::DelayedStarts(_) => (0..2).for_each(|at| sim.nodes[at].behavior = Behavior::Healthy),
        Fault::OwnerChange | Fault::AgentRestarts | Fault::WorkerRestarts => {}
    }
}

// With one fault around the beginning of an evacuation and another one later, nothing starts in
// the zone after the bound, no task has two runs at once, and all gangs end after the evacuation
// is over.
#[test]
fn nothing_starts_in_an_evacuated_zone_under_pairs_of_faults() {
    let mut failed = Vec::new();
    let mut combinations = 0;
    for first in FAULTS {
        for at in [800, 900, 1000, 1100, 1400] {
            for second in FAULTS {
                for later in [2600, 5900, 8000] {
                    combinations += 1;
                    let violations = run_with_faults((first, at), (second, later));
                    if !violations.is_empty() {
                        let (count, some) =
                            (violations.len(), &violations[..violations.len().min(2)]);
                        failed
                            .push(format!("{first:?} {at}, {second:?} {later}: {count} {some:?}"));
                    }
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} of {combinations}\n{}", failed.len(), failed.join("\n"));
}
