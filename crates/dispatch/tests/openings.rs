//! A worker that becomes schedulable causes a round of planning, whatever made it so.

mod harness;

use harness::{Harness, job, step, task, worker};
use quincewheel_dispatch::TakeDownResult;
use quincewheel_job::{Condition, Job, Machine, Step, Wave, Worker};
use quincewheel_wire::Notice;

/// Time that the owner has to notice that a worker has opened: its check interval.
const CHECK_MS: u64 = 20;

/// Creates an owner with one idle worker that is settled.
fn one_idle_worker() -> Harness {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.advance_with_pings(1000, 1);
    harness
}

/// Adds a job of one task with this id.
fn add_job(harness: &mut Harness, id: &str) {
    harness.owner.add_job(id, job(1, vec![step(1, 8)]), 200, None);
    harness.tick();
}

/// Sends a status of the first agent with this worker, whose list is as old as the status.
fn answer(harness: &mut Harness, worker: Worker) {
    let notice = Notice::Status {
        stamp: harness.now,
        worker: Some(worker),
        fenced: true,
        listed_at: Some(harness.now),
        running: Vec::new(),
        ended: Vec::new(),
        truncated: false,
    };
    harness.deliver(0, notice);
}

/// Sends a ping of the first agent, whose worker owes an answer for this long.
fn ping(harness: &mut Harness, silent: u64) {
    harness.deliver(0, Notice::Ping { stamp: harness.now, silent });
}

// A job waited for 10 s and more on an empty pool: all workers were silent when it was accepted,
// and their next lists opened them without a round of planning.
#[test]
fn job_starts_when_a_silent_worker_lists_its_runs_again() {
    let mut harness = one_idle_worker();
    ping(&mut harness, 3000);
    add_job(&mut harness, "j");
    harness.take_orders();
    harness.advance(100);
    answer(&mut harness, worker(0));
    harness.advance(CHECK_MS);
    assert_eq!(harness.take_orders(), "w0 start j.0.0.0 run 1 ");
}

// A job waited on an empty pool: its worker was silent when the job was accepted, and confirmed a
// start that had been ordered before, which opened it without a round of planning.
#[test]
fn job_starts_when_a_silent_worker_confirms_a_start() {
    let mut harness = one_idle_worker();
    harness.owner.add_job("i", job(1, vec![step(1, 1)]), 200, None);
    harness.tick();
    ping(&mut harness, 3000);
    harness.owner.add_job("j", job(1, vec![step(1, 1)]), 201, None);
    harness.tick();
    harness.take_orders();
    harness.advance(100);
    harness.deliver(0, Notice::Started { task: task("i", 0, 0), run: 1 });
    harness.advance(CHECK_MS);
    assert_eq!(harness.take_orders(), "w0 start j.0.0.0 run 1 ");
}

// A job waited on an empty pool: its worker stopped draining without a restart.
#[test]
fn job_starts_when_a_worker_stops_draining() {
    let mut harness = one_idle_worker();
    answer(&mut harness, Worker { draining: true, ..worker(0) });
    add_job(&mut harness, "j");
    harness.take_orders();
    harness.advance(100);
    answer(&mut harness, worker(0));
    harness.advance(CHECK_MS);
    assert_eq!(harness.take_orders(), "w0 start j.0.0.0 run 1 ");
}

// A job waited on an empty pool: its worker was moved to the pool without a restart.
#[test]
fn job_starts_when_a_worker_joins_its_pool() {
    let mut harness = one_idle_worker();
    answer(&mut harness, Worker { pool: "other".into(), ..worker(0) });
    add_job(&mut harness, "j");
    harness.take_orders();
    harness.advance(100);
    answer(&mut harness, worker(0));
    harness.advance(CHECK_MS);
    assert_eq!(harness.take_orders(), "w0 start j.0.0.0 run 1 ");
}

// A gang waited for one rack on an empty pool until its wait had passed, although its workers had
// been moved to one rack without a restart.
#[test]
fn gang_starts_when_a_worker_joins_its_rack() {
    let mut harness = Harness::new(1, 3).with_idle_workers(3);
    harness.advance_with_pings(1000, 3);
    answer(&mut harness, Worker { draining: true, ..worker(0) });
    add_job(&mut harness, "i");
    answer(&mut harness, Worker { rack: "other".into(), ..worker(0) });
    assert_eq!(harness.take_orders(), "w1 start i.0.0.0 run 1 ");
    let gang = Step { gang: true, same_rack: true, ..step(2, 8) };
    let accepted = harness.now;
    harness.owner.add_job("j", Job { accepted, ..job(1, vec![gang]) }, 200, None);
    harness.tick();
    assert_eq!(harness.take_orders(), "nothing");
    harness.advance(100);
    answer(&mut harness, worker(0));
    harness.advance(CHECK_MS);
    assert_eq!(harness.take_orders(), "w0 start j.0.0.0 run 1 \nw2 start j.0.0.1 run 1 ");
}

// A machine stayed closed for good after the last wave of maintenance: its worker outlived the
// maintenance, and no machine list was requested any more that would have shown the machine up.
#[test]
fn machine_of_the_last_wave_takes_work_again_without_a_restart() {
    let mut harness = one_idle_worker();
    harness.advance_with_pings(2000, 1);
    let wave = Wave { number: 1, machines: vec!["m0".into()], duration: 60_000, most: 1 };
    harness.owner.add_wave(&wave, None, harness.now);
    list_machine(&mut harness, Condition::Up);
    harness.tick();
    harness.owner.on_take_down(1, "m0", TakeDownResult::Begun, harness.now);
    harness.advance_with_pings(100, 1);
    list_machine(&mut harness, Condition::Maintained);
    add_job(&mut harness, "j");
    harness.advance_with_pings(3000, 1);
    let orders = harness.take_orders();
    assert!(orders.contains("wave 1 done true") && !orders.contains("start"), "{orders}");
    harness.advance_with_pings(1000, 1);
    if harness.take_orders().contains("list") {
        list_machine(&mut harness, Condition::Up);
    }
    harness.advance(CHECK_MS);
    assert_eq!(harness.take_orders(), "w0 start j.0.0.0 run 1 ");
}

/// Sends a machine list with the first worker's machine in this condition.
fn list_machine(harness: &mut Harness, condition: Condition) {
    let machine = Machine { name: "m0".into(), condition, worker: "i0".into() };
    harness.owner.on_machines(vec![machine], true, 1, (harness.now, harness.now));
}
