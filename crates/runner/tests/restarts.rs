//! Workers that start again under the id that they had.

mod world;

use insta::assert_snapshot;
use quincewheel_job::{Incarnation, Task, Worker};
use quincewheel_runner::{Action, Fault, Heartbeat, Output, Reply, Runner, Settings};
use quincewheel_wire::{Notice, Order};
use world::{Mood, World, gang, job};

/// A worker that has run three tasks, and whose agent has told it that their ends are recorded.
fn used() -> World {
    let mut world = World::open(1, 1);
    world.records = true;
    world.report(0);
    world.link(0);
    world.pass(1000);
    world.owner.job("a", job(3), 150, None);
    world.pass(1000);
    world.finish(0, "a");
    world.pass(2000);
    assert!(world.owner.has_ended("a"));
    world.told();
    world
}

// Symptom: a task that has ended as done starts again, on another worker, some seconds later.
// Sequence: a worker ends, is recorded to have listed three ends, and starts again under the
// same id; a task that starts there ends as its first. Cause: the agent goes on telling the
// worker that ends up to the third are recorded, so that it forgets the first of its own untold.
// Proof: on the recorded day each such task had started at a worker that had started again, and
// no end of any of them was ever logged.
#[test]
fn an_end_of_a_worker_that_started_again_is_not_forgotten_untold() {
    let mut world = used();
    world.start_again(0);
    world.report(0);
    world.pass(500);
    world.owner.job("b", job(1), 160, None);
    world.owner.job("goes-on", job(1), 161, None);
    world.pass(500);
    world.finish(0, "b");
    world.pass(20_000);
    assert_snapshot!(world.told(), @r"
    4600 ms: w0 start b.0.0.0 run 1
    4600 ms: w0 start goes-on.0.0.0 run 1
    ");
    assert!(world.owner.has_ended("b"));
}

// Symptom: a task runs on two workers at once. Sequence: a start gets no answer, the worker is told to
// stop that run, and the task starts elsewhere; the worker starts again under its id, and only then
// carries the start out. Cause: which runs it was told to stop ends with an incarnation.
#[test]
fn a_start_without_an_answer_is_stopped_at_the_next_incarnation_too() {
    let mut world = World::open(1, 2);
    for number in 0..2 {
        world.report(number);
        world.link(number);
    }
    world.pass(1000);
    world.sides[0].mood = Mood::Late(8000);
    world.owner.job("a", gang(1), 150, None);
    world.pass(4000);
    world.start_again(0);
    world.report(0);
    world.pass(10_000);
    assert_snapshot!(world.running().join("\n"), @"w1 a.0.0.0 run 2");
}

// Symptom: a worker stands idle for good. Sequence: it drains and leaves, and starts again under its
// id. Cause: reports of an id that has left were taken for late ones.
#[test]
fn a_worker_that_left_and_started_again_is_used_again() {
    let mut bed = Bed::open(1);
    bed.look(1);
    bed.report(1, true);
    bed.runner.on_leave(&"i".into(), bed.now);
    bed.report(2, false);
    bed.look(2);
    assert_snapshot!(bed.told(), @r"
    worker i born 1
    worker i born 1, answers
    worker i born 1, answers
    left i born 1
    no worker
    worker i born 2
    worker i born 2, answers
    ");
}

// Symptom: a worker is taken for gone, and what runs there starts elsewhere beside itself. Sequence:
// the former incarnation's last word, which names the id alone, comes seconds late.
#[test]
fn a_late_word_of_leaving_does_not_end_the_incarnation_that_is_there() {
    let mut bed = Bed::open(1);
    bed.look(1);
    bed.report(2, false);
    bed.look(2);
    bed.told();
    bed.runner.on_leave(&"i".into(), bed.now);
    bed.runner.on_leave(&Incarnation { id: "i".into(), born: 1 }, bed.now);
    bed.drain();
    assert_snapshot!(bed.told(), @r"
    nothing
    ");
}

// The same for a late report: a look tells which of the two is there.
#[test]
fn a_late_report_of_a_former_incarnation_does_not_replace_the_one_that_is_there() {
    let mut bed = Bed::open(1);
    bed.look(1);
    bed.report(2, false);
    bed.look(2);
    bed.told();
    bed.report(1, false);
    bed.look(2);
    assert_snapshot!(bed.told(), @r"
    worker i born 2, answers
    ");
}

// Symptom: work starts at a worker that leaves. Sequence: it reports that it drains; an earlier report,
// which a cut held up, comes seconds later. Cause: whichever report of an incarnation came last was
// taken for its newest.
#[test]
fn an_earlier_report_of_the_same_incarnation_changes_nothing() {
    let mut bed = Bed::open(1);
    bed.look(1);
    bed.report(1, true);
    bed.told();
    let earlier = Worker { id: "i".into(), born: 1, pool: "p".into(), ..Worker::default() };
    let late = heartbeat(&earlier, "10.0.0.1:80", bed.clock(1) - 500);
    bed.runner.on_heartbeat(&late, bed.now);
    bed.drain();
    assert!(bed.runner.worker().is_some_and(|worker| worker.draining));
    assert_snapshot!(bed.told(), @"nothing");
}

// Symptom: a task that crashes its workers is started without end. Sequence: the worker is back
// under its id before anything else tells that it was gone. Cause: the answer of the next
// incarnation was taken for one of the worker that broke its connections.
#[test]
fn a_crash_is_told_where_the_next_incarnation_answers_under_the_same_id() {
    let mut bed = Bed::open(1);
    bed.look(1);
    bed.start();
    bed.told();
    bed.fail();
    bed.look(2);
    bed.report(2, false);
    bed.look(2);
    assert_snapshot!(bed.told(), @r"
    broke i born 1 after 1
    no worker
    worker i born 2
    worker i born 2, answers
    ");
}

// Symptom: a worker holds its lease for longer than its owner reckons with. Cause: the lease was
// reckoned on the clock of the former incarnation, which was far ahead.
#[test]
fn a_lease_is_reckoned_on_the_clock_of_the_incarnation_that_is_there() {
    let mut bed = Bed::open(1);
    bed.look(1);
    bed.report(2, false);
    bed.look(2);
    let first = bed.lease();
    bed.look(2);
    bed.now += 1000;
    bed.start();
    assert_snapshot!(format!("first look: {first}\nstart: {}", bed.lease()), @r"
    first look: none
    start: 4899 ms
    ");
}

// Symptom and cause as in the first test; the worker has started again unnoticed, and a start has
// reached it since. Only a look that is answered after that start shows who is there.
#[test]
fn ends_are_acknowledged_only_where_a_look_since_the_last_start_shows_who_listed_them() {
    let mut bed = Bed::open(1);
    bed.look(1);
    bed.order_start();
    let worker = Incarnation { id: "i".into(), born: 1 };
    bed.runner.on_order(1, Order::Seen { worker, number: 3 }, bed.now);
    bed.drain();
    let mut seen = vec![bed.seen()];
    bed.look(1);
    seen.push(bed.seen());
    bed.confirm_start();
    for _ in 0..2 {
        bed.look(1);
        seen.push(bed.seen());
    }
    assert_snapshot!(seen.join("\n"), @r"
    0
    0
    3
    none
    ");
}

// The same after a call without an answer: the worker may have started again since.
#[test]
fn nothing_is_acknowledged_to_whoever_answers_first_after_a_fault() {
    let mut bed = Bed::open(1);
    bed.look(1);
    let worker = Incarnation { id: "i".into(), born: 1 };
    bed.runner.on_order(1, Order::Seen { worker, number: 3 }, bed.now);
    bed.drain();
    let before = bed.seen();
    bed.fail();
    let after = bed.seen();
    bed.look(1);
    let told = format!("{before}, fault, {after}, {}", bed.seen());
    assert_snapshot!(told, @"3, fault, 0, 3");
}

/// What else happens when a worker starts again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum With {
    /// Calls that are under way break.
    Breaks,
    /// They are answered by the next incarnation.
    Answers,
    /// They break, and starts are carried out late.
    LateBreaks,
    /// They are answered by the next incarnation, and starts are carried out late.
    LateAnswers,
    /// Its agent's process starts again as well.
    Agent,
    /// Another entry takes over just after it, and again the second time.
    Owner,
    /// Another entry has just taken over.
    NewOwner,
}

/// One course: the first of two workers starts again at `moment`, and once more 700 ms later, and
/// reports so much later each time. Returns what went wrong.
fn course(moment: u64, report: u64, with: With) -> Vec<String> {
    let mut world = World::open(1, 2);
    (world.records, world.work) = (true, Some(500));
    for number in 0..2 {
        world.report(number);
        world.link(number);
    }
    world.pass(500);
    let mut wrong = Vec::new();
    let mut pass = |world: &mut World, ms: u64| {
        for _ in 0..ms / 100 {
            world.pass(100);
            wrong.extend(world.wrong());
        }
    };
    let jobs = [("a", job(3)), ("gang", gang(2)), ("b", job(2))];
    for ((name, job), version) in jobs.into_iter().zip(150..) {
        world.submit(name, job, version);
    }
    if matches!(with, With::LateBreaks | With::LateAnswers) {
        world.sides[0].mood = Mood::Late(300);
    }
    pass(&mut world, moment);
    for time in 0..2 {
        if with == With::NewOwner {
            world.take_over(2 + time);
        }
        world.start_again(0);
        if matches!(with, With::Breaks | With::LateBreaks) {
            world.break_calls(0);
        }
        pass(&mut world, report);
        match with {
            With::Agent => world.restart(0),
            _ => world.report(0),
        }
        if with == With::Owner {
            world.take_over(2 + time);
        }
        pass(&mut world, 700);
    }
    pass(&mut world, 30_000);
    let open = ["a", "gang", "b"].into_iter().filter(|name| !world.has_ended(name));
    wrong.extend(open.map(|name| format!("{name} has not ended")));
    wrong.dedup();
    wrong
}

// Both incidents, wherever the restarts fall: noticed at once or by the next report, with calls that
// break or are answered by the next incarnation, with starts that are carried out late, with an agent
// that starts again, too, and with changes of owner.
#[test]
fn restarts_at_any_moment_neither_double_nor_lose_anything() {
    let mut lines = Vec::new();
    for moment in (0..4000).step_by(100) {
        for report in [0, 300, 1500] {
            let late = [With::LateBreaks, With::LateAnswers];
            let others = [With::Breaks, With::Answers, With::Agent, With::Owner, With::NewOwner];
            for with in others.into_iter().chain(late) {
                let wrong = course(moment, report, with);
                lines
                    .extend(wrong.iter().map(|line| format!("{moment} {report} {with:?}: {line}")));
            }
        }
    }
    assert!(lines.is_empty(), "{} lines of 840 courses:\n{}", lines.len(), lines.join("\n"));
}

/// A runner, and what it tells its owner.
struct Bed {
    runner: Runner,
    now: u64,
    calls: Vec<(u64, Action)>,
    told: Vec<String>,
}

impl Bed {
    /// A runner that follows an owner and knows a worker, started at `born`.
    fn open(born: u64) -> Bed {
        let runner = Runner::new(Settings::default());
        let mut bed = Bed { runner, now: 1000, calls: Vec::new(), told: Vec::new() };
        bed.report(born, false);
        bed.runner.on_order(1, Order::Claim { epoch: 1 }, bed.now);
        bed.runner.on_order(1, Order::Grant { stamp: bed.now }, bed.now);
        bed.drain();
        bed
    }

    /// The clock of the incarnation that began at `born`: that of the first is far ahead.
    fn clock(&self, born: u64) -> u64 {
        if born == 1 { 500_000 + self.now } else { self.now }
    }

    fn report(&mut self, born: u64, draining: bool) {
        self.now += 1;
        let worker =
            Worker { id: "i".into(), born, pool: "p".into(), draining, ..Worker::default() };
        self.runner.on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", self.clock(born)), self.now);
        self.drain();
    }

    /// The incarnation that began at `born` answers all looks that are under way.
    fn look(&mut self, born: u64) {
        let looks = |(_, action): &(u64, Action)| matches!(action, Action::Hold { .. });
        let calls: Vec<(u64, Action)> = self.calls.extract_if(.., |call| looks(call)).collect();
        for (id, _) in calls {
            let (running, ended) = (Vec::new(), Vec::new());
            let held = Reply::Held { born, clock: self.clock(born), running, ended };
            self.runner.on_reply(id, Ok(held), self.now);
        }
        self.drain();
    }

    /// The owner orders a start, and the worker confirms it.
    fn start(&mut self) {
        self.order_start();
        self.confirm_start();
    }

    /// The worker confirms the start that is on its way.
    fn confirm_start(&mut self) {
        let starts = |(_, action): &(u64, Action)| matches!(action, Action::Start { .. });
        if let Some((id, _)) = self.calls.iter().find(|call| starts(call)).cloned() {
            self.runner.on_reply(id, Ok(Reply::Done { clock: self.clock(self.born()) }), self.now);
        }
        self.drain();
    }

    /// The owner orders a start.
    fn order_start(&mut self) {
        let task = Task { job: "j".into(), occurrence: 0, step: 0, index: 0 };
        let (spec, saved, ticket) = (String::new(), String::new(), String::new());
        let worker = Incarnation { id: "i".into(), born: self.born() };
        let start = Order::Start { worker, task, run: 1, spec, saved, ticket, again: false };
        self.runner.on_order(1, start, self.now);
        self.drain();
    }

    /// Which incarnation the runner takes for the one that is there.
    fn born(&self) -> u64 {
        self.runner.worker().map_or(0, |worker| worker.born)
    }

    /// All calls that are under way break with their connections.
    fn fail(&mut self) {
        for (id, _) in std::mem::take(&mut self.calls) {
            let detail = "closed".to_owned();
            self.runner.on_reply(id, Err(Fault::Unclear { closed: true, detail }), self.now);
        }
        self.drain();
    }

    /// When the lease of the last look or start ends, in milliseconds from now by the clock of
    /// the incarnation that is there.
    fn lease(&self) -> String {
        let mut leases = self.calls.iter().filter_map(|(_, action)| match action {
            Action::Start { lease_end, .. } => Some(lease_end - self.clock(self.born())),
            Action::Hold { lease_end, .. } => {
                lease_end.map(|lease_end| lease_end - self.clock(self.born()))
            }
            _ => None,
        });
        leases.next_back().map_or("none".to_owned(), |left| format!("{left} ms"))
    }

    /// The number up to which the look that is under way acknowledges ends.
    fn seen(&self) -> String {
        let mut seen = self.calls.iter().filter_map(|(_, action)| match action {
            Action::Hold { acknowledged, .. } => Some(acknowledged.to_string()),
            _ => None,
        });
        seen.next_back().unwrap_or("none".to_owned())
    }

    fn drain(&mut self) {
        for output in self.runner.take_outputs() {
            match output {
                Output::Call { id, call } => self.calls.push((id, call.action)),
                Output::Send { notice, .. } => self.told.extend(line(&notice)),
                Output::Close { .. } => {}
            }
        }
    }

    /// What was told since the last time.
    fn told(&mut self) -> String {
        let lines = std::mem::take(&mut self.told);
        if lines.is_empty() { "nothing".to_owned() } else { lines.join("\n") }
    }
}

fn line(notice: &Notice) -> Option<String> {
    match notice {
        Notice::Status { worker: None, .. } => Some("no worker".to_owned()),
        Notice::Status { worker: Some(worker), fenced, .. } => {
            let answers = if *fenced { ", answers" } else { "" };
            Some(format!("worker {}{answers}", worker.incarnation()))
        }
        Notice::Left { worker } => Some(format!("left {worker}")),
        Notice::Broke { worker, starts } => Some(format!("broke {worker} after {}", starts.len())),
        _ => None,
    }
}

/// A report, numbered by the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
