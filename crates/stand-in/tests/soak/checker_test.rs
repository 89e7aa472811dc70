//! Checks of the checker itself: starts between an end and its acknowledgement.

use crate::checker::{Checker, Job, MAX_FAILURES, Step, SubmitOutcome, Task};
use crate::fleet::{End, Fleet, MAX_LEASE_MS};
use crate::kind::Kind;
use crate::size::Size;

const JOB: &str = "job";
/// The worker whose ends are acknowledged late, and another one.
const FIRST: usize = 0;
const SECOND: usize = 1;

/// Runs all checks, and returns what the checker misses or reports without cause.
pub fn run() -> Vec<String> {
    let cases = [
        ("a start after a done end that is acknowledged later", 1, started_after_done(false)),
        ("the same with a lapse in between", 0, started_after_done(true)),
        ("a start after the last failure", 1, started_after_failures(false)),
        ("the same with a lapse in between", 0, started_after_failures(true)),
        ("a start before a done end", 0, started_before_done()),
        ("a member that starts late in the last run that failed", 0, late_member(&[3])),
        ("the same twice", 1, late_member(&[3, 3])),
        ("a member that starts late in an earlier run", 1, late_member(&[2])),
        ("a member that starts in a run after the last that failed", 1, late_member(&[4])),
        ("a task that starts in the last run that failed", 1, late_task()),
    ];
    cases
        .into_iter()
        .filter(|(_, expected, found)| found.len() != *expected)
        .map(|(name, expected, found)| format!("{name}: expected {expected}, found {found:?}"))
        .collect()
}

/// Guards against missing a second start that comes before the first run's end as done is
/// acknowledged.
fn started_after_done(lapses: bool) -> Vec<String> {
    let mut fleet = fleet(0);
    run_once(&mut fleet, FIRST, 1);
    run_once(&mut fleet, SECOND, 2);
    if lapses {
        lapse(&mut fleet, FIRST);
    }
    fleet.acknowledge(FIRST, 1);
    fleet.checker.violations
}

/// Guards against missing a start after as many failures as a task may have, if they are
/// acknowledged after it.
fn started_after_failures(lapses: bool) -> Vec<String> {
    let mut fleet = fleet(1);
    let failures = u64::from(MAX_FAILURES);
    (1..=failures).for_each(|run| run_once(&mut fleet, FIRST, run));
    run_once(&mut fleet, SECOND, failures + 1);
    if lapses {
        lapse(&mut fleet, FIRST);
    }
    fleet.acknowledge(FIRST, failures);
    fleet.checker.violations
}

/// Guards against reporting a task's only start as a second one.
fn started_before_done() -> Vec<String> {
    let mut fleet = fleet(0);
    run_once(&mut fleet, FIRST, 1);
    fleet.acknowledge(FIRST, 1);
    fleet.checker.violations
}

/// Guards against a report of a gang's member whose order was under way when another member failed,
/// and against missing any other start after the last failure. Returns what is reported of a member
/// that starts in these runs, after the other one has failed in as many runs as it may.
fn late_member(runs: &[u64]) -> Vec<String> {
    let mut checker = failed_checker(2, true);
    runs.iter().for_each(|run| start_once(&mut checker, 1, *run));
    checker.violations
}

/// Guards against taking a task that is in no gang for such a member.
fn late_task() -> Vec<String> {
    let mut checker = failed_checker(1, false);
    start_once(&mut checker, 0, u64::from(MAX_FAILURES));
    checker.violations
}

/// Returns a checker of a step whose first task has failed, and was acknowledged as such, in as many
/// runs as it may.
fn failed_checker(count: u32, gang: bool) -> Checker {
    let mut checker = fleet(0).checker;
    let steps = &mut checker.jobs.get_mut(JOB).unwrap().steps;
    (steps[0].count, steps[0].gang) = (count, gang);
    for run in 1..=u64::from(MAX_FAILURES) {
        start_once(&mut checker, 0, run);
        let (task, order) = ((JOB.to_owned(), 0, 0), checker.count_event());
        let how = "failed";
        let end = End { number: run, task, run, how, listed: true, order, lease_lapsed: false };
        checker.on_end_recorded(&end);
    }
    checker
}

/// Starts a task, and ends it at once.
fn start_once(checker: &mut Checker, index: u32, run: u64) {
    let (task, incarnation) = ((JOB.to_owned(), 0, index), 1);
    checker.on_start(SECOND, incarnation, &task, run, "");
    checker.on_run_over(SECOND, incarnation, &task, run);
}

/// Returns a fleet that knows a job of one task, which ends at the first tick.
fn fleet(fail_interval: u64) -> Fleet {
    let mut fleet = Fleet::new(Size { entries: 1, workers: 2 }, Kind::Faults);
    let step =
        Step { count: 1, accelerators: 1, gang: false, same_rack: false, after: Vec::new(), ms: 0 };
    let job = Job {
        path: format!("/calm/{JOB}"),
        key: None,
        spec: String::new(),
        steps: vec![step],
        submit_outcome: SubmitOutcome::Accepted,
        cancelled: false,
        fail_interval,
        failing_runs: 0,
        crashes: false,
    };
    fleet.checker.jobs.insert(JOB.to_owned(), job);
    fleet
}

fn run_once(fleet: &mut Fleet, worker: usize, number: u64) {
    let task: Task = (JOB.to_owned(), 0, 0);
    fleet.extend_lease(worker, fleet.now() + MAX_LEASE_MS);
    fleet.start_run(worker, task, number, "", true);
    fleet.tick();
}

/// Lets a worker's lease lapse, and extends it again.
fn lapse(fleet: &mut Fleet, worker: usize) {
    fleet.workers[worker].lease = 0;
    fleet.extend_lease(worker, fleet.now() + MAX_LEASE_MS);
}
