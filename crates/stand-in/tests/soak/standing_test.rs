//! Checks of what finds jobs that stand, on two idle workers and one open job unless a case says
//! otherwise.

use crate::checker::{Job, MAX_FAILURES, Step, SubmitOutcome, Task};
use crate::fleet::{ACCELERATORS, Fleet};
use crate::kind::Kind;
use crate::proxy::Mode;
use crate::size::Size;

const JOB: &str = "job";
const OTHER: &str = "other";
/// When all counts as calm at the earliest, in milliseconds of the run.
const CALM_AT_MS: u64 = 9000;
/// A job that stands from [`CALM_AT_MS`] on stands too long from here on.
const OVERDUE_AT_MS: u64 = CALM_AT_MS + 3000;
const STEP_MS: usize = 100;

/// Runs all checks, and returns what is missed or found without cause.
pub fn run() -> Vec<String> {
    let cases = [
        ("a job that stands for 3 s while all is calm", 1, found(&mut fleet(2), OVERDUE_AT_MS)),
        ("a job that stands for less", 0, found(&mut fleet(2), OVERDUE_AT_MS - 100)),
        ("a job that is not accepted", 0, unaccepted()),
        ("a cancelled job", 0, cancelled()),
        ("a job that crashes its workers", 0, crashing()),
        ("a job beside a worker that a task crashed", 1, beside_crashed_worker(3)),
        ("a job that fits twice only at crashed workers", 0, beside_crashed_worker(2)),
        ("a job that is done", 0, done()),
        ("a job that has failed", 0, failed()),
        ("a job that a client was shown as ended", 0, shown_as_ended()),
        ("a job of which a task runs", 0, running()),
        ("a job that runs for a moment", 0, interrupted()),
        ("a job of which only a later step fits", 0, waiting_for_a_step()),
        ("a task that fits once", 0, fitting_once()),
        ("a gang that fits once", 0, gang(2, 3)),
        ("a gang that fits twice", 1, gang(2, 4)),
        ("a pool of which half is in use", 0, half_in_use()),
        ("a fault that is active", 0, with_active_fault()),
        ("a fault within the time before", 0, with_fault_before()),
        ("a worker that has a fault", 0, with_worker_fault(|fleet| fleet.suspend(0, 60_000))),
        ("a worker that fails", 0, with_worker_fault(|fleet| fleet.fail_starts(0, 60_000))),
        ("a worker that drains", 0, with_worker_fault(|fleet| fleet.drain(0, 60_000, 0))),
        ("a cut link", 0, with_worker_fault(|fleet| fleet.link_modes[0] = Mode::Silent)),
        ("an evacuated zone", 0, with_worker_fault(|fleet| fleet.evacuate(0, true))),
    ];
    cases
        .into_iter()
        .filter(|(_, expected, found)| found != expected)
        .map(|(name, expected, found)| format!("{name}: expected {expected}, found {found}"))
        .collect()
}

/// Guards against reporting a job that the client may submit again.
fn unaccepted() -> usize {
    with_job(|job| job.submit_outcome = SubmitOutcome::Unclear)
}

/// Guards against reporting a job that nobody wants any more.
fn cancelled() -> usize {
    with_job(|job| job.cancelled = true)
}

/// Guards against reporting a job that is held back to protect the workers.
fn crashing() -> usize {
    with_job(|job| job.crashes = true)
}

/// Guards against taking one crash under a task for a fault of all, and against counting the room
/// of the crashed worker.
fn beside_crashed_worker(workers: usize) -> usize {
    let mut fleet = fleet(workers);
    fleet.checker.jobs.get_mut(JOB).unwrap().steps[0].accelerators = ACCELERATORS;
    fleet.workers[0].unavailable_until = OVERDUE_AT_MS;
    fleet.workers[0].recovers_until = 2 * OVERDUE_AT_MS;
    found(&mut fleet, OVERDUE_AT_MS)
}

/// Guards against reporting a job that has nothing left to run.
fn done() -> usize {
    let mut fleet = fleet(2);
    fleet.checker.on_done(&task(JOB, 0));
    found(&mut fleet, OVERDUE_AT_MS)
}

/// Guards against reporting a job whose task has failed as often as it may.
fn failed() -> usize {
    let mut fleet = fleet(2);
    (0..MAX_FAILURES).for_each(|_| fleet.checker.on_failure_listed(&task(JOB, 0)));
    found(&mut fleet, OVERDUE_AT_MS)
}

/// Guards against reporting a job that was given up since its tasks crash workers.
fn shown_as_ended() -> usize {
    let mut fleet = fleet(2);
    fleet.checker.check_state(JOB, "failed");
    found(&mut fleet, OVERDUE_AT_MS)
}

/// Guards against reporting a job that makes progress.
fn running() -> usize {
    let mut fleet = fleet(2);
    fleet.checker.jobs.get_mut(JOB).unwrap().steps[0].count = 2;
    fleet.start_run(0, task(JOB, 0), 1, "", true);
    found(&mut fleet, OVERDUE_AT_MS)
}

/// Guards against adding up two stands of a job.
fn interrupted() -> usize {
    let mut fleet = fleet(2);
    fleet.extend_lease(0, u64::MAX);
    let before = found(&mut fleet, OVERDUE_AT_MS - 1000);
    fleet.start_run(0, task(JOB, 0), 1, "", true);
    observe(&mut fleet, OVERDUE_AT_MS - 900);
    fleet.workers[0].runs.clear();
    (OVERDUE_AT_MS - 800..OVERDUE_AT_MS + 1000)
        .step_by(STEP_MS)
        .for_each(|now| observe(&mut fleet, now));
    before + fleet.standing.overdue().len()
}

/// Guards against counting the room of a step that must wait for another.
fn waiting_for_a_step() -> usize {
    with_job(|job| {
        let first = Step { accelerators: ACCELERATORS + 1, ..job.steps[0].clone() };
        let second = Step { after: vec![0], ..job.steps[0].clone() };
        job.steps = vec![first, second];
    })
}

/// Guards against reporting a task whose only place may be kept free for another.
fn fitting_once() -> usize {
    let mut fleet = fleet(2);
    fleet.checker.jobs.get_mut(JOB).unwrap().steps[0].accelerators = ACCELERATORS;
    occupy(&mut fleet, 0, 1);
    found(&mut fleet, OVERDUE_AT_MS)
}

/// Guards against counting the room of one member for that of a gang.
fn gang(count: u32, workers: usize) -> usize {
    let mut fleet = fleet(workers);
    let step = &mut fleet.checker.jobs.get_mut(JOB).unwrap().steps[0];
    *step = Step { count, accelerators: ACCELERATORS, gang: true, ..step.clone() };
    found(&mut fleet, OVERDUE_AT_MS)
}

/// Guards against reporting a job that waits for its share of a pool in use.
fn half_in_use() -> usize {
    let mut fleet = fleet(2);
    occupy(&mut fleet, 0, ACCELERATORS);
    found(&mut fleet, OVERDUE_AT_MS)
}

/// Guards against reporting a job that stands because of a fault.
fn with_active_fault() -> usize {
    let mut fleet = fleet(2);
    fleet.standing.has_fault = true;
    found(&mut fleet, OVERDUE_AT_MS)
}

/// Guards against counting the time in which processes recover from a fault.
fn with_fault_before() -> usize {
    let mut fleet = fleet(2);
    fleet.standing.disturb(STEP_MS as u64);
    found(&mut fleet, OVERDUE_AT_MS)
}

/// Guards against counting the room, or the calm, of workers with a fault of their own.
fn with_worker_fault(fault: impl Fn(&mut Fleet)) -> usize {
    let mut fleet = fleet(2);
    fault(&mut fleet);
    found(&mut fleet, OVERDUE_AT_MS)
}

fn with_job(change: impl Fn(&mut Job)) -> usize {
    let mut fleet = fleet(2);
    change(fleet.checker.jobs.get_mut(JOB).unwrap());
    found(&mut fleet, OVERDUE_AT_MS)
}

/// Observes a fleet up to a time, and returns how many jobs stand for too long then.
fn found(fleet: &mut Fleet, until: u64) -> usize {
    (STEP_MS as u64..=until).step_by(STEP_MS).for_each(|now| observe(fleet, now));
    fleet.standing.overdue().len()
}

fn observe(fleet: &mut Fleet, now: u64) {
    let mut standing = std::mem::take(&mut fleet.standing);
    standing.observe(fleet, now);
    fleet.standing = standing;
}

/// Lets another job use accelerators of a worker.
fn occupy(fleet: &mut Fleet, worker: usize, accelerators: u64) {
    fleet.checker.jobs.insert(OTHER.to_owned(), job(accelerators));
    fleet.start_run(worker, task(OTHER, 0), 1, "", true);
}

/// Returns a fleet whose checker knows one job of one task.
fn fleet(workers: usize) -> Fleet {
    let mut fleet = Fleet::new(Size { entries: 1, workers }, Kind::Faults);
    fleet.checker.jobs.insert(JOB.to_owned(), job(1));
    fleet
}

fn job(accelerators: u64) -> Job {
    let step =
        Step { count: 1, accelerators, gang: false, same_rack: false, after: Vec::new(), ms: 0 };
    Job {
        path: format!("/calm/{JOB}"),
        key: None,
        spec: String::new(),
        steps: vec![step],
        submit_outcome: SubmitOutcome::Accepted,
        cancelled: false,
        fail_interval: 0,
        failing_runs: 0,
        crashes: false,
    }
}

fn task(job: &str, index: u32) -> Task {
    (job.to_owned(), 0, index)
}
