//! Records of workers: what makes them doubtful, and what ends that.

use insta::assert_snapshot;
use quincewheel_job::Incarnation;
use quincewheel_trust::{Change, Outcome, Trust};

const DOUBT: u64 = 10_000;

/// Records, the time, and what was noted of them.
#[derive(Default)]
struct Course {
    trust: Trust,
    now: u64,
    lines: Vec<String>,
}

impl Course {
    /// Records the end of a run that was started `ran` milliseconds ago.
    fn end(&mut self, worker: &str, job: &str, ran: u64, success: bool) {
        self.now += 1;
        let started = self.now.saturating_sub(ran);
        let (job, ran) = (job.to_owned(), Some(ran));
        let outcome = Outcome { worker: worker.into(), job, started, ran, success };
        let changes = self.trust.record(&outcome, DOUBT, self.now);
        let names = changes.iter().map(|change| match change {
            Change::Doubted(record) => format!(" doubted, trial in {}", record.backoff()),
            Change::SoundAgain(_) => " sound again".to_owned(),
            Change::Attributed(job, workers) => format!(" {job} blamed at {}", workers.join(" ")),
        });
        let names: String = names.collect();
        let how = if success { "succeeds" } else { "fails" };
        let grade = self.grade(worker);
        self.lines.push(format!("{} {how} at {worker}:{names} {grade}", outcome.job));
    }

    fn fail(&mut self, worker: &str, job: &str, ran: u64) {
        self.end(worker, job, ran, false);
    }

    fn succeed(&mut self, worker: &str, job: &str, ran: u64) {
        self.end(worker, job, ran, true);
    }

    /// Lets time pass.
    fn wait(&mut self, ms: u64, worker: &str) {
        self.now += ms;
        let grade = self.grade(worker);
        self.lines.push(format!("after {ms} ms: {worker} {grade}"));
    }

    fn grade(&self, worker: &str) -> &'static str {
        self.trust.grade(&worker.into(), DOUBT, self.now).name()
    }

    fn text(&self) -> String {
        self.lines.join("\n")
    }
}

fn course() -> Course {
    Course { now: 100_000, ..Course::default() }
}

// Tasks of the least urgent queue fail by themselves in 5 of 100 runs. If each such failure made its
// worker doubtful, a good part of the pool would be closed at any time.
#[test]
fn single_late_failure_or_those_of_one_job_do_not_make_a_worker_doubtful() {
    let mut course = course();
    course.succeed("w", "a", 7000);
    course.fail("w", "a", 6000);
    course.fail("w", "a", 6000);
    course.succeed("w", "b", 7000);
    course.fail("w", "b", 501);
    assert_snapshot!(course.text(), @r"
    a succeeds at w: sound
    a fails at w: sound
    a fails at w: sound
    b succeeds at w: sound
    b fails at w: sound
    ");
}

#[test]
fn immediate_failure_or_late_ones_of_two_jobs_make_a_worker_doubtful_until_a_success() {
    let mut course = course();
    course.fail("w", "a", 500);
    course.wait(1000, "w");
    course.succeed("w", "b", 700);
    course.fail("v", "a", 6000);
    course.fail("v", "b", 6000);
    course.succeed("v", "c", 7000);
    assert_snapshot!(course.text(), @r"
    a fails at w: doubted, trial in 1000 doubtful
    after 1000 ms: w doubtful
    b succeeds at w: sound again sound
    a fails at v: unknown
    b fails at v: doubted, trial in 1000 doubtful
    c succeeds at v: sound again sound
    ");
}

// A worker that began to fail everything was taken for sound again and again, as its earlier runs
// went on and succeeded.
#[test]
fn success_of_a_run_from_before_an_immediate_failure_does_not_end_the_doubt() {
    let mut course = course();
    course.fail("w", "a", 50);
    course.succeed("w", "b", 7000);
    course.wait(3000, "w");
    course.succeed("w", "c", 2000);
    assert_snapshot!(course.text(), @r"
    a fails at w: doubted, trial in 1000 doubtful
    b succeeds at w: doubtful
    after 3000 ms: w doubtful
    c succeeds at w: sound again sound
    ");
}

// Eight tasks that start together fail together: they are one trial and not eight.
#[test]
fn backoff_doubles_with_each_failed_trial_from_1_s_to_16_s_and_starts_anew_after_a_success() {
    let mut course = course();
    (0..8).for_each(|_| course.fail("w", "a", 50));
    for trial in 0..6 {
        course.wait(1000 << trial.min(4), "w");
        course.fail("w", "b", 50);
    }
    course.wait(16_000, "w");
    course.succeed("w", "c", 50);
    course.fail("w", "a", 50);
    assert_snapshot!(course.text(), @r"
    a fails at w: doubted, trial in 1000 doubtful
    a fails at w: doubtful
    a fails at w: doubtful
    a fails at w: doubtful
    a fails at w: doubtful
    a fails at w: doubtful
    a fails at w: doubtful
    a fails at w: doubtful
    after 1000 ms: w doubtful
    b fails at w: doubted, trial in 2000 doubtful
    after 2000 ms: w doubtful
    b fails at w: doubted, trial in 4000 doubtful
    after 4000 ms: w doubtful
    b fails at w: doubted, trial in 8000 doubtful
    after 8000 ms: w doubtful
    b fails at w: doubted, trial in 16000 doubtful
    after 16000 ms: w doubtful
    b fails at w: doubted, trial in 16000 doubtful
    after 16000 ms: w doubtful
    b fails at w: doubted, trial in 16000 doubtful
    after 16000 ms: w doubtful
    c succeeds at w: sound again sound
    a fails at w: doubted, trial in 1000 doubtful
    ");
}

#[test]
fn doubt_expires_after_its_time_without_a_failure_and_not_before_the_next_trial_could_end() {
    let mut course = course();
    course.succeed("w", "a", 2000);
    course.fail("w", "a", 50);
    course.wait(DOUBT - 1, "w");
    course.wait(1, "w");
    for trial in 0..5 {
        course.fail("v", "a", 50);
        course.wait(1000 << trial, "v");
    }
    course.wait(15_999, "v");
    course.wait(1, "v");
    assert_snapshot!(course.text(), @r"
    a succeeds at w: sound
    a fails at w: doubted, trial in 1000 doubtful
    after 9999 ms: w doubtful
    after 1 ms: w unknown
    a fails at v: doubted, trial in 1000 doubtful
    after 1000 ms: v doubtful
    a fails at v: doubted, trial in 2000 doubtful
    after 2000 ms: v doubtful
    a fails at v: doubted, trial in 4000 doubtful
    after 4000 ms: v doubtful
    a fails at v: doubted, trial in 8000 doubtful
    after 8000 ms: v doubtful
    a fails at v: doubted, trial in 16000 doubtful
    after 16000 ms: v doubtful
    after 15999 ms: v doubtful
    after 1 ms: v unknown
    ");
}

// A job that fails at once wherever it starts closed one worker after the other.
#[test]
fn failures_of_a_bad_job_are_removed_from_workers_where_other_jobs_succeed() {
    let mut course = course();
    ["u", "v", "w"].iter().for_each(|worker| course.succeed(worker, "a", 2000));
    ["u", "v", "w"].iter().for_each(|worker| course.fail(worker, "bad", 50));
    ["u", "v"].iter().for_each(|worker| course.wait(0, worker));
    assert_snapshot!(course.text(), @r"
    a succeeds at u: sound
    a succeeds at v: sound
    a succeeds at w: sound
    bad fails at u: doubted, trial in 1000 doubtful
    bad fails at v: doubted, trial in 1000 doubtful
    bad fails at w: bad blamed at u v w unknown
    after 0 ms: u unknown
    after 0 ms: v unknown
    ");
}

// Three workers began to fail everything while one job with many tasks started there. Their earlier
// runs still succeeded, so the job was blamed for as long as these lasted.
#[test]
fn workers_that_fail_several_jobs_are_not_excused_by_one_of_them() {
    let mut course = course();
    ["u", "v", "w"].iter().for_each(|worker| course.succeed(worker, "a", 2000));
    course.fail("u", "other", 50);
    ["u", "v", "w"].iter().for_each(|worker| course.fail(worker, "wide", 50));
    course.fail("x", "wide", 50);
    assert_snapshot!(course.text(), @r"
    a succeeds at u: sound
    a succeeds at v: sound
    a succeeds at w: sound
    other fails at u: doubted, trial in 1000 doubtful
    wide fails at u: doubtful
    wide fails at v: doubted, trial in 1000 doubtful
    wide fails at w: doubted, trial in 1000 doubtful
    wide fails at x: doubted, trial in 1000 doubtful
    ");
}

// A worker that restarts under its id is another one, and may have been mended.
#[test]
fn restarted_worker_is_unknown() {
    let mut trust = Trust::default();
    let incarnation = |born| Incarnation { id: "w".to_owned(), born };
    let failed = |born| Outcome { worker: incarnation(born), ran: Some(50), ..Outcome::default() };
    trust.record(&failed(1), DOUBT, 5000);
    let before = [1, 2].map(|born| trust.grade(&incarnation(born), DOUBT, 5000).name());
    trust.record(&failed(2), DOUBT, 6000);
    trust.forget(&incarnation(1));
    let after = [1, 2].map(|born| trust.grade(&incarnation(born), DOUBT, 6000).name());
    trust.forget(&incarnation(2));
    let left = trust.get(&incarnation(2)).is_some();
    assert_snapshot!(format!("{before:?} {after:?} {left}"), @r#"["doubtful", "unknown"] ["unknown", "doubtful"] false"#);
}

// Most workers of a pool failed their tasks as the storage behind them was gone; with all of them
// closed, nothing ran.
#[test]
fn at_most_one_worker_in_four_of_a_pool_is_doubtful_those_with_the_most_immediate_failures() {
    let mut course = course();
    let names: Vec<String> = (0..9).map(|number| format!("w{number}")).collect();
    for (number, name) in names.iter().enumerate() {
        (0..number).for_each(|_| course.fail(name, name, 50));
    }
    let workers: Vec<Incarnation> = names.iter().map(|name| name.as_str().into()).collect();
    let pool = |index: usize| if index < 8 { "p" } else { "q" };
    let named = workers.iter().enumerate().map(|(index, worker)| (worker, pool(index)));
    let standings = course.trust.standings(named, DOUBT, course.now);
    let grades: Vec<&str> = standings.iter().map(|standing| standing.grade.name()).collect();
    assert_snapshot!(grades.join(" "), @"unknown unknown unknown unknown unknown unknown doubtful doubtful doubtful");
}

// The row is read by the next owner, whose clock may be behind.
#[test]
fn row_keeps_what_is_known_of_failures_within_48_kib() {
    const BORN: u64 = 1_700_000_000_000;
    const AT: u64 = BORN + 50_000;
    let mut trust = Trust::default();
    for number in 0..7500u64 {
        let worker = Incarnation { id: format!("worker-of-the-site-{number:05}"), born: BORN };
        let (job, success) = (format!("{number:032x}"), number % 3 == 0);
        let ran = Some(if number < 20 { 50 } else { 5000 });
        trust.record(&Outcome { worker, job, started: 0, ran, success }, DOUBT, AT);
    }
    let row = serde_json::to_string(&trust.for_row(DOUBT, AT)).unwrap();
    let mut read: Trust = serde_json::from_str(&row).unwrap();
    read.clamp(AT - 10_000);
    let grade = |number: u64, now| {
        let worker = Incarnation { id: format!("worker-of-the-site-{number:05}"), born: BORN };
        read.grade(&worker, DOUBT, now).name()
    };
    let grades = [(0, AT - 10_000), (1, AT - 1), (1, AT), (7499, AT - 10_000)];
    let grades = grades.map(|(number, now)| grade(number, now));
    let fits = row.len() <= 48 * 1024 && row.len() > 40 * 1024;
    assert_snapshot!(format!("{fits} {grades:?}"), @r#"true ["unknown", "doubtful", "unknown", "unknown"]"#);
}
