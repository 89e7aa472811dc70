//! Changes of owner: no task runs twice at the same time, or again after an end that is noted.

mod succession;

use succession::{Course, ENTRIES, NODES};

/// A deployment with an owner that has settled, and no jobs.
fn settled(seed: u64) -> Course {
    let mut course = Course::new(seed);
    course.run(10_000);
    assert_eq!(course.owners().len(), 1, "{}", course.lines.join("\n"));
    course
}

/// Starts six tasks that run for `duration`, two at each of three workers. Then cuts the owner off
/// from the table, the other entries and two of these workers, and the other entries from all other
/// workers. Returns the violations by `ms` later, and the log.
fn split(duration: u64, ms: u64) -> String {
    let mut course = settled(1);
    let owner = course.owners()[0];
    course.durations = (duration, duration);
    for _ in 0..6 {
        course.submit(owner, 1, 4);
    }
    course.run(1000);
    assert_eq!(course.audit.starts, 6);
    let busy = (0..NODES).filter(|node| course.nodes[*node].worker.is_busy());
    let moved: Vec<usize> = busy.take(2).collect();
    let until = course.now + ms;
    course.troubles[owner].cut_until = until;
    for other in (0..ENTRIES).filter(|other| *other != owner) {
        course.cut(owner, &format!("e{other}"), until);
        for node in (0..NODES).filter(|node| !moved.contains(node)) {
            course.cut(other, &format!("w{node}"), until);
        }
    }
    for node in moved {
        course.cut(owner, &format!("w{node}"), until);
    }
    course.run(ms + 10_000);
    course.report()
}

// Guards against two runs of a task at once: an owner that is cut off from the table dropped a run
// as lapsed and started its task elsewhere, while its successor had renewed the worker's lease.
#[test]
fn owner_cut_off_from_the_table_restarts_no_run_whose_lease_its_successor_renews() {
    let report = split(12_000, 9000);
    assert!(report.is_empty(), "{report}");
}

// Guards against a start after an end as done: an owner that is cut off from the table dropped a
// run as lapsed and started its task elsewhere, after its successor had recorded the run's end.
#[test]
fn owner_cut_off_from_the_table_restarts_no_task_whose_end_its_successor_has_recorded() {
    let report = split(4000, 13_000);
    assert!(report.is_empty(), "{report}");
}
