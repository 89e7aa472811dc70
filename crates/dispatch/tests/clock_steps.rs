//! Steps of the time of day while work waits: nothing starts later than without the step.

mod harness;

use harness::{Harness, end, job, step, task};
use quincewheel_dispatch::Settings;
use quincewheel_job::{Config, How, Job, Schedule, Step, Team};
use quincewheel_wire::Notice;

/// Time of day at the beginning of a test, less the monotonic time.
const TIME_OF_DAY_AHEAD: u64 = 1_800_000_000_000;
/// Steps of the time of day, in milliseconds.
const STEPS_MS: [i64; 6] = [-3_600_000, -10_000, -2000, 2000, 10_000, 3_600_000];
/// Time from the beginning of most waits to the step.
const STEP_AT_MS: u64 = 300;
/// The same of a wait in which a round of planning takes place after 2.5 s.
const LATE_STEP_AT_MS: u64 = 3000;
/// How much later than without the step work may start: one round.
const ROUND_MS: u64 = 1000;
/// Longest wait that is looked at.
const MAX_WAIT_MS: u64 = 60_000;

/// A waiting job, and the order that ends its wait.
struct Scene {
    harness: Harness,
    workers: u64,
    order: &'static str,
    step_at: u64,
}

impl Scene {
    /// Returns after how long the order is sent if the time of day steps by this much.
    fn wait_ms(mut self, step_ms: i64) -> u64 {
        let began = self.harness.now;
        while self.harness.now < began + MAX_WAIT_MS {
            if self.harness.now == began + self.step_at {
                step_time_of_day(&mut self.harness, step_ms);
            }
            self.harness.advance_with_pings(100, self.workers);
            if self.harness.take_orders().contains(self.order) {
                break;
            }
        }
        self.harness.now - began
    }
}

/// Checks that the wait of a scene lasts `expected_ms` without a step, and no step prolongs it.
fn check(scene: impl Fn() -> Scene, expected_ms: u64) {
    assert_eq!(scene().wait_ms(0), expected_ms, "without a step");
    let waits: Vec<(i64, u64)> = STEPS_MS.map(|step| (step, scene().wait_ms(step))).into();
    let in_time = |(_, wait): &(i64, u64)| *wait <= expected_ms + ROUND_MS;
    assert!(waits.iter().all(in_time), "{expected_ms} ms without a step, by step: {waits:?}");
}

fn step_time_of_day(harness: &mut Harness, step_ms: i64) {
    harness.time_of_day_ahead = harness.time_of_day_ahead.saturating_add_signed(step_ms);
}

/// Creates an owner with idle workers that has run for a while.
fn idle_workers(workers: u64) -> Harness {
    let mut harness = Harness::new(1, workers);
    harness.time_of_day_ahead = TIME_OF_DAY_AHEAD;
    let mut harness = harness.with_idle_workers(workers);
    harness.owner.jobs_loaded(100);
    harness.advance_with_pings(1000, workers);
    harness
}

/// Adds a job that was accepted just now.
fn accept(harness: &mut Harness, id: &str, job: Job, version: u64) {
    let accepted = harness.time_of_day();
    harness.owner.add_job(id, Job { accepted, ..job }, version, None);
    harness.tick();
}

/// Two racks of three workers, three of the six busy, and a gang that needs three workers of one
/// rack. Half of the pool is in use, so that nothing else ends the wait.
fn gang_waits_for_a_rack(accepted_ahead: i64) -> Scene {
    let mut harness = idle_workers(6);
    for (id, label) in [("a", "r0"), ("b", "r1"), ("c", "r1")] {
        let busy = Step { label: label.into(), ..step(1, 8) };
        accept(&mut harness, id, job(1, vec![busy]), 150);
    }
    harness.take_orders();
    let gang = Step { gang: true, same_rack: true, ..step(3, 8) };
    let accepted = harness.time_of_day().saturating_add_signed(accepted_ahead);
    harness.owner.add_job("j", Job { accepted, ..job(1, vec![gang]) }, 200, None);
    harness.tick();
    assert_eq!(harness.take_orders(), "nothing");
    Scene { harness, workers: 6, order: "start j.0.0.0", step_at: STEP_AT_MS }
}

// A gang that waits 2 s for one rack waited longer by as much as the time of day was set back.
#[test]
fn wait_for_a_rack_is_no_longer_after_a_step() {
    check(|| gang_waits_for_a_rack(0), 2000);
}

// A gang whose job was accepted by an entry with a clock that was ahead waited for a rack until the
// owner's clock had caught up.
#[test]
fn wait_for_a_rack_is_no_longer_if_another_clock_is_ahead() {
    for ahead in STEPS_MS.into_iter().filter(|ahead| *ahead > 0) {
        let wait = gang_waits_for_a_rack(ahead).wait_ms(0);
        assert!(wait <= 2000 + ROUND_MS, "{wait} ms with a clock ahead by {ahead} ms");
    }
}

// A gang that leaves whole workers to urgent work for 1.5 s, as nothing of its job runs, did so for
// longer after a step back.
#[test]
fn deferral_of_an_idle_job_is_no_longer_after_a_step() {
    let scene = || {
        let mut harness = idle_workers(4);
        let mut waiting = job(1, vec![Step { gang: true, ..step(4, 8) }]);
        waiting.queue.slack = 30_000;
        accept(&mut harness, "j", waiting, 200);
        assert_eq!(harness.take_orders(), "nothing");
        Scene { harness, workers: 4, order: "start j.0.0.0", step_at: STEP_AT_MS }
    };
    check(scene, 1500);
}

// The last task of a job that leaves whole workers to urgent work until its objective is near did
// so for longer after a step back.
#[test]
fn deferral_until_an_objective_is_no_longer_after_a_step() {
    let scene = || {
        let mut harness = idle_workers(4);
        let mut waiting = job(1, vec![step(4, 8)]);
        waiting.queue.slack = 12_000;
        accept(&mut harness, "j", waiting, 200);
        harness.take_orders();
        Scene { harness, workers: 4, order: "start j.0.0.3", step_at: STEP_AT_MS }
    };
    check(scene, 5000);
}

// Capacity that another team borrows was reclaimed for a guarantee only after the step back had
// passed.
#[test]
fn borrowed_capacity_is_reclaimed_no_later_after_a_step() {
    let scene = || {
        let mut harness = idle_workers(1);
        let team = |name: &str, guaranteed| {
            (name.to_owned(), Team { name: name.into(), guaranteed, ..Team::default() })
        };
        let teams = [team("other", 8)].into();
        harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
        accept(&mut harness, "borrowed", job(0, vec![step(1, 8)]), 150);
        harness.deliver(0, Notice::Started { task: task("borrowed", 0, 0), run: 1 });
        let guaranteed = Job { team: "other".into(), ..job(0, vec![step(1, 8)]) };
        accept(&mut harness, "g", guaranteed, 200);
        harness.take_orders();
        Scene { harness, workers: 1, order: "stop borrowed.0.0.0", step_at: STEP_AT_MS }
    };
    check(scene, 1100);
}

// A last attempt that waits 5 s for a sound worker waited longer after a step back.
#[test]
fn wait_for_a_sound_worker_is_no_longer_after_a_step() {
    let scene = || {
        let mut harness = idle_workers(4);
        harness.owner.update_settings(Settings { doubt: 10_000, ..Settings::default() });
        // Half of the pool is in use, so that nothing else ends the wait.
        let other = Step { label: "r1".into(), ..step(1, 8) };
        accept(&mut harness, "other", job(1, vec![other]), 149);
        harness.deliver(3, Notice::Started { task: task("other", 0, 0), run: 1 });
        let first = Step { label: "r0".into(), ..step(1, 8) };
        accept(&mut harness, "warm", job(1, vec![first.clone()]), 150);
        harness.deliver(0, Notice::Started { task: task("warm", 0, 0), run: 1 });
        harness.advance_with_pings(1000, 4);
        harness.report_status(0, &[], &[end(1, task("warm", 0, 0), 1, How::Done)]);
        accept(&mut harness, "long", job(1, vec![first]), 151);
        accept(&mut harness, "j", job(1, vec![step(1, 8)]), 200);
        harness.deliver(0, Notice::Started { task: task("long", 0, 0), run: 1 });
        harness.deliver(1, Notice::Started { task: task("j", 0, 0), run: 1 });
        harness.advance_with_pings(3000, 4);
        harness.take_orders();
        harness.report_status(1, &[], &[end(1, task("j", 0, 0), 1, How::Failed)]);
        Scene { harness, workers: 4, order: "start j.0.0.0 run 2", step_at: LATE_STEP_AT_MS }
    };
    check(scene, 5000);
}

// An occurrence that had been due was not retried after a step back: it was no longer due.
#[test]
fn occurrence_that_has_been_due_stays_due() {
    for step_ms in STEPS_MS {
        let mut harness = idle_workers(1);
        accept(&mut harness, "busy", job(1, vec![step(1, 8)]), 150);
        let first = harness.time_of_day() + 200;
        let schedule = Some(Schedule { times: 2, first, every: 1_000_000_000 });
        accept(&mut harness, "j", Job { schedule, ..job(1, vec![step(1, 8)]) }, 200);
        harness.advance_with_pings(500, 1);
        step_time_of_day(&mut harness, step_ms);
        harness.advance_with_pings(500, 1);
        harness.take_orders();
        harness.report_status(0, &[], &[end(1, task("busy", 0, 0), 1, How::Done)]);
        assert_eq!(harness.take_orders(), "w0 start j.0.0.0 run 1 ", "step {step_ms} ms");
    }
}

// The time of day of a schedule is that of its user: an occurrence that the clock has passed starts
// at once, and one that it has not reached again waits.
#[test]
fn occurrence_that_is_not_due_follows_the_time_of_day() {
    for (step_ms, starts) in [(10_000, true), (-10_000, false)] {
        let mut harness = idle_workers(1);
        let first = harness.time_of_day() + 5000;
        let schedule = Some(Schedule { times: 1, first, every: 0 });
        accept(&mut harness, "j", Job { schedule, ..job(1, vec![step(1, 8)]) }, 200);
        step_time_of_day(&mut harness, step_ms);
        harness.advance_with_pings(100, 1);
        assert_eq!(harness.take_orders().contains("start j.0.0.0"), starts, "step {step_ms} ms");
        harness.advance_with_pings(6000, 1);
        assert_eq!(harness.take_orders(), "nothing", "step {step_ms} ms");
    }
}
