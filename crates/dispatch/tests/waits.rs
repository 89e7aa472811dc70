//! Log lines about steps that are due and do not start: without them an accepted job stands still
//! and no line says why, since only decisions were logged and not what kept a decision from being
//! made.

mod harness;

use harness::{Harness, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Advice, Config, How, Job, Resources, Step, Team};
use quincewheel_wire::Notice;

/// Creates an owner with idle workers that collects the log lines about waiting steps.
fn idle_owner(agents: u64) -> Harness {
    let mut harness = Harness::new(1, agents).with_idle_workers(agents);
    harness.logged_events = vec!["waits", "waits left out", "unsettled"];
    harness
}

/// Adds a job that is accepted now.
fn add_job(harness: &mut Harness, id: &str, version: u64, job: Job) {
    let accepted = harness.now;
    harness.owner.add_job(id, Job { accepted, ..job }, version, None);
    harness.tick();
}

/// Returns a gang of whole workers that must share a rack.
fn rack_gang(count: u32) -> Step {
    Step { gang: true, same_rack: true, ..step(count, 8) }
}

#[test]
fn full_pool_is_logged_once_after_one_second() {
    let mut harness = idle_owner(1);
    add_job(&mut harness, "a", 150, job(1, vec![step(1, 8)]));
    add_job(&mut harness, "b", 151, job(1, vec![step(2, 4)]));
    harness.advance_with_pings(900, 1);
    let before = harness.take_logs();
    harness.advance_with_pings(100, 1);
    let after_1s = harness.take_logs();
    harness.advance_with_pings(5000, 1);
    assert_snapshot!(format!("{before}\n{after_1s}\n{}", harness.take_logs()), @r"
    nothing
    waits b: b.0.0, 2 tasks, 1000 ms: no room: room for 0 of 2, for 2 if nothing ran
    nothing
    ");
}

#[test]
fn step_that_starts_in_time_is_not_logged() {
    let mut harness = idle_owner(1);
    add_job(&mut harness, "a", 150, job(1, vec![step(1, 8)]));
    add_job(&mut harness, "b", 151, job(1, vec![step(1, 8)]));
    harness.advance_with_pings(900, 1);
    harness.report_status(0, &[], &[end(1, task("a", 0, 0), 1, How::Done)]);
    harness.advance_with_pings(2000, 1);
    assert_snapshot!(harness.take_logs(), @"nothing");
}

#[test]
fn wait_is_logged_again_when_its_cause_changes() {
    let mut harness = idle_owner(2);
    add_job(&mut harness, "a", 150, job(1, vec![step(2, 8)]));
    add_job(&mut harness, "b", 151, job(1, vec![Step { label: "r0".into(), ..step(1, 8) }]));
    harness.advance_with_pings(1000, 2);
    let full = harness.take_logs();
    for number in 0..2 {
        let worker = quincewheel_job::Worker { draining: true, ..harness::worker(number) };
        let (running, ended) = (vec![run(task("a", 0, number as u32), 1)], Vec::new());
        let stamp = harness.now;
        let worker = Some(worker);
        harness.deliver(
            number,
            Notice::Status {
                listed_at: None,
                stamp,
                worker,
                fenced: true,
                running,
                ended,
                truncated: false,
            },
        );
    }
    add_job(&mut harness, "c", 152, job(1, vec![step(1, 8)]));
    harness.advance_with_pings(900, 2);
    let drained = harness.take_logs();
    harness.advance_with_pings(3000, 2);
    assert_snapshot!(format!("{full}\n-- drained\n{drained}\n--\n{}", harness.take_logs()), @r"
    waits b: b.0.0, 1 tasks, 1000 ms: no room: room for 0 of 1, for 1 if nothing ran
    -- drained
    nothing
    --
    waits b: b.0.0, 1 tasks, 2000 ms: workers not open: w0 draining, w1 draining
    waits c: c.0.0, 1 tasks, 1000 ms: workers not open: w0 draining, w1 draining
    ");
}

#[test]
fn missing_label_pool_or_size_is_logged() {
    let mut harness = idle_owner(2);
    let plain = job(1, vec![step(1, 1)]);
    let mut other_pool = plain.clone();
    other_pool.queue.pool = "elsewhere".into();
    add_job(&mut harness, "pool", 150, other_pool);
    add_job(&mut harness, "label", 151, job(1, vec![Step { label: "x".into(), ..step(1, 1) }]));
    add_job(&mut harness, "size", 152, job(1, vec![rack_gang(3)]));
    harness.advance_with_pings(2000, 2);
    assert_snapshot!(harness.take_logs(), @r"
    waits label: label.0.0, 1 tasks, 1000 ms: no worker of the label: x in pool p
    waits pool: pool.0.0, 1 tasks, 1000 ms: no worker of the pool: elsewhere
    waits size: size.0.0, 3 tasks, 1000 ms: too few workers: room for 2 of 3, for 2 if nothing ran
    ");
}

#[test]
fn workers_kept_free_for_urgent_work_are_logged() {
    let mut harness = idle_owner(6);
    let need = Resources { cpu: 60_000, memory: 250_000, accelerators: 8 };
    let mut relaxed = job(1, vec![Step { estimate: 9000, need, ..step(1, 8) }]);
    relaxed.queue.stretch = 3.0;
    for number in 0..6 {
        add_job(&mut harness, &format!("easy{number}"), 150 + number, relaxed.clone());
    }
    harness.advance_with_pings(1000, 6);
    assert_snapshot!(harness.take_logs(), @"waits easy5: easy5.0.0, 1 tasks, 1000 ms: room spared for urgent work: room for 1 of 1, for 1 if nothing ran");
}

#[test]
fn gang_that_waits_for_a_single_rack_is_logged() {
    let mut harness = idle_owner(6);
    add_job(&mut harness, "a", 150, job(1, vec![Step { label: "r0".into(), ..step(2, 8) }]));
    add_job(&mut harness, "b", 151, job(1, vec![Step { label: "r1".into(), ..step(2, 8) }]));
    add_job(&mut harness, "c", 152, job(0, vec![rack_gang(2)]));
    harness.advance_with_pings(1000, 6);
    assert_snapshot!(harness.take_logs(), @"waits c: c.0.0, 2 tasks, 1000 ms: waits for one rack: room for 2 of 2, for 2 if nothing ran");
}

#[test]
fn preemption_in_progress_is_logged() {
    let mut harness = idle_owner(1);
    let team = Team { name: "t".into(), guaranteed: 8, ..Team::default() };
    let teams = [("t".to_owned(), team)].into();
    harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
    add_job(&mut harness, "a", 150, job(1, vec![step(1, 8)]));
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    add_job(&mut harness, "g", 151, job(0, vec![step(1, 8)]));
    harness.advance_with_pings(1000, 1);
    assert_snapshot!(harness.take_logs(), @"waits g: g.0.0, 1 tasks, 1000 ms: room being made: at w0, since 1000 ms");
}

#[test]
fn missing_clearance_is_logged() {
    let mut harness = idle_owner(2);
    let mut cleared = job(1, vec![step(1, 8)]);
    cleared.queue.advice = Some(Advice { decide: 100, each: 10, valid: 5000 });
    add_job(&mut harness, "a", 150, cleared.clone());
    add_job(&mut harness, "b", 151, cleared);
    harness.advance_with_pings(1000, 2);
    let before_answer = harness.take_logs();
    let question = harness.advice_requests.remove(0);
    harness.owner.on_clearance(&question, Some((&[], 5000)), harness.now, harness.now);
    harness.advance_with_pings(2000, 2);
    assert_snapshot!(format!("{before_answer}\n-- answered\n{}", harness.take_logs()), @r"
    waits a: a.0.0, 1 tasks, 1000 ms: no clearance: a question is out; may not run at 0, cleared for 0
    waits b: b.0.0, 1 tasks, 1000 ms: no clearance: a question is out; may not run at 0, cleared for 0
    -- answered
    nothing
    ");
}

#[test]
fn workers_avoided_after_a_failure_are_logged() {
    let mut harness = idle_owner(1);
    add_job(&mut harness, "a", 150, job(1, vec![step(1, 8)]));
    harness.report_status(0, &[], &[end(1, task("a", 0, 0), 1, How::Failed)]);
    harness.advance_with_pings(1000, 1);
    assert_snapshot!(harness.take_logs(), @"waits a: a.0.0, 1 tasks, 1000 ms: workers avoided: failed at w0");
}

#[test]
fn closed_workers_are_logged_with_the_reason() {
    let mut harness = idle_owner(3);
    harness.owner.on_disconnected(0);
    harness.deliver(1, Notice::Ping { stamp: harness.now, silent: 3500 });
    add_job(&mut harness, "a", 150, job(1, vec![step(3, 8)]));
    for _ in 0..10 {
        harness.advance(100);
    }
    assert_snapshot!(harness.take_logs(), @"waits a: a.0.0, 2 tasks, 1000 ms: no room: room for 0 of 2, for 1 if nothing ran; not open: w0 no connection, w1 silent");
}

// A job was logged as waiting for room while the pool was draining: the worker of a full pool
// begins to drain, which leads to no decision, and the cause was evaluated only with decisions.
#[test]
fn cause_is_updated_when_a_worker_begins_to_drain() {
    let mut harness = idle_owner(1);
    harness.owner.configure(&Config { version: 1, ..Config::default() });
    add_job(&mut harness, "a", 150, job(0, vec![step(1, 8)]));
    add_job(&mut harness, "b", 151, job(0, vec![step(1, 8)]));
    // Long enough that passing time alone changes no decision any more.
    harness.advance_with_pings(3000, 1);
    let full = harness.take_logs();
    let (running, ended) = (vec![run(task("a", 0, 0), 1)], Vec::new());
    let worker = Some(quincewheel_job::Worker { draining: true, ..harness::worker(0) });
    harness.deliver(
        0,
        Notice::Status {
            listed_at: None,
            stamp: harness.now,
            worker,
            fenced: true,
            running,
            ended,
            truncated: false,
        },
    );
    harness.advance_with_pings(2000, 1);
    assert_snapshot!(format!("{full}\n-- drains\n{}", harness.take_logs()), @r"
    waits b: b.0.0, 1 tasks, 1000 ms: no room: room for 0 of 1, for 1 if nothing ran
    -- drains
    waits b: b.0.0, 1 tasks, 4000 ms: workers not open: w0 draining
    ");
}

// Without a configuration nothing is guaranteed, and nothing is preempted for a guarantee.
#[test]
fn missing_configuration_is_logged_where_a_guarantee_could_apply() {
    let mut harness = idle_owner(1);
    add_job(&mut harness, "a", 150, job(0, vec![step(1, 8)]));
    add_job(&mut harness, "b", 151, job(0, vec![step(1, 8)]));
    harness.advance_with_pings(1000, 1);
    assert_snapshot!(harness.take_logs(), @"waits b: b.0.0, 1 tasks, 1000 ms: no configuration: nothing is guaranteed yet; room for 0 of 1, for 1 if nothing ran");
}

#[test]
fn steps_that_wait_for_over_a_second_are_counted_by_cause() {
    let mut harness = idle_owner(1);
    for (number, name) in [(150, "a"), (151, "b"), (152, "c")] {
        add_job(&mut harness, name, number, job(1, vec![step(1, 8), step(2, 16)]));
    }
    harness.advance_with_pings(900, 1);
    let before = format!("{:?}", harness.owner.long_waits());
    harness.advance_with_pings(100, 1);
    let after = format!("{:?}", harness.owner.long_waits());
    harness.owner.cancel("c", harness.now);
    let cancelled = format!("{:?}", harness.owner.long_waits());
    assert_snapshot!(format!("{before}\n{after}\n{cancelled}"), @r"
    {}
    {Few: 3, Room: 2}
    {Few: 2, Room: 1}
    ");
}

// A gang does not start again before all runs of its former start have ended.
#[test]
fn remains_of_a_former_start_are_logged() {
    let mut harness = idle_owner(4);
    add_job(&mut harness, "a", 150, job(1, vec![Step { gang: true, ..step(2, 8) }]));
    harness.report_status(0, &[], &[end(1, task("a", 0, 0), 1, How::Broken)]);
    harness.advance_with_pings(1000, 4);
    assert_snapshot!(harness.take_logs(), @"waits a: a.0.0, 1 tasks, 1000 ms: remains of a former start: at w1");
}

#[test]
fn job_that_is_not_due_is_not_logged() {
    let mut harness = idle_owner(1);
    let mut scheduled = job(1, vec![step(1, 16)]);
    scheduled.schedule =
        Some(quincewheel_job::Schedule { first: harness.now + 9000, ..schedule() });
    add_job(&mut harness, "a", 150, scheduled);
    harness.advance_with_pings(3000, 1);
    assert_snapshot!(harness.take_logs(), @"nothing");
}

fn schedule() -> quincewheel_job::Schedule {
    quincewheel_job::Schedule { first: 0, every: 1000, times: 1 }
}

#[test]
fn cancelled_job_is_not_logged() {
    let mut harness = idle_owner(1);
    add_job(&mut harness, "a", 150, job(1, vec![step(1, 16)]));
    harness.advance_with_pings(500, 1);
    harness.owner.cancel("a", harness.now);
    harness.advance_with_pings(2000, 1);
    assert_snapshot!(harness.take_logs(), @"nothing");
}

#[test]
fn wait_lines_are_limited_per_second_and_the_rest_is_counted() {
    let mut harness = idle_owner(1);
    for number in 10..35 {
        harness.owner.add_job(&format!("a{number}"), job(1, vec![step(1, 16)]), 150 + number, None);
    }
    harness.tick();
    let mut seconds = Vec::new();
    for _ in 0..5 {
        harness.advance_with_pings(1000, 1);
        let lines = harness.take_logs();
        let jobs = lines.lines().filter(|line| line.starts_with("waits a")).count();
        let others = lines.lines().filter(|line| !line.starts_with("waits a"));
        seconds.push(format!("{jobs} lines; {}", others.collect::<Vec<_>>().join("; ")));
    }
    assert_snapshot!(seconds.join("\n"), @r"
    10 lines; waits left out : 15 more wait and were not told this second: 15 too few workers
    10 lines; waits left out : 5 more wait and were not told this second: 5 too few workers
    5 lines; 
    0 lines; nothing
    0 lines; nothing
    ");
}

// For seconds after a change of owner no older job started, and only the end of that was logged.
// Here one agent has no connection, one knows no worker, and one has a worker that does not answer.
#[test]
fn new_owner_logs_once_which_agents_older_jobs_wait_for() {
    let mut harness = Harness::new(2, 4);
    harness.logged_events = vec!["waits", "unsettled", "settled"];
    harness.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    harness.owner.add_job("older", job(1, vec![step(1, 1), step(1, 1)]), 49, None);
    for number in [0, 2, 3] {
        harness.connect(number);
    }
    harness.report_status(0, &[], &[]);
    let (running, ended) = (Vec::new(), Vec::new());
    harness.deliver(
        2,
        Notice::Status {
            listed_at: None,
            stamp: 0,
            worker: None,
            fenced: false,
            running,
            ended,
            truncated: false,
        },
    );
    let (running, ended) = (Vec::new(), Vec::new());
    let worker = Some(harness::worker(3));
    harness.deliver(
        3,
        Notice::Status {
            listed_at: None,
            stamp: 0,
            worker,
            fenced: false,
            running,
            ended,
            truncated: false,
        },
    );
    harness.advance_with_pings(900, 4);
    let before = harness.take_logs();
    harness.advance_with_pings(2500, 4);
    let waiting = harness.take_logs();
    harness.report_status(2, &[], &[]);
    harness.advance_with_pings(1000, 4);
    let fewer = harness.take_logs();
    harness.connect(1);
    harness.report_status(1, &[], &[]);
    harness.report_status(3, &[], &[]);
    harness.advance_with_pings(2000, 4);
    assert_snapshot!(format!("{before}\n--\n{waiting}\n-- w2 answered\n{fewer}\n--\n{}", harness.take_logs()), @r"
    nothing
    --
    unsettled : 1000 ms; 3 older steps wait for w1 no connection, w2 no worker known, w3 worker has not answered
    -- w2 answered
    unsettled : 3500 ms; 3 older steps wait for w1 no connection, w3 worker has not answered
    --
    settled : 4400 ms; not heard: 
    ");
}

// An older job that cannot start once all agents have reported has been waiting since the claim.
#[test]
fn wait_for_agents_counts_towards_the_next_cause() {
    let mut harness = Harness::new(2, 2);
    harness.logged_events = vec!["waits", "unsettled", "settled"];
    harness.owner.add_job("old", job(1, vec![step(1, 16)]), 50, None);
    harness.connect(0);
    harness.report_status(0, &[], &[]);
    harness.advance_with_pings(1500, 1);
    let counts = format!("{:?}", harness.owner.long_waits());
    harness.connect(1);
    harness.report_status(1, &[], &[]);
    assert_snapshot!(format!("{counts}\n{}", harness.take_logs()), @r"
    {Unsettled: 1}
    unsettled : 1000 ms; 1 older steps wait for w1 no connection
    settled : 1500 ms; not heard: 
    waits old: old.0.0, 1 tasks, 1500 ms: too few workers: room for 0 of 1, for 0 if nothing ran
    ");
}

#[test]
fn unsettled_owner_without_waiting_jobs_logs_nothing() {
    let mut harness = Harness::new(2, 2);
    harness.logged_events = vec!["unsettled"];
    harness.advance_with_pings(3000, 0);
    assert_snapshot!(harness.take_logs(), @"nothing");
}
