//! What an agent tells of a worker that breaks its connections.

use insta::assert_snapshot;
use quincewheel_job::{Run, Task, Worker};
use quincewheel_runner::{Action, Fault, Heartbeat, Output, Reply, Runner, Settings};
use quincewheel_wire::{Notice, Order, Refused, list_starts};

/// An agent whose worker is fenced and runs nothing.
struct Bed {
    runner: Runner,
    now: u64,
    /// The last look and the last start that were called.
    look: u64,
    start: u64,
    told: Vec<String>,
    /// The last status said that the worker answers.
    fenced: bool,
}

impl Bed {
    fn open() -> Bed {
        let runner = Runner::new(Settings::default());
        let mut bed = Bed { runner, now: 1000, look: 0, start: 0, told: Vec::new(), fenced: false };
        bed.report("i1");
        bed.runner.on_order(1, Order::Claim { epoch: 1 }, bed.now);
        bed.runner.on_order(1, Order::Grant { stamp: bed.now }, bed.now);
        bed.drain();
        bed.looked(&[]);
        bed.told.clear();
        bed
    }

    fn report(&mut self, id: &str) {
        let worker = Worker { id: id.into(), pool: "p".into(), ..Worker::default() };
        self.runner.on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", 50_000 + self.now), self.now);
        self.drain();
    }

    fn order(&mut self, index: u32) {
        let (spec, saved, ticket) = (String::new(), String::new(), String::new());
        let (worker, task) = ("i1".into(), task(index));
        let start = Order::Start { worker, task, run: 1, spec, saved, ticket, again: false };
        self.runner.on_order(1, start, self.now);
        self.drain();
    }

    /// The last start is confirmed.
    fn started(&mut self) {
        self.answer(self.start, Ok(Reply::Done { clock: 50_000 + self.now }));
    }

    /// The last look is answered.
    fn looked(&mut self, running: &[u32]) {
        let run = |&index: &u32| Run {
            task: task(index),
            number: 1,
            saved: String::new(),
            percent: 1,
            gauge: 0,
        };
        let running = running.iter().map(run).collect();
        let held = Reply::Held { born: 0, clock: 50_000 + self.now, running, ended: Vec::new() };
        self.answer(self.look, Ok(held));
    }

    fn answer(&mut self, id: u64, answer: Result<Reply, Fault>) {
        self.runner.on_reply(id, answer, self.now);
        self.drain();
    }

    fn pass(&mut self, ms: u64) {
        self.now += ms;
        self.runner.tick(self.now);
        self.drain();
    }

    fn drain(&mut self) {
        for output in self.runner.take_outputs() {
            match output {
                Output::Call { id, call } => match call.action {
                    Action::Hold { .. } => self.look = id,
                    Action::Start { .. } => self.start = id,
                    _ => {}
                },
                Output::Send { notice: Notice::Broke { worker, starts }, .. } => {
                    self.told.push(format!("{worker} broke: {}", list_starts(&starts)));
                }
                Output::Send { notice: Notice::Status { fenced, .. }, .. } => self.fenced = fenced,
                Output::Send { .. } | Output::Close { .. } => {}
            }
        }
    }
}

fn task(index: u32) -> Task {
    Task { job: "j".into(), occurrence: 0, step: 0, index }
}

fn closed() -> Result<Reply, Fault> {
    Err(Fault::Unclear { closed: true, detail: "closed".into() })
}

fn refused() -> Result<Reply, Fault> {
    Err(Fault::Unsent { detail: "refused".into() })
}

// Symptom: on-call engineers see that a run was lost with its worker, and not that the worker
// crashed just after the start. Sequence: a task has run for a while, another starts, and 10 ms
// later the process is gone. Cause: nobody told how long a worker had lived on.
#[test]
fn only_starts_of_the_last_moment_are_named() {
    let mut bed = Bed::open();
    bed.order(0);
    bed.started();
    bed.pass(300);
    bed.looked(&[0]);
    bed.order(1);
    bed.started();
    bed.pass(10);
    bed.answer(bed.look, closed());
    bed.pass(300);
    bed.answer(bed.look, refused());
    assert_snapshot!(bed.told.join("\n"), @"i1 broke: j.0.0.1 run 1");
}

// Symptom: a bad task is started five times after three crashes, on a busy machine. Sequence: it crashes
// its worker 10 ms after its start; the agent learns of that 240 ms later. Cause: only starts of the
// last 150 ms were named.
#[test]
fn a_start_is_named_though_the_agent_learns_of_the_crash_late() {
    let mut bed = Bed::open();
    bed.order(0);
    bed.started();
    bed.pass(240);
    bed.answer(bed.look, closed());
    assert_snapshot!(bed.told.join("\n"), @"i1 broke: j.0.0.0 run 1");
}

// A worker that crashes by itself is no task's fault, also where nothing has started since.
#[test]
fn a_start_that_the_worker_has_outlived_is_not_named() {
    let mut bed = Bed::open();
    bed.order(0);
    bed.started();
    bed.pass(300);
    bed.looked(&[0]);
    bed.answer(bed.look, closed());
    assert_snapshot!(bed.told.join("\n"), @"i1 broke: no start");
}

// A worker may crash before it answers the start.
#[test]
fn a_start_without_an_answer_is_named() {
    let mut bed = Bed::open();
    bed.order(0);
    bed.answer(bed.start, closed());
    assert_snapshot!(bed.told.join("\n"), @"i1 broke: j.0.0.0 run 1");
}

// A start that found nobody there has not crashed anything.
#[test]
fn a_start_that_was_not_sent_is_not_named() {
    let mut bed = Bed::open();
    bed.order(0);
    bed.order(1);
    bed.answer(bed.start, refused());
    assert_snapshot!(bed.told.join("\n"), @"i1 broke: no start");
}

// No answer in time tells nothing of when the worker was gone, or whether it is.
#[test]
fn silence_is_no_break() {
    let mut bed = Bed::open();
    bed.order(0);
    bed.started();
    bed.answer(bed.look, Err(Fault::Unclear { closed: false, detail: "nothing".into() }));
    assert_snapshot!(bed.told.join("\n"), @"");
}

// A new owner may have taken over between the crash and its consequences.
#[test]
fn a_new_owner_is_told_as_well_until_the_worker_answers() {
    let mut bed = Bed::open();
    bed.order(0);
    bed.started();
    bed.answer(bed.look, closed());
    bed.runner.on_order(2, Order::Claim { epoch: 2 }, bed.now);
    bed.drain();
    bed.pass(300);
    bed.looked(&[0]);
    bed.runner.on_order(3, Order::Claim { epoch: 3 }, bed.now);
    bed.drain();
    assert_snapshot!(bed.told.join("\n"), @r"
    i1 broke: j.0.0.0 run 1
    i1 broke: j.0.0.0 run 1
    ");
}

// Symptom: a crash is not counted. Sequence: the worker closes its connection; before the next
// look it is told that it leaves, so its agent tells its status. Cause: that status said that the
// worker answers, by its last answer before the crash.
#[test]
fn no_status_says_that_a_worker_answers_which_broke_its_connections() {
    let mut bed = Bed::open();
    bed.order(0);
    bed.started();
    bed.answer(bed.look, closed());
    let worker = Worker { id: "i1".into(), pool: "p".into(), draining: true, ..Worker::default() };
    bed.runner.on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", 51_000 + bed.now), bed.now);
    bed.drain();
    let before = bed.fenced;
    bed.pass(300);
    bed.looked(&[0]);
    assert_eq!((before, bed.fenced), (false, true));
}

// The answer to a call of a life that is over says nothing of the one that took its place.
#[test]
fn a_call_to_a_former_life_does_not_count_for_the_next() {
    let mut bed = Bed::open();
    bed.order(0);
    bed.started();
    let (look, start) = (bed.look, bed.start);
    bed.runner.on_leave(&"i1".into(), bed.now);
    bed.report("i2");
    bed.answer(look, closed());
    bed.answer(start, closed());
    assert_snapshot!(bed.told.join("\n"), @"");
}

// Symptom: a task takes down one more worker under each owner. Sequence: a worker crashes while its
// agent has no connection to an owner; the next life of the worker is known before there is one.
// Cause: what had crashed a life was forgotten with that life.
#[test]
fn an_owner_that_connects_later_is_told_of_a_life_that_was_crashed() {
    let mut bed = Bed::open();
    bed.order(0);
    bed.started();
    bed.runner.on_disconnect(1);
    bed.answer(bed.look, closed());
    bed.pass(300);
    bed.answer(bed.look, Ok(Reply::Refused(Refused::Leaving)));
    bed.report("i2");
    bed.runner.on_order(2, Order::Claim { epoch: 2 }, bed.now);
    bed.drain();
    let soon = std::mem::take(&mut bed.told).join("\n");
    bed.pass(12_000);
    bed.runner.on_order(3, Order::Claim { epoch: 3 }, bed.now);
    bed.drain();
    assert_snapshot!(format!("{soon}\n-- 12 s later\n{}", bed.told.join("\n")), @r"
    i1 broke: j.0.0.0 run 1
    -- 12 s later
    ");
}

// Symptom: what ran at a worker that crashed starts elsewhere 0.4 s later. Sequence: a look's
// connection breaks; the next look, which finds nobody there, comes after the pause that follows
// any look that failed. Cause: a connection that broke was taken for an answer that did not come.
#[test]
fn a_worker_that_broke_its_connections_is_looked_at_again_at_once() {
    let mut bed = Bed::open();
    bed.order(0);
    bed.started();
    let first = bed.look;
    bed.answer(first, closed());
    let second = bed.look;
    bed.answer(second, closed());
    assert_eq!((second > first, bed.look == second), (true, true));
}

// Symptom: a task that crashes its workers is started more often than it may. Sequence: a connection
// to a sound worker is reset; a start is ordered before the worker has answered a look, and crashes
// it. Cause: until it answers a look nothing more was learned of a worker that had broken one.
#[test]
fn a_start_that_crashes_a_worker_which_has_just_broken_another_connection_is_named() {
    let mut bed = Bed::open();
    bed.order(0);
    bed.started();
    bed.pass(300);
    bed.looked(&[0]);
    bed.answer(bed.look, closed());
    bed.order(1);
    bed.started();
    bed.pass(10);
    bed.answer(bed.look, closed());
    assert_snapshot!(bed.told.join("\n"), @r"
    i1 broke: no start
    i1 broke: j.0.0.1 run 1
    ");
}

/// A report, numbered by the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
