//! Each relation between the times of the clearance service, the validity of its tickets, the number
//! of workers, the size of a gang and the delay of the network.

mod clearance_site;
mod harness;

use clearance_site::{ClearanceSite, queue};
use harness::{job, step};
use insta::assert_snapshot;
use quincewheel_job::{Advice, Job, Step};

/// How much later than needed a job may start, in milliseconds: users count it as lost after 3 s.
const MAX_EXTRA_MS: u64 = 3000;
/// Delay of a message beside that of the network: the step of the test's clock, twice.
const TICK_MS: u64 = 20;

/// One deployment and one job.
#[derive(Clone, Copy, Debug)]
struct Case {
    advice: Advice,
    workers: u64,
    /// How many of them, the first ones, may not run the step.
    barred: u64,
    /// Size of the gang; 0 for one task that is in none.
    gang: u64,
    /// Delay of a message, in milliseconds.
    delay: u64,
    /// Whether tickets are valid from the beginning of a call on.
    counts_from_begin: bool,
}

impl Case {
    /// Returns whether some sequence of calls and starts would start the job.
    fn is_possible(&self) -> bool {
        let Advice { decide, each, valid } = self.advice;
        let under_way = 2 * self.delay + TICK_MS;
        let needed = self.gang.max(1);
        let counted = match self.counts_from_begin {
            true => decide + each * needed,
            // What the calls after the first take; one names 100 workers at most.
            false => {
                let rest = needed.saturating_sub(100);
                rest.div_ceil(100) * (decide + under_way) + each * rest
            }
        };
        needed + self.barred <= self.workers && valid > counted + under_way
    }

    /// Returns how long a plain sequence takes: each worker is asked about by itself, and then the
    /// tickets that are needed are requested.
    fn plain_ms(&self) -> u64 {
        let Advice { decide, each, .. } = self.advice;
        let call = |workers: u64| decide + each * workers + 2 * self.delay + TICK_MS;
        (self.barred + 1) * call(1) + 2 * call(self.gang)
    }

    fn site(&self) -> ClearanceSite {
        let mut site = ClearanceSite::new(1, self.workers, self.advice);
        site.barred = (0..self.barred).collect();
        site.delay = self.delay;
        site.counts_from_begin = self.counts_from_begin;
        site.run_ms = 60_000;
        let step = match self.gang {
            0 => step(1, 8),
            count => Step { gang: true, ..step(count as u32, 8) },
        };
        let job = Job { queue: queue(Some(self.advice)), ..job(1, vec![step]) };
        site.harness.owner.add_job("a", job, 150, None);
        site
    }

    /// Plays the case; an error tells what went wrong.
    fn play(&self) -> Result<(), String> {
        let mut site = self.site();
        let bound = self.plain_ms() + MAX_EXTRA_MS;
        let before = site.harness.now;
        let started = site.pass_until_running(self.gang.max(1) as usize, bound);
        let (took, refused, calls) =
            (site.harness.now - before, site.refused.len(), site.calls.len() as u64);
        let most_refused = if self.counts_from_begin { 4 * self.gang.max(1) } else { 0 };
        let is_sound = started && refused as u64 <= most_refused && calls <= self.barred + 12;
        match is_sound {
            true => Ok(()),
            false => Err(format!(
                "started {started} after {took} of {bound} ms, {refused} refused, {calls} calls"
            )),
        }
    }
}

/// Returns all cases of a kind that are possible.
fn cases(counts_from_begin: bool) -> Vec<Case> {
    let mut cases = Vec::new();
    for decide in [0, 100, 500, 2000] {
        for each in [0, 10, 120, 500] {
            for valid in [60, 150, 600, 1300, 3000, 10_000] {
                for (workers, barred) in [(1, 0), (3, 0), (3, 2), (11, 0), (11, 7), (30, 20)] {
                    for gang in [0, 2, 4, 11] {
                        for delay in [5, 100] {
                            let advice = Advice { decide, each, valid };
                            let case =
                                Case { advice, workers, barred, gang, delay, counts_from_begin };
                            cases.push(case);
                        }
                    }
                }
            }
        }
    }
    cases.retain(Case::is_possible);
    cases
}

fn play_all(cases: &[Case]) -> String {
    let failed: Vec<String> =
        cases.iter().filter_map(|case| Some(format!("{case:?}: {}", case.play().err()?))).collect();
    format!("{} of {} failed\n{}", failed.len(), cases.len(), failed.join("\n"))
}

// No job of a queue ever started (LOST): a call for all workers takes 1.82 s, tickets are valid for 3 s,
// and they were taken for too old when they arrived.
#[test]
fn job_starts_though_a_call_takes_most_of_the_validity() {
    let advice = Advice { decide: 500, each: 120, valid: 3000 };
    let workers = 11;
    let case = Case { advice, workers, barred: 0, gang: 0, delay: 5, counts_from_begin: false };
    assert_eq!(case.play(), Ok(()));
}

// The same for any other times for which some sequence of calls and starts would work.
#[test]
fn job_starts_whatever_the_times_of_the_service() {
    assert_snapshot!(play_all(&cases(false)).trim_end(), @"0 of 2240 failed");
}

// The same where tickets are valid from the beginning of a call on: those of a long call have expired when
// it is answered.
#[test]
fn job_starts_though_tickets_count_from_the_beginning_of_a_call() {
    assert_snapshot!(play_all(&cases(true)).trim_end(), @"0 of 1426 failed");
}

// A job waited for tens of seconds: the service takes 2 s for any call, most workers are barred, and each was
// asked about by itself.
#[test]
fn slow_service_is_asked_about_several_workers_at_once() {
    let advice = Advice { decide: 2000, each: 10, valid: 3000 };
    let (workers, barred) = (30, 20);
    let case = Case { advice, workers, barred, gang: 0, delay: 5, counts_from_begin: false };
    let mut site = case.site();
    assert!(site.pass_until_running(1, 5000), "{:?}", site.calls);
}

// A gang that needs tickets from more than one call did not start: its first tickets were renewed while the
// last came.
#[test]
fn gang_starts_that_needs_tickets_of_several_calls() {
    let mut cases = Vec::new();
    for (decide, each, valid) in [(100, 10, 1000), (500, 20, 1500), (0, 5, 300), (100, 0, 400)] {
        let advice = Advice { decide, each, valid };
        for barred in [0, 30] {
            let (workers, gang) = (160, 120);
            let case = Case { advice, workers, barred, gang, delay: 5, counts_from_begin: false };
            assert!(case.is_possible(), "{case:?}");
            cases.push(case);
        }
    }
    assert_snapshot!(play_all(&cases).trim_end(), @"0 of 8 failed");
}

// A gang that no sequence of calls can clear kept the service busy, and the jobs beside it waited.
#[test]
fn gang_that_cannot_be_cleared_leaves_the_service_to_others() {
    let advice = Advice { decide: 100, each: 10, valid: 250 };
    let (workers, gang) = (160, 120);
    let case = Case { advice, workers, barred: 0, gang, delay: 5, counts_from_begin: false };
    assert!(!case.is_possible());
    let mut site = case.site();
    site.pass(20_000);
    let calls = site.calls.len();
    let other = Job { queue: queue(Some(advice)), ..job(1, vec![step(1, 8)]) };
    site.harness.owner.add_job("b", other, 151, None);
    assert!(site.pass_until_started(1, 3000));
    assert_eq!((site.started[0].1.job.as_str(), site.refused.len()), ("b", 0));
    assert!(calls <= 20, "{calls} calls in 20 s");
}

// Calls were made again and again whose answers were never used.
#[test]
fn calls_of_no_use_are_made_at_a_bounded_pace() {
    let advice = Advice { decide: 0, each: 0, valid: 1000 };
    let workers = 3;
    let case = Case { advice, workers, barred: 0, gang: 0, delay: 5, counts_from_begin: false };
    // The answers arrive after the tickets have expired, the service clears nobody, or gives no answer.
    let mut late = Case { advice: Advice { valid: 8, ..advice }, ..case }.site();
    late.delay = 50;
    let mut barred = Case { barred: workers, ..case }.site();
    let mut silent = case.site();
    silent.answers = false;
    let counts = [&mut late, &mut barred, &mut silent].map(|site| {
        site.pass(20_000);
        assert!(site.started.is_empty());
        (site.calls.len() <= 20, site.refused.len() <= 20)
    });
    assert_snapshot!(format!("{counts:?}"), @"[(true, true), (true, true), (true, true)]");
}
