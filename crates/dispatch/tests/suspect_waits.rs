//! Waits for a task that is suspected of crashing workers end by the passing of time alone.

mod harness;

use harness::{Harness, end, job, run, step, task, worker};
use quincewheel_job::{End, How, Run, Step, Worker};
use quincewheel_wire::Notice;

/// Longest time that other steps of an idle job wait for a suspect.
const OTHER_STEPS_DELAY_MS: u64 = 1500;
/// Time for which a suspect keeps the other tasks of its job waiting after its start.
const START_ISOLATION_MS: u64 = 300;
/// Longest time for which a job stands beside free workers.
const MAX_STANDING_MS: u64 = 3000;
/// Longest time for which a lasting task stands beside free workers, from its last run on.
const MAX_LASTING_MS: u64 = 9000;
/// Time between two ticks.
const TICK_MS: u64 = 100;

/// Reports a worker of this agent.
fn report(harness: &mut Harness, number: u64, worker: Worker) {
    let notice = Notice::Status {
        stamp: harness.now,
        worker: Some(worker),
        fenced: true,
        listed_at: Some(harness.now),
        running: Vec::new(),
        ended: Vec::new(),
        truncated: false,
    };
    harness.deliver(number, notice);
}

/// The worker of the second rack after its crash.
fn restarted() -> Worker {
    Worker { id: "i3b".into(), ..worker(3) }
}

/// Creates an owner of a job `j` whose first step needs the second rack's only worker and has
/// crashed it. The second step has not started. All workers drain.
fn idle_job_with_a_suspect() -> Harness {
    idle_job_with_a_suspect_of(8)
}

/// The same with a suspect that needs this many accelerators.
fn idle_job_with_a_suspect_of(accelerators: u64) -> Harness {
    let mut harness = Harness::new(1, 4).with_idle_workers(4);
    (0..3).for_each(|number| {
        report(&mut harness, number, Worker { draining: true, ..worker(number) });
    });
    let suspect = Step { label: "r1".into(), ..step(1, accelerators) };
    harness.owner.add_job("j", job(1, vec![suspect, step(1, 8)]), 200, None);
    harness.tick();
    harness.deliver(3, Notice::Started { task: task("j", 0, 0), run: 1 });
    let starts = vec![(task("j", 0, 0), 1)];
    let broke = worker(3).incarnation();
    harness.deliver(3, Notice::Broke { worker: broke, starts, possible: Vec::new() });
    report(&mut harness, 3, Worker { draining: true, ..restarted() });
    harness.record();
    harness.tick();
    harness.take_orders();
    harness
}

// The other steps of a job stood beside idle workers for good: no round of planning took place when
// their wait for the suspect was over.
#[test]
fn other_steps_start_when_their_wait_for_a_suspect_is_over() {
    let mut harness = idle_job_with_a_suspect();
    (0..3).for_each(|number| report(&mut harness, number, worker(number)));
    assert_eq!(harness.take_orders(), "nothing");
    harness.advance_with_pings(OTHER_STEPS_DELAY_MS + TICK_MS, 4);
    assert_eq!(harness.take_orders(), "w0 start j.0.1.0 run 1 ");
}

// The other tasks of a job stood beside idle workers: the worker at which the suspect was retried
// had closed, and no round of planning took place when its start was long enough ago.
#[test]
fn other_steps_start_after_a_retry_at_a_worker_that_closes() {
    let mut harness = idle_job_with_a_suspect();
    report(&mut harness, 3, restarted());
    assert_eq!(harness.take_orders(), "w3 start j.0.0.0 run 2 ");
    harness.deliver(3, Notice::Started { task: task("j", 0, 0), run: 2 });
    let running = vec![run(task("j", 0, 0), 2)];
    let notice = Notice::Status {
        stamp: harness.now,
        worker: Some(Worker { draining: true, ..restarted() }),
        fenced: true,
        listed_at: Some(harness.now),
        running,
        ended: Vec::new(),
        truncated: false,
    };
    harness.deliver(3, notice);
    (0..3).for_each(|number| report(&mut harness, number, worker(number)));
    harness.take_orders();
    harness.advance_with_pings(2 * START_ISOLATION_MS + TICK_MS, 4);
    assert_eq!(harness.take_orders(), "w0 start j.0.1.0 run 1 ");
}

// A lasting task stood beside idle workers for good: another step of its job had crashed its only
// worker, which stayed closed, and further tasks of the job ran.
#[test]
fn lasting_task_does_not_wait_for_a_suspect_of_another_step() {
    let mut harness = Harness::new(1, 4).with_idle_workers(4);
    let lasting = |label: &str| Step { label: label.into(), perpetual: true, ..step(1, 8) };
    let steps = vec![lasting("r1"), lasting(""), lasting("")];
    harness.owner.add_job("j", job(1, steps), 200, None);
    harness.tick();
    for (number, place) in [(3, 0), (0, 1), (1, 2)] {
        harness.deliver(number, Notice::Started { task: task("j", place, 0), run: 1 });
    }
    let runs = [run(task("j", 1, 0), 1), run(task("j", 2, 0), 1)];
    harness.take_orders();
    let starts = vec![(task("j", 0, 0), 1)];
    let broke = worker(3).incarnation();
    harness.deliver(3, Notice::Broke { worker: broke, starts, possible: Vec::new() });
    report(&mut harness, 3, Worker { draining: true, ..restarted() });
    harness.record();
    for _ in 0..10 {
        harness.advance(TICK_MS);
        harness.report_status(0, &runs[..1], &[]);
        harness.report_status(1, &runs[1..], &[]);
    }
    let ended = [end(1, task("j", 2, 0), 1, How::Failed)];
    harness.report_status(1, &[], &ended);
    for _ in 0..MAX_LASTING_MS / TICK_MS {
        harness.advance(TICK_MS);
        harness.report_status(0, &runs[..1], &[]);
        harness.report_status(1, &[], &[]);
        harness.report_status(2, &[], &[]);
    }
    assert!(
        harness.take_orders().contains("start j.0.2.0 run 2"),
        "it stood for {MAX_LASTING_MS} ms"
    );
}

// A task that might crash its worker stood beside a worker of which a quarter was in use: something
// had always just started there.
#[test]
fn suspect_starts_at_a_worker_beside_a_stream_of_starts() {
    let mut harness = idle_job_with_a_suspect_of(1);
    let mut running: Vec<Run> = Vec::new();
    let mut started = false;
    let before = harness.now;
    while !started && harness.now < before + MAX_STANDING_MS {
        let number = harness.now;
        if number.is_multiple_of(200) {
            let mut other = job(0, vec![Step { label: "r1".into(), ..step(1, 1) }]);
            other.accepted = number;
            harness.owner.add_job(&format!("s{number}"), other, 300 + number, None);
        }
        harness.advance(TICK_MS);
        for order in std::mem::take(&mut harness.orders) {
            let Some(name) = order.strip_prefix("w3 start ") else { continue };
            let name = name.split('.').next().unwrap_or_default();
            started |= name == "j";
            let task = task(name, 0, 0);
            harness.owner.on_notice(3, Notice::Started { task: task.clone(), run: 1 }, harness.now);
            running.push(run(task, 1));
        }
        let ended: Vec<Run> = match running.len() {
            0..=2 => Vec::new(),
            _ => vec![running.remove(0)],
        };
        let ended: Vec<End> = ended
            .into_iter()
            .map(|run| end(harness.now, run.task, run.number, How::Done))
            .collect();
        let notice = Notice::Status {
            stamp: harness.now,
            worker: Some(restarted()),
            fenced: true,
            listed_at: Some(harness.now),
            running: running.clone(),
            ended,
            truncated: false,
        };
        harness.deliver(3, notice);
    }
    assert!(started, "the suspect stood for {MAX_STANDING_MS} ms");
}

// A suspect stood beside a worker with room: shorter work started there again and again, and each start
// kept the suspect apart from it.
#[test]
fn suspect_starts_beside_a_stream_of_starts() {
    let mut harness = Harness::new(1, 4).with_idle_workers(4);
    let small = || Step { label: "r1".into(), ..step(1, 1) };
    harness.owner.add_job("j", job(1, vec![small()]), 200, None);
    harness.tick();
    harness.deliver(3, Notice::Started { task: task("j", 0, 0), run: 1 });
    let starts = vec![(task("j", 0, 0), 1)];
    let broke = worker(3).incarnation();
    harness.deliver(3, Notice::Broke { worker: broke, starts, possible: Vec::new() });
    report(&mut harness, 3, restarted());
    harness.take_orders();
    let began = harness.now;
    let (mut starts, mut number, mut ended) = (String::new(), 0, 0);
    let mut running: Vec<(u64, Run)> = Vec::new();
    while !starts.contains("start j") {
        assert!(harness.now < began + 3000, "the suspect does not start within 3 s");
        number += 1;
        let name = format!("s{number}");
        harness.owner.add_job(&name, job(1, vec![small()]), 300 + number, None);
        harness.tick();
        starts = harness.take_orders();
        if starts.contains(&format!("start {name}.")) {
            harness.deliver(3, Notice::Started { task: task(&name, 0, 0), run: 1 });
            running.push((harness.now, run(task(&name, 0, 0), 1)));
        }
        harness.record();
        harness.advance_with_pings(100, 4);
        let now = harness.now;
        let over = running.extract_if(.., |(at, _)| now >= *at + 500);
        let ends = over.map(|(_, run)| {
            ended += 1;
            end(ended, run.task, run.number, How::Done)
        });
        let ended = ends.collect();
        let notice = Notice::Status {
            stamp: now,
            worker: Some(restarted()),
            fenced: true,
            listed_at: Some(now),
            running: running.iter().map(|(_, run)| run.clone()).collect(),
            ended,
            truncated: false,
        };
        harness.deliver(3, notice);
        starts += &harness.take_orders();
    }
}
