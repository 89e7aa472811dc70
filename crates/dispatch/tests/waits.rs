//! What is told of work whose turn has come and that does not start.
//!
//! Symptom of all: a job is accepted and stands still, and no line says why.
//! Cause: only what was decided was told, not what kept a decision from being made.

mod bed;

use bed::{Bed, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Advice, Config, How, Job, Need, Step, Team};
use quincewheel_wire::Notice;

/// An owner with idle workers, whose lines about waits are kept.
fn open(agents: u64) -> Bed {
    let mut bed = Bed::open(1, agents).idle(agents);
    bed.events = vec!["waits", "waits left out", "unsettled"];
    bed
}

/// Adds a job that was accepted now.
fn add(bed: &mut Bed, id: &str, version: u64, job: Job) {
    let accepted = bed.now;
    bed.owner.add_job(id, Job { accepted, ..job }, version, None);
    bed.step();
}

fn wide(count: u32) -> Step {
    Step { gang: true, same_rack: true, ..step(count, 8) }
}

#[test]
fn a_full_pool_is_told_once_and_only_after_a_while() {
    let mut bed = open(1);
    add(&mut bed, "a", 150, job(1, vec![step(1, 8)]));
    add(&mut bed, "b", 151, job(1, vec![step(2, 4)]));
    bed.live(900, 1);
    let before = bed.logged();
    bed.live(100, 1);
    let told = bed.logged();
    bed.live(5000, 1);
    assert_snapshot!(format!("{before}\n{told}\n{}", bed.logged()), @r"
    nothing
    waits b: b.0.0, 2 tasks, 1000 ms: no room: room for 0 of 2, for 2 if nothing ran
    nothing
    ");
}

#[test]
fn work_that_starts_in_time_is_not_told() {
    let mut bed = open(1);
    add(&mut bed, "a", 150, job(1, vec![step(1, 8)]));
    add(&mut bed, "b", 151, job(1, vec![step(1, 8)]));
    bed.live(900, 1);
    bed.status(0, &[], &[end(1, task("a", 0, 0), 1, How::Done)]);
    bed.live(2000, 1);
    assert_snapshot!(bed.logged(), @"nothing");
}

#[test]
fn another_cause_is_told_again() {
    let mut bed = open(2);
    add(&mut bed, "a", 150, job(1, vec![step(2, 8)]));
    add(&mut bed, "b", 151, job(1, vec![Step { label: "r0".into(), ..step(1, 8) }]));
    bed.live(1000, 2);
    let full = bed.logged();
    for number in 0..2 {
        let worker = quincewheel_job::Worker { draining: true, ..bed::worker(number) };
        let (running, ended) = (vec![run(task("a", 0, number as u32), 1)], Vec::new());
        let stamp = bed.now;
        let worker = Some(worker);
        bed.notice(number, Notice::Status { stamp, worker, fenced: true, running, ended });
    }
    add(&mut bed, "c", 152, job(1, vec![step(1, 8)]));
    bed.live(900, 2);
    let drained = bed.logged();
    bed.live(3000, 2);
    assert_snapshot!(format!("{full}\n-- drained\n{drained}\n--\n{}", bed.logged()), @r"
    waits b: b.0.0, 1 tasks, 1000 ms: no room: room for 0 of 1, for 1 if nothing ran
    -- drained
    nothing
    --
    waits b: b.0.0, 1 tasks, 2000 ms: workers not open: w0 draining, w1 draining
    waits c: c.0.0, 1 tasks, 1000 ms: workers not open: w0 draining, w1 draining
    ");
}

#[test]
fn labels_pools_and_sizes_that_no_worker_has_are_told() {
    let mut bed = open(2);
    let other = job(1, vec![step(1, 1)]);
    let mut pool = other.clone();
    pool.queue.pool = "elsewhere".into();
    add(&mut bed, "pool", 150, pool);
    add(&mut bed, "label", 151, job(1, vec![Step { label: "x".into(), ..step(1, 1) }]));
    add(&mut bed, "size", 152, job(1, vec![wide(3)]));
    bed.live(2000, 2);
    assert_snapshot!(bed.logged(), @r"
    waits label: label.0.0, 1 tasks, 1000 ms: no worker of the label: x in pool p
    waits pool: pool.0.0, 1 tasks, 1000 ms: no worker of the pool: elsewhere
    waits size: size.0.0, 3 tasks, 1000 ms: too few workers: room for 2 of 3, for 2 if nothing ran
    ");
}

#[test]
fn whole_workers_spared_for_urgent_work_are_told() {
    let mut bed = open(6);
    let need = Need { cpu: 60_000, memory: 250_000, accelerators: 8 };
    let mut easy = job(1, vec![Step { estimate: 9000, need, ..step(1, 8) }]);
    easy.queue.stretch = 3.0;
    for number in 0..6 {
        add(&mut bed, &format!("easy{number}"), 150 + number, easy.clone());
    }
    bed.live(1000, 6);
    assert_snapshot!(bed.logged(), @"waits easy5: easy5.0.0, 1 tasks, 1000 ms: room spared for urgent work: room for 1 of 1, for 1 if nothing ran");
}

#[test]
fn a_gang_that_waits_for_one_rack_is_told() {
    let mut bed = open(6);
    add(&mut bed, "a", 150, job(1, vec![Step { label: "r0".into(), ..step(2, 8) }]));
    add(&mut bed, "b", 151, job(1, vec![Step { label: "r1".into(), ..step(2, 8) }]));
    add(&mut bed, "c", 152, job(0, vec![wide(2)]));
    bed.live(1000, 6);
    assert_snapshot!(bed.logged(), @"waits c: c.0.0, 2 tasks, 1000 ms: waits for one rack: room for 2 of 2, for 2 if nothing ran");
}

#[test]
fn room_that_is_being_made_is_told() {
    let mut bed = open(1);
    let team = Team { name: "t".into(), guaranteed: 8 };
    let teams = [("t".to_owned(), team)].into();
    bed.owner.configure(&Config { version: 1, teams, ..Config::default() });
    add(&mut bed, "a", 150, job(1, vec![step(1, 8)]));
    bed.status(0, &[run(task("a", 0, 0), 1)], &[]);
    add(&mut bed, "g", 151, job(0, vec![step(1, 8)]));
    bed.live(1000, 1);
    assert_snapshot!(bed.logged(), @"waits g: g.0.0, 1 tasks, 1000 ms: room being made: at w0, since 1000 ms");
}

#[test]
fn a_clearance_that_is_missing_is_told() {
    let mut bed = open(2);
    let mut cleared = job(1, vec![step(1, 8)]);
    cleared.queue.advice = Some(Advice { decide: 100, each: 10, valid: 5000 });
    add(&mut bed, "a", 150, cleared.clone());
    add(&mut bed, "b", 151, cleared);
    bed.live(1000, 2);
    let asked = bed.logged();
    let question = bed.questions.remove(0);
    bed.owner.advised(&question, Some((&[], 5000)), bed.now, bed.now);
    bed.live(2000, 2);
    assert_snapshot!(format!("{asked}\n-- answered\n{}", bed.logged()), @r"
    waits a: a.0.0, 1 tasks, 1000 ms: no clearance: a question is out; may not run at 0, cleared for 0
    waits b: b.0.0, 1 tasks, 1000 ms: no clearance: a question is out; may not run at 0, cleared for 0
    -- answered
    nothing
    ");
}

#[test]
fn workers_at_which_tasks_failed_are_told() {
    let mut bed = open(1);
    add(&mut bed, "a", 150, job(1, vec![step(1, 8)]));
    bed.status(0, &[], &[end(1, task("a", 0, 0), 1, How::Failed)]);
    bed.live(1000, 1);
    assert_snapshot!(bed.logged(), @"waits a: a.0.0, 1 tasks, 1000 ms: workers avoided: failed at w0");
}

#[test]
fn workers_that_are_not_open_are_named_with_the_reason() {
    let mut bed = open(3);
    bed.owner.unlinked(0);
    bed.notice(1, Notice::Ping { stamp: bed.now, silent: 3500 });
    add(&mut bed, "a", 150, job(1, vec![step(3, 8)]));
    for _ in 0..10 {
        bed.pass(100);
    }
    assert_snapshot!(bed.logged(), @"waits a: a.0.0, 2 tasks, 1000 ms: no room: room for 0 of 2, for 1 if nothing ran; not open: w0 no connection, w1 silent");
}

// Symptom: a job is said to wait for room while the pool drains. Sequence: it waits in a
// full pool; the worker begins to drain, which decides nothing. Cause: the cause was
// looked at only where decisions were made.
#[test]
fn a_worker_that_drains_while_nothing_is_decided_is_told() {
    let mut bed = open(1);
    bed.owner.configure(&Config { version: 1, ..Config::default() });
    add(&mut bed, "a", 150, job(0, vec![step(1, 8)]));
    add(&mut bed, "b", 151, job(0, vec![step(1, 8)]));
    // Later than the last time at which time alone changes a decision.
    bed.live(3000, 1);
    let full = bed.logged();
    let (running, ended) = (vec![run(task("a", 0, 0), 1)], Vec::new());
    let worker = Some(quincewheel_job::Worker { draining: true, ..bed::worker(0) });
    bed.notice(0, Notice::Status { stamp: bed.now, worker, fenced: true, running, ended });
    bed.live(2000, 1);
    assert_snapshot!(format!("{full}\n-- drains\n{}", bed.logged()), @r"
    waits b: b.0.0, 1 tasks, 1000 ms: no room: room for 0 of 1, for 1 if nothing ran
    -- drains
    waits b: b.0.0, 1 tasks, 4000 ms: workers not open: w0 draining
    ");
}

// Without a configuration nothing is guaranteed, and no room is made for it.
#[test]
fn a_configuration_that_is_missing_is_told_where_it_would_matter() {
    let mut bed = open(1);
    add(&mut bed, "a", 150, job(0, vec![step(1, 8)]));
    add(&mut bed, "b", 151, job(0, vec![step(1, 8)]));
    bed.live(1000, 1);
    assert_snapshot!(bed.logged(), @"waits b: b.0.0, 1 tasks, 1000 ms: no configuration: nothing is guaranteed yet; room for 0 of 1, for 1 if nothing ran");
}

#[test]
fn steps_that_wait_for_long_are_counted_by_cause() {
    let mut bed = open(1);
    for (number, name) in [(150, "a"), (151, "b"), (152, "c")] {
        add(&mut bed, name, number, job(1, vec![step(1, 8), step(2, 16)]));
    }
    bed.live(900, 1);
    let before = format!("{:?}", bed.owner.long_waits());
    bed.live(100, 1);
    let after = format!("{:?}", bed.owner.long_waits());
    bed.owner.cancel("c", bed.now);
    let cancelled = format!("{:?}", bed.owner.long_waits());
    assert_snapshot!(format!("{before}\n{after}\n{cancelled}"), @r"
    {}
    {Few: 3, Room: 2}
    {Few: 2, Room: 1}
    ");
}

// A gang does not start anew before all that its former start left has gone.
#[test]
fn what_is_left_of_a_former_start_is_told() {
    let mut bed = open(4);
    add(&mut bed, "a", 150, job(1, vec![Step { gang: true, ..step(2, 8) }]));
    bed.status(0, &[], &[end(1, task("a", 0, 0), 1, How::Broken)]);
    bed.live(1000, 4);
    assert_snapshot!(bed.logged(), @"waits a: a.0.0, 1 tasks, 1000 ms: remains of a former start: at w1");
}

#[test]
fn a_job_that_is_not_due_is_not_told() {
    let mut bed = open(1);
    let mut later = job(1, vec![step(1, 16)]);
    later.schedule = Some(quincewheel_job::Schedule { first: bed.now + 9000, ..schedule() });
    add(&mut bed, "a", 150, later);
    bed.live(3000, 1);
    assert_snapshot!(bed.logged(), @"nothing");
}

fn schedule() -> quincewheel_job::Schedule {
    quincewheel_job::Schedule { first: 0, every: 1000, times: 1 }
}

#[test]
fn a_job_that_was_cancelled_is_not_told() {
    let mut bed = open(1);
    add(&mut bed, "a", 150, job(1, vec![step(1, 16)]));
    bed.live(500, 1);
    bed.owner.cancel("a", bed.now);
    bed.live(2000, 1);
    assert_snapshot!(bed.logged(), @"nothing");
}

#[test]
fn many_that_wait_are_told_a_few_a_second_and_how_many_were_left_out() {
    let mut bed = open(1);
    for number in 10..35 {
        bed.owner.add_job(&format!("a{number}"), job(1, vec![step(1, 16)]), 150 + number, None);
    }
    bed.step();
    let mut told = Vec::new();
    for _ in 0..5 {
        bed.live(1000, 1);
        let lines = bed.logged();
        let jobs = lines.lines().filter(|line| line.starts_with("waits a")).count();
        let others = lines.lines().filter(|line| !line.starts_with("waits a"));
        told.push(format!("{jobs} lines; {}", others.collect::<Vec<_>>().join("; ")));
    }
    assert_snapshot!(told.join("\n"), @r"
    10 lines; waits left out : 15 more wait and were not told this second: 15 too few workers
    10 lines; waits left out : 5 more wait and were not told this second: 5 too few workers
    5 lines; 
    0 lines; nothing
    0 lines; nothing
    ");
}

// Symptom: for seconds after a change of owner nothing old starts, and only the end of
// that is told. Sequence: one agent has no connection, one knows no worker, and one
// worker does not answer.
#[test]
fn a_new_owner_tells_once_whom_older_jobs_wait_for_and_why() {
    let mut bed = Bed::open(2, 4);
    bed.events = vec!["waits", "unsettled", "settled"];
    bed.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    bed.owner.add_job("older", job(1, vec![step(1, 1), step(1, 1)]), 49, None);
    for number in [0, 2, 3] {
        bed.link(number);
    }
    bed.status(0, &[], &[]);
    let (running, ended) = (Vec::new(), Vec::new());
    bed.notice(2, Notice::Status { stamp: 0, worker: None, fenced: false, running, ended });
    let (running, ended) = (Vec::new(), Vec::new());
    let worker = Some(bed::worker(3));
    bed.notice(3, Notice::Status { stamp: 0, worker, fenced: false, running, ended });
    bed.live(900, 4);
    let before = bed.logged();
    bed.live(2500, 4);
    let told = bed.logged();
    bed.status(2, &[], &[]);
    bed.live(1000, 4);
    let fewer = bed.logged();
    bed.link(1);
    bed.status(1, &[], &[]);
    bed.status(3, &[], &[]);
    bed.live(2000, 4);
    assert_snapshot!(format!("{before}\n--\n{told}\n-- w2 answered\n{fewer}\n--\n{}", bed.logged()), @r"
    nothing
    --
    unsettled : 1000 ms; 3 older steps wait for w1 no connection, w2 no worker known, w3 worker has not answered
    -- w2 answered
    unsettled : 3500 ms; 3 older steps wait for w1 no connection, w3 worker has not answered
    --
    settled : 4400 ms; not heard: 
    ");
}

// An older job that cannot start after that either has waited since the claim.
#[test]
fn what_waited_for_members_goes_on_to_wait_for_another_cause() {
    let mut bed = Bed::open(2, 2);
    bed.events = vec!["waits", "unsettled", "settled"];
    bed.owner.add_job("old", job(1, vec![step(1, 16)]), 50, None);
    bed.link(0);
    bed.status(0, &[], &[]);
    bed.live(1500, 1);
    let counts = format!("{:?}", bed.owner.long_waits());
    bed.link(1);
    bed.status(1, &[], &[]);
    assert_snapshot!(format!("{counts}\n{}", bed.logged()), @r"
    {Unsettled: 1}
    unsettled : 1000 ms; 1 older steps wait for w1 no connection
    settled : 1500 ms; not heard: 
    waits old: old.0.0, 1 tasks, 1500 ms: too few workers: room for 0 of 1, for 0 if nothing ran
    ");
}

#[test]
fn an_unsettled_owner_of_which_nothing_waits_tells_nothing() {
    let mut bed = Bed::open(2, 2);
    bed.events = vec!["unsettled"];
    bed.live(3000, 0);
    assert_snapshot!(bed.logged(), @"nothing");
}
