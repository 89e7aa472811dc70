//! Courses of random trouble in which no task may run twice: no two runs at a time, and none starts
//! after the end of another as done that is acknowledged then or later.

mod deployment;
mod simulation;

use deployment::{Deployment, Fault, KINDS, Kind};

/// Workers of a course.
const HOSTS: usize = 5;
/// Duration of a course, in milliseconds.
const DURATION_MS: u64 = 30_000;

/// Runs a course, and returns the first violation.
fn run(seed: u64, faults: &[Fault]) -> Option<String> {
    let mut deployment = Deployment::new(seed, HOSTS, faults.to_vec(), false);
    deployment.run(DURATION_MS);
    deployment.history.violations.first().cloned()
}

/// Removes faults that the violation does not need.
fn shrink(seed: u64, mut faults: Vec<Fault>) -> Vec<Fault> {
    loop {
        let before = faults.len();
        let mut index = 0;
        while index < faults.len() {
            let mut fewer = faults.clone();
            fewer.remove(index);
            match run(seed, &fewer) {
                Some(_) => faults = fewer,
                None => index += 1,
            }
        }
        if faults.len() == before {
            return faults;
        }
    }
}

/// Runs courses, and returns those in which a task ran twice.
fn violations(seeds: std::ops::Range<u64>, kinds: &[Kind]) -> Vec<String> {
    let course = |seed| {
        let faults = deployment::draw(seed, HOSTS, DURATION_MS - 2000, kinds);
        run(seed, &faults).map(|violation| format!("seed {seed}: {violation}"))
    };
    seeds.filter_map(course).collect()
}

// No task runs twice in a few courses with all kinds of trouble.
#[test]
fn no_task_runs_twice_in_short_courses() {
    assert_eq!(violations(1000..1100, &KINDS), Vec::<String>::new());
}

// An agent restarts while heartbeats are repeated and delayed and workers are replaced.
#[test]
fn seed_202501_agents_restart_among_stale_heartbeats() {
    assert_eq!(violations(202_501..202_502, &KINDS), Vec::<String>::new());
}

// Agents that were suspended reconnect while their workers refuse starts as late.
#[test]
fn seed_101597_refusals_cross_repeated_starts() {
    assert_eq!(violations(101_597..101_598, &KINDS), Vec::<String>::new());
}

// A worker answers after a silence, and runs what is ordered again.
#[test]
fn seed_1198_runs_start_after_a_silence() {
    assert_eq!(violations(1198..1199, &KINDS), Vec::<String>::new());
}

// An agent restarts, reports that it has no worker, and finds it while disconnected.
#[test]
fn seed_401039_an_agent_finds_its_worker_while_disconnected() {
    assert_eq!(violations(401_039..401_040, &KINDS), Vec::<String>::new());
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The kinds of trouble, without those named in `WITHOUT`.
fn kinds() -> Vec<Kind> {
    let without = std::env::var("WITHOUT").unwrap_or_default();
    let named = |kind: &Kind| without.split(',').any(|name| name == format!("{kind:?}"));
    KINDS.into_iter().filter(|kind| !named(kind)).collect()
}

/// Removes the faults that a violation does not need, and writes what happened to a file.
fn explain(seed: u64, faults: Vec<Fault>, folder: &str) {
    let faults = shrink(seed, faults);
    let mut deployment = Deployment::new(seed, HOSTS, faults.clone(), true);
    deployment.run(DURATION_MS);
    let lines = deployment.trace.unwrap_or_default().join("\n");
    let text = format!("{:#?}\n{faults:#?}\n{lines}", deployment.history.violations);
    std::fs::write(format!("{folder}/{seed}.log"), text).expect("the folder exists");
}

// No task runs twice in COUNT courses from SEED on, for hunts by hand. With TRACES, a folder, each
// course in which one does is shrunk and its trace is written there.
#[test]
fn no_task_runs_twice_in_chosen_courses() {
    let (first, count) = (number("SEED", 0), number("COUNT", 10));
    let kinds = kinds();
    let mut found = 0;
    for seed in first..first + count {
        let faults = deployment::draw(seed, HOSTS, DURATION_MS - 2000, &kinds);
        let Some(violation) = run(seed, &faults) else { continue };
        found += 1;
        println!("seed {seed}: {violation}");
        if let Ok(folder) = std::env::var("TRACES") {
            explain(seed, faults, &folder);
        }
    }
    assert_eq!(found, 0, "of {count} courses");
}
