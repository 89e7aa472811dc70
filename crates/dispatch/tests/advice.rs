//! Queues whose steps must be cleared for workers by a service outside the system.

mod bed;

use bed::{Bed, job, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Advice, Job, Step};
use quincewheel_wire::{Notice, Refused};

fn cleared(steps: Vec<Step>) -> Job {
    let mut job = job(1, steps);
    job.queue.advice = Some(Advice { decide: 100, each: 10, valid: 5000 });
    job
}

/// Answers the oldest question: these workers may run the step.
fn answer(bed: &mut Bed, good: &[&str]) {
    let question = bed.questions.remove(0);
    let ticket = |worker: &&str| ((*worker).to_owned(), format!("ticket-{worker}"));
    let tickets: Vec<(String, String)> = good.iter().map(ticket).collect();
    bed.owner.advised(&question, Some((&tickets, 5000)), bed.now, bed.now);
    bed.step();
}

#[test]
fn a_step_starts_only_where_it_is_cleared() {
    let mut bed = Bed::open(1, 3).idle(3);
    bed.owner.add_job("a", cleared(vec![step(2, 8)]), 150, None);
    bed.step();
    let asked = bed.told();
    answer(&mut bed, &["i2"]);
    assert_snapshot!(format!("{asked}\n-- one may\n{}", bed.told()), @r"
    ask i0 i1 i2
    -- one may
    w2 start a.0.0.0 run 1 with ticket-i2
    ");
}

#[test]
fn what_is_known_of_a_step_is_not_asked_again_until_its_ticket_runs_out() {
    let mut bed = Bed::open(1, 2).idle(2);
    bed.owner.add_job("a", cleared(vec![step(1, 8)]), 150, None);
    bed.step();
    answer(&mut bed, &["i1"]);
    bed.status(1, &[], &[bed::end(1, task("a", 0, 0), 1, quincewheel_job::How::Stopped)]);
    let again = bed.told();
    for _ in 0..5 {
        bed.pass(1000);
        for number in 0..2 {
            bed.notice(number, Notice::Ping { stamp: bed.now, silent: 0 });
        }
    }
    bed.status(1, &[], &[bed::end(2, task("a", 0, 0), 2, quincewheel_job::How::Stopped)]);
    assert_snapshot!(format!("{again}\n-- after 5 s\n{}", bed.told()), @r"
    ask i0 i1
    w1 start a.0.0.0 run 1 with ticket-i1
    w1 start a.0.0.0 run 2 with ticket-i1
    -- after 5 s
    ask i1
    ");
}

// Symptom: a task that must be cleared is never started again. Sequence: its worker
// refuses the ticket. Cause: the ticket was used again and again.
#[test]
fn a_ticket_that_was_refused_is_asked_for_anew() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.owner.add_job("a", cleared(vec![step(1, 8)]), 150, None);
    bed.step();
    answer(&mut bed, &["i0"]);
    bed.told();
    bed.notice(0, Notice::Unstarted { task: task("a", 0, 0), run: 1, why: Refused::Ticket });
    assert_snapshot!(bed.told(), @"ask i0");
}

// Symptom: nothing on such queues starts any more. Sequence: one call to the service
// gets no answer. Cause: the owner went on waiting for it.
#[test]
fn a_question_without_an_answer_is_asked_again() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.owner.add_job("a", cleared(vec![step(1, 8)]), 150, None);
    bed.step();
    bed.told();
    let question = bed.questions.remove(0);
    bed.owner.advised(&question, None, bed.now, bed.now);
    bed.step();
    let at_once = bed.told();
    bed.pass(400);
    assert_snapshot!(format!("{at_once}\n-- 400 ms\n{}", bed.told()), @r"
    nothing
    -- 400 ms
    ask i0
    ");
}
