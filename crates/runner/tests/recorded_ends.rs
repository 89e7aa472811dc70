//! Courses of random trouble in which no task may run twice: no two runs at a time, and none starts
//! after the end of another as done that is acknowledged then or later. All jobs end after the last
//! trouble.

mod deployment;
mod simulation;

use deployment::{Deployment, Fault, KINDS, Kind, MORE_KINDS};

/// Workers of a course.
const HOSTS: usize = 5;
/// Duration of a course, in milliseconds.
const DURATION_MS: u64 = 30_000;

/// Time after the last trouble within which all jobs end, in milliseconds.
const RECOVERY_MS: u64 = 60_000;

/// A course of trouble.
struct Course {
    seed: u64,
    faults: Vec<Fault>,
    /// Workers keep their ids when they restart.
    keeps_ids: bool,
    /// It goes on after the last trouble, until all jobs have ended.
    recovers: bool,
    /// The most ends that a worker lists at a time; as the platform's if none.
    max_listed_ends: Option<usize>,
}

impl Course {
    fn draw(seed: u64, kinds: &[Kind]) -> Course {
        let faults = deployment::draw(seed, HOSTS, DURATION_MS - 2000, kinds);
        Course { seed, faults, keeps_ids: false, recovers: false, max_listed_ends: None }
    }

    /// A course that also has the kinds of trouble of [`MORE_KINDS`], and restarts in which workers
    /// keep their ids.
    fn draw_more(seed: u64, kinds: &[Kind]) -> Course {
        let kinds: Vec<Kind> = kinds.iter().chain(&MORE_KINDS).copied().collect();
        Course { keeps_ids: seed % 2 == 1, recovers: true, ..Course::draw(seed, &kinds) }
    }

    /// Runs the course. Returns the deployment and the first violation.
    fn run(&self, traced: bool) -> (Deployment, Option<String>) {
        let mut deployment = Deployment::new(self.seed, HOSTS, self.faults.clone(), traced);
        if self.keeps_ids {
            deployment.keep_ids();
        }
        if let Some(count) = self.max_listed_ends {
            deployment.max_listed_ends = count;
        }
        deployment.run(DURATION_MS);
        let active = if self.recovers { self.recover(&mut deployment) } else { Vec::new() };
        let violation = match deployment.history.violations.first() {
            Some(violation) => Some(violation.clone()),
            None if active.is_empty() => None,
            None => Some(format!("jobs do not end after the last trouble: {}", active.join(", "))),
        };
        (deployment, violation)
    }

    /// Lets all trouble and all jobs end, and returns the jobs that do not.
    fn recover(&self, deployment: &mut Deployment) -> Vec<String> {
        let last_trouble = self.faults.iter().map(Fault::end).max().unwrap_or(0).max(DURATION_MS);
        deployment.drain(last_trouble, RECOVERY_MS)
    }

    fn violation(&self) -> Option<String> {
        self.run(false).1
    }

    /// Removes faults that the violation does not need.
    fn shrink(&mut self) {
        loop {
            let before = self.faults.len();
            let mut index = 0;
            while index < self.faults.len() {
                let fault = self.faults.remove(index);
                if self.violation().is_none() {
                    self.faults.insert(index, fault);
                    index += 1;
                }
            }
            if self.faults.len() == before {
                return;
            }
        }
    }

    /// Shrinks the course, and writes what happened in it to a file.
    fn explain(mut self, folder: &str) {
        self.shrink();
        let (deployment, violation) = self.run(true);
        let lines = deployment.trace.unwrap_or_default().join("\n");
        let text = format!("{violation:?}\n{:#?}\n{lines}", self.faults);
        std::fs::write(format!("{folder}/{}.log", self.seed), text).expect("the folder exists");
    }
}

/// Runs courses, and returns those in which a task ran twice or a job did not end.
fn violations(courses: impl Iterator<Item = Course>) -> Vec<String> {
    let describe = |course: Course| {
        course.violation().map(|violation| format!("seed {}: {violation}", course.seed))
    };
    courses.filter_map(describe).collect()
}

/// Runs the course of a seed with the usual kinds of trouble.
fn violations_of(seed: u64) -> Vec<String> {
    violations(std::iter::once(Course::draw(seed, &KINDS)))
}

// No task runs twice in a few courses with all kinds of trouble. Two tests share them, to run at the
// same time.
#[test]
fn no_task_runs_twice_in_short_courses() {
    let courses = (1000..1050).map(|seed| Course::draw(seed, &KINDS));
    assert_eq!(violations(courses), Vec::<String>::new());
}

// As above, in other courses.
#[test]
fn no_task_runs_twice_in_further_short_courses() {
    let courses = (1050..1100).map(|seed| Course::draw(seed, &KINDS));
    assert_eq!(violations(courses), Vec::<String>::new());
}

// All jobs end within a minute after the last trouble. A mend that holds runs back for too long would
// leave some waiting.
#[test]
fn all_jobs_end_after_the_last_trouble() {
    let course = |seed| Course { recovers: true, ..Course::draw(seed, &KINDS) };
    assert_eq!(violations((1100..1110).map(course)), Vec::<String>::new());
}

// No task runs twice, and all jobs end, when orders are delayed in one direction, workers stop for
// seconds, and workers keep their ids.
#[test]
fn no_task_runs_twice_when_workers_freeze_or_keep_their_ids() {
    let courses = (1200..1210).map(|seed| Course::draw_more(seed, &KINDS));
    assert_eq!(violations(courses), Vec::<String>::new());
}

// No task runs twice, and all jobs end, where workers list two ends at a time, so that most of the ends
// during an outage of the table are not listed.
#[test]
fn no_task_runs_twice_where_lists_of_ends_are_truncated() {
    let course = |seed| Course { max_listed_ends: Some(2), ..Course::draw_more(seed, &KINDS) };
    assert_eq!(violations((1300..1330).map(course)), Vec::<String>::new());
}

// An agent restarts while heartbeats are repeated and delayed and workers are replaced.
#[test]
fn seed_202501_agents_restart_among_stale_heartbeats() {
    assert_eq!(violations_of(202_501), Vec::<String>::new());
}

// Agents that were suspended reconnect while their workers refuse starts as late.
#[test]
fn seed_101597_refusals_cross_repeated_starts() {
    assert_eq!(violations_of(101_597), Vec::<String>::new());
}

// A worker answers after a silence, and runs what is ordered again.
#[test]
fn seed_1198_runs_start_after_a_silence() {
    assert_eq!(violations_of(1198), Vec::<String>::new());
}

// An agent restarts, reports that it has no worker, and finds it while disconnected.
#[test]
fn seed_401039_an_agent_finds_its_worker_while_disconnected() {
    assert_eq!(violations_of(401_039), Vec::<String>::new());
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

// No task runs twice where workers are suspended for seconds and their clocks, and with them their
// leases, stand still.
#[test]
fn seed_700020_clocks_of_suspended_workers_stand_still() {
    let kinds = [&KINDS[..], &[Kind::WorkerSuspended]].concat();
    assert_eq!(Course::draw_more(700_020, &kinds).violation(), None);
}

// A worker restarts under its id, and its agent hears neither a heartbeat nor a list of the next process
// for seconds. The former process's notice of leaving arrives when the next one runs what was ordered since.
#[test]
fn seed_941949_a_late_notice_of_leaving_ends_runs_of_the_next_process() {
    let course = Course::draw_more(941_949, &KINDS);
    assert_eq!(Course { max_listed_ends: Some(3), ..course }.violation(), None);
}

// No task runs twice, and all jobs end, in COUNT courses from SEED on, for hunts by hand. With MORE=1,
// the courses have more kinds of trouble, and every other seed has workers that keep their ids. With
// SUSPENDED=1, clocks of workers stand still at times. With LISTED=n, workers list n ends at a time. With TRACES, a folder, each violation is
// shrunk and its trace is written there.
#[test]
fn no_task_runs_twice_in_chosen_courses() {
    let (first, count) = (number("SEED", 0), number("COUNT", 10));
    let more = number("MORE", 0) > 0;
    let mut kinds = kinds();
    if number("SUSPENDED", 0) > 0 {
        kinds.push(Kind::WorkerSuspended);
    }
    let mut found = 0;
    for seed in first..first + count {
        let course =
            if more { Course::draw_more(seed, &kinds) } else { Course::draw(seed, &kinds) };
        let listed = number("LISTED", 0) as usize;
        let max_listed_ends = (listed > 0).then_some(listed);
        let course = Course { recovers: true, max_listed_ends, ..course };
        let Some(violation) = course.violation() else { continue };
        found += 1;
        println!("seed {seed}: {violation}");
        if let Ok(folder) = std::env::var("TRACES") {
            course.explain(&folder);
        }
    }
    assert_eq!(found, 0, "of {count} courses");
}
