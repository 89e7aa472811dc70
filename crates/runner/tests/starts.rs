//! Starts that get no answer, come twice or come too late.

use insta::assert_snapshot;
use quincewheel_job::{End, Evacuation, How, Resources, Run, Task, Worker};
use quincewheel_runner::{Action, Call, Fault, Heartbeat, Output, Reply, Runner, Settings};
use quincewheel_wire::{Notice, Order, Refused};

struct Bed {
    runner: Runner,
    now: u64,
    calls: Vec<(u64, Call)>,
    lines: Vec<String>,
}

impl Bed {
    /// A runner whose worker reported itself and whose owner has epoch 3.
    fn open() -> Bed {
        let runner = Runner::open(Settings::default());
        let mut bed = Bed { runner, now: 1000, calls: Vec::new(), lines: Vec::new() };
        bed.runner.on_heartbeat(&heartbeat(&worker(false), "10.0.0.1:80", 50_000), bed.now);
        bed.order(Order::Claim { epoch: 3 });
        bed.order(Order::Grant { stamp: 1000 });
        bed.held(&[], &[]);
        bed.told();
        bed
    }

    fn order(&mut self, order: Order) {
        self.runner.on_order(1, order, self.now);
        self.drain();
    }

    fn start(&mut self, run: u64) {
        let (spec, saved) = (String::new(), String::new());
        let (worker, ticket) = ("i1".into(), String::new());
        let again = false;
        self.order(Order::Start { worker, task: task(), run, spec, saved, ticket, again });
    }

    fn drain(&mut self) {
        for output in self.runner.outputs() {
            match output {
                Output::Call { id, call } => {
                    self.lines.push(called(&call));
                    self.calls.push((id, call));
                }
                Output::Send { notice: Notice::Ping { .. }, .. } => {}
                Output::Send { notice, .. } => self.lines.push(said(&notice)),
                Output::Close { link } => self.lines.push(format!("close {link}")),
            }
        }
    }

    /// Answers the oldest call that is not a look.
    fn answer(&mut self, answer: Result<Reply, Fault>) {
        let held = |call: &Call| matches!(call.action, Action::Hold { .. });
        let place = self.calls.iter().position(|(_, call)| !held(call)).expect("a call");
        let (id, _) = self.calls.remove(place);
        self.runner.on_reply(id, answer, self.now);
        self.drain();
    }

    /// Answers the look that is under way.
    fn held(&mut self, running: &[Run], ended: &[End]) {
        let held = |call: &Call| matches!(call.action, Action::Hold { .. });
        let place = self.calls.iter().rposition(|(_, call)| held(call)).expect("a look");
        let (id, _) = self.calls.remove(place);
        let clock = 50_000 + self.now;
        let (running, ended) = (running.to_vec(), ended.to_vec());
        self.runner.on_reply(id, Ok(Reply::Held { born: 0, clock, running, ended }), self.now);
        self.drain();
    }

    fn pass(&mut self, ms: u64) {
        self.now += ms;
        self.runner.tick(self.now);
        self.drain();
    }

    fn told(&mut self) -> String {
        let lines = std::mem::take(&mut self.lines);
        if lines.is_empty() { "nothing".to_owned() } else { lines.join("\n") }
    }
}

fn worker(draining: bool) -> Worker {
    let capacity = Resources { cpu: 64_000, memory: 262_144, accelerators: 8 };
    Worker { id: "i1".into(), pool: "p".into(), capacity, draining, ..Worker::default() }
}

fn task() -> Task {
    Task { job: "j".into(), occurrence: 0, step: 0, index: 0 }
}

fn listed(run: u64) -> Run {
    Run { task: task(), number: run, saved: String::new(), percent: 5, gauge: 0 }
}

fn done(run: u64) -> End {
    End { number: 1, task: task(), run, how: How::Done, saved: String::new() }
}

fn called(call: &Call) -> String {
    match &call.action {
        Action::Pace { task, run, percent } => format!("> pace {task} run {run} at {percent}"),
        Action::Start { task, run, lease_end, .. } => {
            format!("> start {task} run {run} until {lease_end}")
        }
        Action::Stop { task, run } => format!("> stop {task} run {run}"),
        Action::Hold { acknowledged, wait, .. } => {
            format!("> hold seen {acknowledged} wait {wait}")
        }
    }
}

fn said(notice: &Notice) -> String {
    match notice {
        Notice::Status { fenced, running, ended, .. } => {
            format!("status fenced {fenced} running {} ended {}", running.len(), ended.len())
        }
        Notice::Started { task, run } => format!("started {task} run {run}"),
        Notice::Unstarted { task, run, why } => format!("unstarted {task} run {run} {why:?}"),
        Notice::Stopped { task, run } => format!("stopped {task} run {run}"),
        notice => format!("{notice:?}"),
    }
}

fn silence() -> Result<Reply, Fault> {
    Err(Fault::Unclear { closed: false, detail: "nothing".into() })
}

fn ok() -> Result<Reply, Fault> {
    Ok(Reply::Done { clock: 52_000 })
}

// Symptom: a task runs on two workers. Sequence: a start gets no answer, is given
// up, and the worker carries it out seconds later. Cause: the owner was told
// "not started" though nobody had made sure.
#[test]
fn a_start_without_an_answer_is_repeated_then_stopped_before_it_is_given_up() {
    let mut bed = Bed::open();
    bed.start(4);
    for _ in 0..3 {
        bed.answer(silence());
    }
    bed.answer(ok());
    let before = bed.told();
    bed.held(&[], &[]);
    assert_snapshot!(format!("{before}\n-- looked\n{}", bed.told()), @r"
    > start j.0.0.0 run 4 until 56880
    > start j.0.0.0 run 4 until 56880
    > hold seen 0 wait 1000
    > start j.0.0.0 run 4 until 56880
    > stop j.0.0.0 run 4
    > hold seen 0 wait 0
    -- looked
    status fenced true running 0 ended 0
    unstarted j.0.0.0 run 4 Silent
    ");
}

// Symptom: a task that is done runs again. Sequence: the agent restarts, the
// owner repeats a start, the worker refuses it as old because that run is done.
// Cause: the refusal was told before the end.
#[test]
fn an_end_is_told_before_the_refusal_of_a_start_that_came_again() {
    let mut bed = Bed::open();
    bed.start(4);
    bed.answer(Ok(Reply::Refused(Refused::Old)));
    bed.answer(ok());
    bed.held(&[], &[done(4)]);
    assert_snapshot!(bed.told(), @r"
    > start j.0.0.0 run 4 until 56880
    > stop j.0.0.0 run 4
    > hold seen 0 wait 0
    status fenced true running 0 ended 1
    unstarted j.0.0.0 run 4 Silent
    ");
}

// Symptom: a task runs on two workers. Sequence: an agent passes a start on and
// restarts, the worker begins to leave, the owner repeats the start and the agent
// refuses it by itself. Cause: it did not ask the worker whether the first one had
// taken effect, nor wait until the stop was through.
#[test]
fn a_start_that_the_agent_refuses_by_itself_is_settled_with_the_worker() {
    let mut bed = Bed::open();
    bed.runner.on_heartbeat(&heartbeat(&worker(true), "10.0.0.1:80", 50_100), bed.now);
    bed.drain();
    bed.start(4);
    bed.answer(ok());
    bed.held(&[listed(4)], &[]);
    let before = bed.told();
    bed.held(&[], &[done(4)]);
    assert_snapshot!(format!("{before}\n-- ended\n{}", bed.told()), @r"
    status fenced true running 0 ended 0
    > stop j.0.0.0 run 4
    > hold seen 0 wait 0
    status fenced true running 1 ended 0
    > hold seen 0 wait 1000
    -- ended
    status fenced true running 0 ended 1
    unstarted j.0.0.0 run 4 Silent
    ");
}

// Symptom: work runs on beyond the time at which its owner takes it for gone.
// Sequence: the worker hears each renewal, but its answers are lost.
// Cause: leases were renewed for as long as the owner granted them.
#[test]
fn a_worker_whose_answers_are_lost_is_not_kept_alive() {
    let mut bed = Bed::open();
    bed.start(4);
    bed.answer(ok());
    bed.held(&[listed(4)], &[]);
    bed.told();
    let mut ends = Vec::new();
    for _ in 0..4 {
        bed.pass(2400);
        let stamp = bed.now;
        bed.order(Order::Grant { stamp });
        let (id, call) = bed.calls.pop().expect("a look");
        if let Action::Hold { lease_end: Some(lease_end), .. } = call.action {
            ends.push(lease_end.to_string());
        }
        bed.runner.on_reply(id, silence(), bed.now);
        bed.pass(300);
    }
    assert_snapshot!(ends.join("\n"), @r"
    56880
    56880
    56880
    56880
    ");
}

// Symptom: a run lapses unseen and its job never goes on. Sequence: a start takes
// effect, the look that follows gets no answer. Cause: only the look's beginning
// was remembered, so none came after it.
#[test]
fn a_look_without_an_answer_is_repeated() {
    let mut bed = Bed::open();
    bed.start(4);
    bed.answer(ok());
    bed.told();
    let (id, _) = bed.calls.pop().expect("a look");
    bed.runner.on_reply(id, silence(), bed.now);
    bed.pass(300);
    assert_snapshot!(bed.told(), @r"> hold seen 0 wait 0");
}

#[test]
fn a_pace_is_passed_on_once_and_never_to_another_life() {
    let mut bed = Bed::open();
    bed.told();
    let pace =
        |worker: &str| Order::Pace { worker: worker.into(), task: task(), run: 1, percent: 50 };
    bed.order(pace("i0"));
    bed.order(pace("i1"));
    assert_snapshot!(bed.told(), @"> pace j.0.0.0 run 1 at 50");
}

/// A report, numbered by the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}

// Symptom: a task starts in a zone that operators evacuate, by an order that was on its way. Sequence: the
// owner orders a start, hears of the evacuation, and tells the agent; a cut delivers both, late.
#[test]
fn a_start_that_comes_after_the_word_of_an_evacuation_is_refused() {
    let mut bed = Bed::open();
    let mut zones = Evacuation::default();
    zones.add("");
    bed.order(Order::Evacuate { zones });
    bed.start(4);
    let evacuated = bed.told();
    bed.order(Order::Evacuate { zones: Evacuation::default() });
    bed.start(5);
    assert_snapshot!(format!("{evacuated}\n-- taken back\n{}", bed.told()), @r"
    > stop j.0.0.0 run 4
    -- taken back
    > start j.0.0.0 run 5 until 56880
    ");
}
