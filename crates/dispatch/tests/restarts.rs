//! Workers that start again under the id that they had, as the owner sees them.

mod bed;

use bed::{Bed, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Advice, End, How, Run, Worker};
use quincewheel_wire::Notice;

/// The first worker reports, as the start of it at `born`.
fn report(bed: &mut Bed, born: u64, running: &[Run], ended: &[End]) {
    let worker = Some(Worker { born, ..bed::worker(0) });
    let (running, ended) = (running.to_vec(), ended.to_vec());
    bed.notice(0, Notice::Status { stamp: bed.now, worker, fenced: true, running, ended });
}

/// A worker of which an end is recorded, and which has started again since then.
fn started_again() -> Bed {
    let mut bed = Bed::open(1, 1);
    bed.link(0);
    report(&mut bed, 1, &[], &[]);
    bed.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    bed.step();
    report(&mut bed, 1, &[], &[end(1, task("a", 0, 0), 1, How::Done)]);
    bed.record();
    report(&mut bed, 2, &[], &[]);
    bed.told();
    bed
}

// Symptom: a job whose gang broke waits without end for `remains of a former start`, and others
// for room that those remains hold. Sequence: a worker whose first end is recorded starts again
// under its id; a member of the gang ends there, as its first. Cause: the owner takes the number
// for one that it has recorded, and the run for one that goes on. Proof: on the recorded day
// members had ended as broken at two workers that had started again, and five steps waited for
// remains to the end.
#[test]
fn an_end_of_a_worker_that_started_again_counts() {
    let mut bed = started_again();
    bed.owner.add_job("b", job(1, vec![step(1, 8)]), 160, None);
    bed.step();
    report(&mut bed, 2, &[run(task("b", 0, 0), 1)], &[]);
    report(&mut bed, 2, &[], &[end(1, task("b", 0, 0), 1, How::Broken)]);
    bed.record();
    assert_snapshot!(bed.told(), @r"
    w0 start b.0.0.0 run 1 
    w0 start b.0.0.0 run 2 
    w0 seen 1
    ");
}

// A call names a worker by its id only, so that a start for the former incarnation may be carried
// out by the next one: the task would run twice if it started elsewhere at once.
#[test]
fn a_start_that_a_former_incarnation_never_listed_is_stopped_before_it_starts_elsewhere() {
    let mut bed = Bed::open(1, 2).idle(2);
    bed.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    bed.step();
    let ordered = bed.told();
    report(&mut bed, 2, &[], &[]);
    let restarted = bed.told();
    bed.notice(0, Notice::Stopped { task: task("a", 0, 0), run: 1 });
    bed.step();
    assert_snapshot!(format!("{ordered}\n-- restarted\n{restarted}\n-- stopped\n{}", bed.told()), @r"
    w0 start a.0.0.0 run 1 
    -- restarted
    w0 stop a.0.0.0 run 1
    -- stopped
    w0 start a.0.0.0 run 2
    ");
}

// What the former incarnation had listed is certainly gone with it.
#[test]
fn a_run_that_a_former_incarnation_listed_starts_elsewhere_at_once() {
    let mut bed = Bed::open(1, 2).idle(2);
    bed.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    bed.step();
    bed.status(0, &[run(task("a", 0, 0), 1)], &[]);
    bed.told();
    report(&mut bed, 2, &[], &[]);
    assert_snapshot!(bed.told(), @"w0 start a.0.0.0 run 2");
}

// Symptom: a sound task is suspected of crashing workers. Sequence: an agent's machine starts again, and
// its clock anew; the task runs on. Cause: how long it had been listed was reckoned from a time by
// the former clock, which is not over for as long as the machine had been up.
#[test]
fn a_task_outlives_its_start_though_its_agents_clock_began_anew() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    bed.step();
    bed.events = vec!["crash suspected"];
    for stamp in [500_000, 1000, 1400] {
        let (worker, running) = (Some(bed::worker(0)), vec![run(task("a", 0, 0), 1)]);
        let status = Notice::Status { stamp, worker, fenced: true, running, ended: Vec::new() };
        bed.notice(0, status);
    }
    let starts = vec![(task("a", 0, 0), 1), (task("other", 0, 0), 1)];
    bed.notice(0, Notice::Broke { worker: "i0".into(), starts });
    report(&mut bed, 2, &[], &[]);
    assert_snapshot!(bed.logged(), @"nothing");
}

// A ticket ends with the incarnation that it was given for; a worker that starts again may be of
// another kind, and refuses the old one.
#[test]
fn a_worker_that_started_again_needs_another_ticket() {
    let mut bed = Bed::open(1, 1);
    bed.link(0);
    report(&mut bed, 1, &[], &[]);
    let mut cleared = job(1, vec![step(1, 8)]);
    cleared.queue.advice = Some(Advice { decide: 100, each: 10, ..Advice::default() });
    bed.owner.add_job("a", cleared, 150, None);
    bed.step();
    let question = bed.questions.remove(0);
    report(&mut bed, 2, &[], &[]);
    bed.told();
    let good = [("i0".to_owned(), "ticket".to_owned())];
    bed.owner.advised(&question, Some((&good, 60_000)), bed.now, bed.now);
    bed.step();
    assert_snapshot!(bed.told(), @"ask i0 born 2");
}
