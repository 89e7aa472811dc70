//! When an agent writes where it is.

use insta::assert_snapshot;
use quincewheel_job::Worker;
use quincewheel_runner::{Action, Announcement, Call, Heartbeat, Output, Reply, Runner, Settings};
use quincewheel_wire::{Order, Refused};

/// An agent whose worker runs under an owner.
struct Bed {
    runner: Runner,
    announcement: Announcement,
    now: u64,
    calls: Vec<(u64, Call)>,
    written: Vec<String>,
}

impl Bed {
    fn open() -> Bed {
        let runner = Runner::new(Settings::default());
        let announcement = Announcement::unwritten();
        let (now, calls, written) = (1000, Vec::new(), Vec::new());
        let mut bed = Bed { runner, announcement, now, calls, written };
        bed.report("i1");
        bed.runner.on_order(1, Order::Claim { epoch: 1 }, bed.now);
        bed.drain();
        bed.answer(Ok(Reply::Held {
            born: 0,
            clock: 51_000,
            running: Vec::new(),
            ended: Vec::new(),
        }));
        bed.written.clear();
        bed
    }

    fn report(&mut self, id: &str) {
        let worker = Worker { id: id.into(), pool: "p".into(), ..Worker::default() };
        self.runner.on_heartbeat(&heartbeat(&worker, "10.0.0.1:80", 50_000 + self.now), self.now);
        self.drain();
    }

    fn answer(&mut self, answer: Result<Reply, quincewheel_runner::Fault>) {
        let Some((id, _)) = self.calls.pop() else { return };
        self.runner.on_reply(id, answer, self.now);
        self.drain();
    }

    fn pass(&mut self, ms: u64) {
        self.now += ms;
        self.drain();
    }

    fn drain(&mut self) {
        for output in self.runner.take_outputs() {
            if let Output::Call { id, call } = output
                && matches!(call.action, Action::Hold { .. })
            {
                self.calls.push((id, call));
            }
        }
        let (lives, due) = (
            self.runner.incarnation_count(),
            self.announcement.next_write(&self.runner, 1.0, self.now),
        );
        if due.is_some_and(|at| at <= self.now) {
            self.written.push(format!("{} ms", self.now - 1000));
            self.announcement.on_written(lives);
        }
    }
}

// Symptom: after a crash a worker is back and stands idle for 2 to 4 s. Sequence: its owner has
// learned that it is gone, dropped its agent's row and closed the connection; the next life
// reports itself; that it is no late report is known only a look later. Cause: the report alone
// was looked at, and no life was new then: the agent waited as long as one whose owner is away.
#[test]
fn a_new_life_is_announced_as_soon_as_it_is_known() {
    let mut bed = Bed::open();
    bed.runner.on_disconnect(1);
    bed.pass(3000);
    bed.report("i2");
    bed.pass(5);
    bed.answer(Ok(Reply::Refused(Refused::Leaving)));
    assert_snapshot!(bed.written.join(", "), @"3005 ms");
}

// While nobody answers, the row is written again ever more seldom.
#[test]
fn an_agent_that_stays_alone_writes_its_row_again() {
    let mut bed = Bed::open();
    bed.runner.on_disconnect(1);
    for second in 0..80 {
        bed.pass(1000);
        if second % 2 == 0 {
            bed.report("i1");
        }
    }
    assert_snapshot!(bed.written.join(", "), @"5000 ms, 13000 ms, 29000 ms, 61000 ms");
}

// Symptom: a new owner waits for a worker that is gone. Sequence: a worker and the connection to its
// owner are lost at one time. An agent whose worker reports nothing does not announce itself.
#[test]
fn a_worker_that_reports_no_more_is_not_announced() {
    let mut bed = Bed::open();
    bed.runner.on_disconnect(1);
    for _ in 0..80 {
        bed.pass(1000);
    }
    assert_snapshot!(bed.written.join(", "), @"");
}

/// A report, numbered by the worker's clock.
fn heartbeat<'a>(worker: &'a Worker, address: &'a str, clock: u64) -> Heartbeat<'a> {
    Heartbeat { worker, address, clock, number: clock }
}
