//! Runs that are believed at workers that do not list them.

mod bed;

use bed::{Bed, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_wire::Notice;

// Symptom: jobs stand still to the end of the day, with most of the workers' room free. Sequence:
// a worker lists a run, and then neither the run nor an end of it; it is idle from there on.
// Cause: what a worker does not list is looked for only when a report of it comes, and the agent
// of an idle worker has nothing to report. Proof: on the recorded day the same five steps waited
// for remains of a former start at each look, and workers that the owner took for full were idle.
#[test]
fn a_run_that_an_idle_worker_does_not_list_is_stopped_and_starts_again() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    bed.step();
    bed.status(0, &[run(task("a", 0, 0), 1)], &[]);
    bed.pass(100);
    bed.status(0, &[], &[]);
    bed.told();
    bed.live(20_000, 1);
    let stopped = bed.told();
    bed.status(0, &[], &[]);
    bed.notice(0, Notice::Stopped { task: task("a", 0, 0), run: 1 });
    bed.step();
    assert_snapshot!(format!("{stopped}\n-- stopped\n{}", bed.told()), @r"
    w0 stop a.0.0.0 run 1
    -- stopped
    w0 start a.0.0.0 run 2
    ");
}
