//! The checker of jobs that stand beside free workers: each of its conditions.

mod succession;

use std::collections::BTreeSet;

use quincewheel_job::{Resources, Task};
use succession::shape::Shape;
use succession::standing::{
    CALM_DELAY_MS, JobView, STANDING_LIMIT_MS, Standing, View, Violation, WorkerView,
};

const JOB: &str = "job";
const BEGIN_MS: u64 = 100_000;
const STEP_MS: u64 = 500;

fn worker() -> WorkerView {
    WorkerView {
        pool: "p".into(),
        labels: Vec::new(),
        capacity: Resources { cpu: 64_000, memory: 262_144, accelerators: 8 },
        used: Resources::default(),
        open: true,
    }
}

/// A calm system with a job of this shape and two idle workers.
fn view(shape: &Shape) -> View {
    let job = shape.job(0, BEGIN_MS);
    let job = JobView { job, over: false, done: BTreeSet::new(), running: false };
    View {
        now: BEGIN_MS,
        wall: BEGIN_MS,
        troubled_until: BEGIN_MS - CALM_DELAY_MS,
        jobs: [(JOB.to_owned(), job)].into(),
        workers: vec![worker(), worker()],
    }
}

fn task(step: u32, index: u32) -> Task {
    Task { job: JOB.into(), occurrence: 0, step, index }
}

fn set_done(view: &mut View, task: Task) {
    view.jobs.get_mut(JOB).expect("the view has the job").done.insert(task);
}

/// Whether the job stands too long if the system stays as it is.
fn is_reported(view: &View) -> bool {
    !violations(view, |_| ()).is_empty()
}

/// The violations in twice the limit while `change` alters the system.
fn violations(view: &View, mut change: impl FnMut(&mut View)) -> Vec<Violation> {
    let (mut view, mut standing) = (view.clone(), Standing::default());
    let mut found = Vec::new();
    while view.now <= BEGIN_MS + 2 * STANDING_LIMIT_MS {
        change(&mut view);
        found.extend(standing.observe(&view, STANDING_LIMIT_MS));
        view.now += STEP_MS;
        view.wall += STEP_MS;
    }
    found
}

fn single() -> Shape {
    Shape::of_step(1, 2, false)
}

// Guards against a checker that never reports, or reports one wait several times.
#[test]
fn a_job_that_stands_is_reported_once_after_the_limit() {
    let (since, until) = (BEGIN_MS, BEGIN_MS + STANDING_LIMIT_MS);
    let expected = Violation { job: JOB.into(), since, until };
    assert_eq!(violations(&view(&single()), |_| ()), [expected]);
}

// Guards against reports of jobs that pause for less than the limit between two runs.
#[test]
fn a_run_ends_the_wait() {
    let found = violations(&view(&single()), |view| {
        let runs = view.now == BEGIN_MS + STANDING_LIMIT_MS - STEP_MS;
        view.jobs.values_mut().for_each(|job| job.running = runs);
    });
    let (since, until) = (BEGIN_MS + STANDING_LIMIT_MS, BEGIN_MS + 2 * STANDING_LIMIT_MS);
    assert_eq!(found, [Violation { job: JOB.into(), since, until }]);
}

// Guards against reports of jobs that run or have ended.
#[test]
fn a_job_that_runs_or_is_over_does_not_stand() {
    let mut running = view(&single());
    running.jobs.values_mut().for_each(|job| job.running = true);
    let mut over = view(&single());
    over.jobs.values_mut().for_each(|job| job.over = true);
    assert!(!is_reported(&running) && !is_reported(&over));
}

// Guards against reports of jobs of which all tasks are done and only the end is not recorded.
#[test]
fn a_job_that_is_done_does_not_stand() {
    let mut done = view(&Shape::of_step(2, 1, false));
    set_done(&mut done, task(0, 0));
    assert!(is_reported(&done));
    set_done(&mut done, task(0, 1));
    assert!(!is_reported(&done));
}

// Guards against gangs that count as waiting while the ends of some members are missing.
#[test]
fn a_gang_is_done_with_one_member() {
    let mut done = view(&Shape::of_step(2, 1, true));
    set_done(&mut done, task(0, 1));
    assert!(!is_reported(&done));
}

// Guards against reports of steps whose turn has not come.
#[test]
fn a_step_waits_for_the_one_before() {
    let mut view = view(&Shape { steps: 2, ..single() });
    // A job whose first step has no room, while the second would have.
    let job = view.jobs.get_mut(JOB).expect("the view has the job");
    job.job.steps[0].need.accelerators = 9;
    assert!(!is_reported(&view));
    set_done(&mut view, task(0, 0));
    assert!(is_reported(&view));
}

// Guards against reports of occurrences that are not due.
#[test]
fn an_occurrence_stands_once_it_is_due() {
    let schedule = |delay| Shape { schedule: Some((2, delay, 60_000)), ..single() };
    assert!(!is_reported(&view(&schedule(STANDING_LIMIT_MS + STEP_MS))));
    assert!(is_reported(&view(&schedule(0))));
}

// Guards against reports of work for which there is room only once.
#[test]
fn there_must_be_room_twice_over() {
    assert!(!is_reported(&view(&Shape::of_step(3, 5, true))));
    assert!(!is_reported(&view(&Shape::of_step(2, 5, true))));
    assert!(is_reported(&view(&Shape::of_step(2, 4, true))));
    let mut one = view(&Shape::of_step(1, 5, false));
    assert!(is_reported(&one));
    one.workers[1].used.accelerators = 4;
    assert!(!is_reported(&one));
}

// Guards against room that counts at workers which may not run the task.
#[test]
fn only_workers_of_the_label_and_the_pool_have_room() {
    let mut rare = view(&Shape { rare: true, ..single() });
    assert!(!is_reported(&rare));
    rare.workers[1].labels = rare.jobs[JOB].job.steps.iter().map(|s| s.label.clone()).collect();
    assert!(is_reported(&rare));
    rare.workers[1].pool = "other".into();
    assert!(!is_reported(&rare));
}

// Guards against room that counts beyond the most tasks that a worker may take.
#[test]
fn the_limit_per_worker_bounds_the_room() {
    let shape = Shape { per_worker: 1, ..Shape::of_step(1, 1, false) };
    let mut limited = view(&shape);
    assert!(is_reported(&limited));
    limited.workers.pop();
    assert!(!is_reported(&limited));
}

// Guards against room that counts at workers which are down, drain or refuse starts.
#[test]
fn closed_workers_have_no_room() {
    let mut closed = view(&single());
    closed.workers.iter_mut().for_each(|worker| worker.open = false);
    assert!(!is_reported(&closed));
}

// Guards against reports while half of the pool is in use.
#[test]
fn the_rule_holds_while_under_half_of_the_pool_is_in_use() {
    let mut busy = view(&single());
    busy.workers[0].used.accelerators = 7;
    assert!(is_reported(&busy));
    busy.workers[1].used.accelerators = 1;
    assert!(!is_reported(&busy));
}

// Guards against reports of waits that a trouble explains.
#[test]
fn the_rule_holds_only_in_calm_times() {
    let mut troubled = view(&single());
    troubled.troubled_until = BEGIN_MS + STANDING_LIMIT_MS;
    assert!(!is_reported(&troubled));
}
