//! Workers whose capacity changes, or is taken by what nobody waits for.

mod bed;

use bed::{Bed, job, run, step, task, worker};
use insta::assert_snapshot;
use quincewheel_job::{Need, Run, Worker};
use quincewheel_wire::Notice;

/// A worker reports so many accelerators.
fn status(bed: &mut Bed, accelerators: u64, running: &[Run]) {
    let capacity = Need { accelerators, ..worker(0).capacity };
    let worker = Some(Worker { capacity, ..worker(0) });
    let (stamp, running, ended) = (bed.now, running.to_vec(), Vec::new());
    bed.notice(0, Notice::Status { stamp, worker, fenced: true, running, ended });
}

// Symptom: work waits beside a worker that has room again. Sequence: its capacity has shrunk and
// grows again; nothing else happens. Cause: only ends and new workers began a round of decisions.
#[test]
fn room_that_grows_again_is_used_at_once() {
    let mut bed = Bed::open(1, 1).idle(1);
    status(&mut bed, 2, &[]);
    bed.owner.add_job("a", job(1, vec![step(1, 4)]), 150, None);
    bed.step();
    let shrunk = bed.told();
    status(&mut bed, 8, &[]);
    assert_snapshot!(format!("{shrunk}\n{}", bed.told()), @r"
    nothing
    w0 start a.0.0.0 run 1
    ");
}

// What runs may be more than the capacity is now; nothing is added until enough has ended.
#[test]
fn nothing_starts_at_a_worker_that_has_shrunk_below_what_runs_there() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.owner.add_job("a", job(1, vec![step(2, 3)]), 150, None);
    bed.step();
    let runs = [run(task("a", 0, 0), 1), run(task("a", 0, 1), 1)];
    bed.told();
    status(&mut bed, 4, &runs);
    bed.owner.add_job("b", job(1, vec![step(1, 1)]), 151, None);
    bed.step();
    let over = bed.told();
    let ended = [bed::end(1, task("a", 0, 0), 1, quincewheel_job::How::Done)];
    let (stamp, worker) = (
        bed.now,
        Some(Worker { capacity: Need { accelerators: 4, ..worker(0).capacity }, ..worker(0) }),
    );
    let (running, ended) = (runs[1..].to_vec(), ended.to_vec());
    bed.notice(0, Notice::Status { stamp, worker, fenced: true, running, ended });
    assert_snapshot!(format!("{over}\n{}", bed.told()), @r"
    nothing
    w0 start b.0.0.0 run 1
    ");
}

// Symptom: a worker that does not check for itself is given more than it has. Sequence: it lists
// a run that nobody waits for any more (its job has ended, or a later run exists elsewhere), which
// is stopped; before the stop is through, its room is given away. Cause: only runs that are waited
// for were counted.
#[test]
fn room_of_a_run_that_nobody_waits_for_is_free_only_when_it_is_gone() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.status(0, &[run(task("unknown", 0, 0), 7)], &[]);
    bed.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    bed.step();
    let stopping = bed.told();
    bed.status(0, &[], &[]);
    assert_snapshot!(format!("{stopping}\n-- gone\n{}", bed.told()), @r"
    w0 stop unknown.0.0.0 run 7
    -- gone
    w0 start a.0.0.0 run 1
    ");
}
