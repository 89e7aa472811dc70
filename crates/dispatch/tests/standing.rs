//! Log lines and counts of jobs of which nothing runs beside free workers.

mod crashing_pool;
mod harness;

use crashing_pool::CrashingPool;
use harness::{Harness, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_dispatch::Settings;
use quincewheel_job::{Advice, Evacuation, How, Job, Machine, Schedule, Step};
use quincewheel_wire::Notice;

const EVENTS: [&str; 3] = ["waits", "stands", "stood"];

/// Creates an owner with idle workers that collects the lines about waiting jobs.
fn idle_owner(agents: u64) -> Harness {
    let mut harness = Harness::new(1, agents).with_idle_workers(agents);
    harness.logged_events = EVENTS.to_vec();
    harness
}

/// Adds a job that is accepted now.
fn add_job(harness: &mut Harness, id: &str, version: u64, job: Job) {
    let accepted = harness.now;
    harness.owner.add_job(id, Job { accepted, ..job }, version, None);
    harness.tick();
}

/// Returns a gang that must share a rack.
fn gang(count: u32, accelerators: u64) -> Step {
    Step { gang: true, same_rack: true, ..step(count, accelerators) }
}

/// Lets time pass while the workers list what runs there.
fn pass(harness: &mut Harness, ms: u64, running: &[&[quincewheel_job::Run]]) {
    for _ in 0..ms / 100 {
        harness.advance(100);
        for (number, running) in (0..).zip(running) {
            harness.report_status(number, running, &[]);
        }
    }
}

/// Fills the sound workers w0 and w1 of four, and lets the first attempt of `a` fail at w2. Half of
/// the accelerators are in use, and under half of the processors.
fn with_last_attempt_waiting() -> Harness {
    let mut harness = Harness::new(1, 4);
    harness.owner.update_settings(Settings { doubt: 10_000, ..Settings::default() });
    let mut harness = harness.with_idle_workers(4);
    harness.logged_events = EVENTS.to_vec();
    add_job(&mut harness, "warm", 150, job(1, vec![step(2, 8)]));
    let warm = |index: u32| vec![run(task("warm", 0, index), 1)];
    pass(&mut harness, 1000, &[&warm(0), &warm(1), &[], &[]]);
    for number in 0..2 {
        harness.report_status(number, &[], &[end(1, task("warm", 0, number as u32), 1, How::Done)]);
    }
    add_job(&mut harness, "long", 151, job(1, vec![step(2, 8)]));
    add_job(&mut harness, "a", 152, job(1, vec![step(1, 8)]));
    let long = |index: u32| vec![run(task("long", 0, index), 1)];
    let first = [run(task("a", 0, 0), 1)];
    pass(&mut harness, 2000, &[&long(0), &long(1), &first, &[]]);
    harness.report_status(2, &[], &[end(1, task("a", 0, 0), 1, How::Failed)]);
    harness.take_orders();
    harness
}

// Guards against a job that stands for seconds on a settled, idle deployment and leaves no line of
// the free workers beside it.
#[test]
fn last_attempt_that_waits_beside_idle_workers_is_logged() {
    let mut harness = with_last_attempt_waiting();
    let long = |index: u32| vec![run(task("long", 0, index), 1)];
    pass(&mut harness, 4000, &[&long(0), &long(1), &[], &[]]);
    let counts = format!("{:?}", harness.owner.standing_jobs());
    pass(&mut harness, 3000, &[&long(0), &long(1), &[], &[]]);
    let after = format!("{:?}", harness.owner.standing_jobs());
    assert_snapshot!(format!("{counts}\n{}\n{after}", harness.take_logs()), @r"
    {Doubted: 1}
    waits a: a.0.0, 1 tasks, 1000 ms: waits for a sound worker: 2 sound; doubtful: none; an unknown one had room 1000 ms ago
    stands a: a.0.0, 1 tasks, 3000 ms, 1 runs before: waits for a sound worker: 2 sound; doubtful: none; an unknown one had room 3000 ms ago; pool p: free 16 of 32 accelerators, 254 of 256 cores; 4 workers open; planned 500 ms ago, next round in 500 ms by the monotonic clock; settled
    stood a: a.0.0, 5000 ms: started; before: waits for a sound worker
    {}
    ");
}

// Guards against a line for each job that waits for a full pool.
#[test]
fn job_that_waits_for_a_full_pool_does_not_stand() {
    let mut harness = idle_owner(2);
    add_job(&mut harness, "a", 150, job(1, vec![step(2, 8)]));
    add_job(&mut harness, "b", 151, job(1, vec![step(1, 8)]));
    harness.advance_with_pings(6000, 2);
    let counts = format!("{:?}", harness.owner.standing_jobs());
    assert_snapshot!(format!("{}\n{counts}", harness.take_logs()), @r"
    waits b: b.0.0, 1 tasks, 1000 ms: no room: room for 0 of 1, for 1 if nothing ran
    {}
    ");
}

// Guards against a line for a job whose next occurrence is not due, or has just become due.
#[test]
fn scheduled_job_that_is_not_due_does_not_stand() {
    let mut harness = idle_owner(2);
    let schedule = Schedule { first: harness.now + 9000, every: 1000, times: 1 };
    let scheduled = Job { schedule: Some(schedule), ..job(1, vec![step(1, 8)]) };
    add_job(&mut harness, "a", 150, scheduled);
    harness.advance_with_pings(12_000, 2);
    assert_snapshot!(harness.take_logs(), @"nothing");
}

// Guards against a job that stands without a line because one agent of a new owner is neither heard
// nor dropped.
#[test]
fn job_that_waits_for_an_agent_that_was_not_heard_is_logged() {
    let mut harness = Harness::new(2, 5);
    harness.logged_events = EVENTS.to_vec();
    harness.owner.add_job("old", job(1, vec![step(1, 8)]), 50, None);
    for number in 0..4 {
        harness.connect(number);
        harness.report_status(number, &[], &[]);
    }
    harness.advance_with_pings(9000, 4);
    assert_snapshot!(harness.take_logs(), @r"
    stands old: old.0.0, 1 tasks, 3000 ms, 0 runs before: unsettled: for w4 no connection; pool p: free 32 of 32 accelerators, 256 of 256 cores; 4 workers open; planned 0 ms ago, next round in 1000 ms by the monotonic clock; not settled
    stood old: old.0.0, 7700 ms: started; before: unsettled
    ");
}

// Guards against a job that leaves no line while the table does not confirm the ownership, after
// one of its runs was taken for over.
#[test]
fn job_that_waits_for_the_ownership_to_be_confirmed_is_logged() {
    let mut harness = idle_owner(5);
    harness.owner.update_settings(Settings { lists_machines: true, ..Settings::default() });
    add_job(&mut harness, "a", 150, job(1, vec![step(1, 8)]));
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.owner.on_disconnected(0);
    harness.advance(100);
    harness.now += 300;
    let machine = Machine { name: "m1".into(), worker: "i1".into(), ..Machine::default() };
    harness.owner.on_machines(vec![machine], true, 1, (harness.now, harness.now));
    for _ in 0..44 {
        harness.now += 100;
        for number in 1..5 {
            let ping = Notice::Ping { stamp: harness.now, silent: 0 };
            harness.owner.on_notice(number, ping, harness.now);
        }
        harness.owner.tick(harness.now, harness.now);
        harness.collect_outputs();
    }
    harness.owner.confirm_ownership(harness.now);
    pass(&mut harness, 1000, &[&[], &[], &[], &[], &[]]);
    assert_snapshot!(harness.take_logs(), @r"
    waits a: a.0.0, 1 tasks, 1000 ms: ownership not confirmed: a run was taken for over 1100 ms ago, the table confirmed the ownership 1400 ms ago
    stands a: a.0.0, 1 tasks, 3900 ms, 1 runs before: ownership not confirmed: a run was taken for over 3600 ms ago, the table confirmed the ownership 3900 ms ago; pool p: free 40 of 40 accelerators, 320 of 320 cores; 4 workers open, 1 no connection; planned 900 ms ago, next round in 100 ms by the monotonic clock; settled, ownership confirmed 3900 ms ago
    waits a: a.0.0, 1 tasks, 4400 ms: workers not open: w0 no connection, w1 no lease, w2 no lease, w3 no lease, w4 no lease
    stood a: a.0.0, 4800 ms: started; before: ownership not confirmed
    ");
}

// Guards against a job that leaves no line while a crash of its tasks is not recorded.
#[test]
fn job_whose_crash_is_not_recorded_is_logged() {
    let mut pool = CrashingPool::new(1, 5);
    pool.harness.logged_events = EVENTS.to_vec();
    pool.crashing_jobs = vec!["bad"];
    pool.submit("bad", job(1, vec![step(1, 8)]), 150);
    pool.table_writable = false;
    pool.advance(6000);
    pool.table_writable = true;
    pool.advance(2000);
    assert_snapshot!(pool.harness.take_logs(), @r"
    waits bad: bad.0.0, 1 tasks, 1000 ms: crash not recorded: may have crashed workers: bad.0.0.0
    stands bad: bad.0.0, 1 tasks, 3900 ms, 1 runs before: crash not recorded: may have crashed workers: bad.0.0.0; pool p: free 40 of 40 accelerators, 320 of 320 cores; 5 workers open; planned 990 ms ago, next round in 10 ms by the monotonic clock; settled
    stood bad: bad.0.0, 6900 ms: job ended; before: crash not recorded
    ");
}

// Guards against jobs that leave no line while the owner plans nothing, since it has not read the
// operators' rows.
#[test]
fn job_that_waits_while_planning_is_paused_is_logged() {
    let mut harness = idle_owner(5);
    let settings = Settings { evacuation_deadline: Some(5000), ..Settings::default() };
    harness.owner.update_settings(settings);
    harness.owner.set_evacuation(&Evacuation::default(), harness.now);
    harness.advance_with_pings(4000, 5);
    add_job(&mut harness, "a", 150, job(1, vec![step(1, 8)]));
    harness.advance_with_pings(5000, 5);
    harness.owner.set_evacuation(&Evacuation::default(), harness.now);
    harness.advance_with_pings(1000, 5);
    assert_snapshot!(harness.take_logs(), @r"
    waits a: a.0.0, 1 tasks, 1000 ms: planning paused: operators not heard for 6000 ms
    stands a: a.0.0, 1 tasks, 3000 ms, 0 runs before: planning paused: operators not heard for 7000 ms; pool p: free 40 of 40 accelerators, 320 of 320 cores; 5 workers open; planned 6900 ms ago, next round is due; settled, operators not heard for 7000 ms
    stood a: a.0.0, 5100 ms: started; before: planning paused
    ");
}

// Guards against a gang that waits for one rack without a line of the free workers beside it: less
// than half of the accelerators are free, but most of the processors and the memory are.
#[test]
fn gang_that_waits_for_a_rack_beside_free_workers_is_logged_once() {
    let mut harness = idle_owner(9);
    for (version, rack) in [(150, "r0"), (151, "r1"), (152, "r2")] {
        let labelled = |need| Step { label: rack.into(), per_worker: 1, ..need };
        let steps = vec![labelled(step(1, 8)), labelled(step(2, 4))];
        add_job(&mut harness, rack, version, job(1, steps));
    }
    add_job(&mut harness, "g", 153, job(1, vec![gang(3, 4)]));
    harness.advance_with_pings(6000, 9);
    harness.owner.cancel("g", harness.now);
    harness.advance_with_pings(1000, 9);
    assert_snapshot!(harness.take_logs(), @r"
    waits g: g.0.0, 3 tasks, 1000 ms: waits for one rack: room for 3 of 3, for 3 if nothing ran
    stands g: g.0.0, 3 tasks, 3000 ms, 0 runs before: waits for one rack: room for 3 of 3, for 3 if nothing ran; pool p: free 24 of 72 accelerators, 567 of 576 cores; 9 workers open; planned 0 ms ago, next round in 1000 ms by the monotonic clock; settled
    stood g: g.0.0, 7000 ms: job ended; before: waits for one rack
    ");
}

// Guards against a step that leaves no line while another task of its job must show first that it
// does not crash workers.
#[test]
fn step_that_waits_for_a_suspect_of_its_job_is_logged() {
    let mut pool = CrashingPool::new(1, 6);
    pool.crashing_jobs = vec!["bad"];
    let labelled = |label: &str, need| Step { label: label.into(), ..need };
    pool.submit("filler", job(1, vec![labelled("r0", step(3, 8))]), 149);
    let steps = vec![labelled("r1", step(3, 8)), labelled("r0", step(1, 8))];
    pool.submit("bad", job(1, steps), 150);
    pool.harness.logged_events = EVENTS.to_vec();
    pool.advance(4000);
    assert_snapshot!(pool.harness.take_logs(), @r"
    waits bad: bad.0.1, 1 tasks, 1000 ms: a suspect starts first: may have crashed workers: bad.0.0.0, bad.0.0.1, bad.0.0.2
    waits bad: bad.0.0, 1 tasks, 1000 ms: no worker of the label: r1 in pool p
    waits bad: bad.0.1, 1 tasks, 2000 ms: no room: room for 0 of 1, for 1 if nothing ran
    waits bad: bad.0.1, 1 tasks, 3000 ms: a suspect starts first: may have crashed workers: bad.0.0.0, bad.0.0.1, bad.0.0.2
    waits bad: bad.0.0, 2 tasks, 2900 ms: a suspect starts first: may have crashed workers: bad.0.0.0, bad.0.0.1, bad.0.0.2
    ");
}

// Guards against a cause that is told once and is another one for the rest of the wait.
#[test]
fn job_that_stands_is_logged_again_with_another_cause() {
    let mut harness = idle_owner(5);
    harness
        .owner
        .update_settings(Settings { evacuation_deadline: Some(9000), ..Settings::default() });
    harness.owner.set_evacuation(&Evacuation::default(), harness.now);
    let mut cleared = job(1, vec![step(1, 8)]);
    cleared.queue.advice = Some(Advice { decide: 100, each: 10, valid: 5000 });
    add_job(&mut harness, "a", 150, cleared);
    harness.advance_with_pings(8000, 5);
    add_job(&mut harness, "b", 151, job(1, vec![step(1, 8)]));
    harness.advance_with_pings(2000, 5);
    assert_snapshot!(harness.take_logs(), @r"
    waits a: a.0.0, 1 tasks, 1000 ms: no clearance: a question is out; may not run at 0, cleared for 0
    stands a: a.0.0, 1 tasks, 3000 ms, 0 runs before: no clearance: a question is out; may not run at 0, cleared for 0; pool p: free 40 of 40 accelerators, 320 of 320 cores; 5 workers open; planned 0 ms ago, next round in 1000 ms by the monotonic clock; settled
    stands a: a.0.0, 1 tasks, 8000 ms, 0 runs before: planning paused: operators not heard for 8000 ms; pool p: free 40 of 40 accelerators, 320 of 320 cores; 5 workers open; planned 1000 ms ago, next round is due; settled, operators not heard for 8000 ms
    waits b: b.0.0, 1 tasks, 1000 ms: planning paused: operators not heard for 10000 ms
    ");
}

// Guards against a log that is flooded by thousands of jobs that stand and start again together.
#[test]
fn lines_about_standing_jobs_are_limited_per_second() {
    let mut harness = idle_owner(9);
    harness.logged_events = vec!["stands", "stood"];
    let settings = Settings { evacuation_deadline: Some(5000), ..Settings::default() };
    harness.owner.update_settings(settings);
    harness.owner.set_evacuation(&Evacuation::default(), harness.now);
    harness.advance_with_pings(4000, 9);
    for number in 10..25 {
        harness.owner.add_job(&format!("a{number}"), job(1, vec![step(1, 1)]), 150 + number, None);
    }
    let mut seconds = Vec::new();
    for second in 0..7 {
        if second == 5 {
            harness.owner.set_evacuation(&Evacuation::default(), harness.now);
        }
        harness.advance_with_pings(1000, 9);
        let lines = harness.take_logs();
        let jobs = |event: &str| lines.lines().filter(|line| line.starts_with(event)).count();
        let rest = lines.lines().filter(|line| line.starts_with("stood :"));
        let rest = rest.collect::<Vec<_>>().join("; ");
        let counts = format!("{} stand, {} stood; {rest}", jobs("stands a"), jobs("stood a"));
        seconds.push(counts.trim_end_matches("; ").to_owned());
    }
    assert_snapshot!(seconds.join("\n"), @r"
    0 stand, 0 stood
    0 stand, 0 stood
    10 stand, 0 stood
    5 stand, 0 stood
    0 stand, 0 stood
    0 stand, 10 stood; stood : 5 more no longer stand
    0 stand, 0 stood
    ");
}
