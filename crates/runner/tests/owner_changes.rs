//! Changes of owner: no task runs twice at the same time, or again after an end that is noted.

mod succession;

use succession::{Course, ENTRIES, NODES, SLOW_READ_MS};

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

/// Lets the worker w0 leave and come back while a read of all rows is in flight at the owner. The
/// read still has the row of w0's agent, and the owner deletes that row before the reply arrives.
/// A task of 12 s waits for a worker then. With `discarded`, the table discards the change that deletes the row before
/// the owner has read it. The owner is killed `ms` after the reply. Returns the violations, and the
/// log.
fn departure_during_a_read(discarded: bool, ms: u64) -> String {
    let mut course = settled(1);
    let owner = course.owners()[0];
    course.troubles[owner].reads_slow_until = course.now + 1000;
    course.discard_unread_history(owner);
    course.run(SLOW_READ_MS / 2 + 100);
    course.troubles[owner].slow_until = course.now + 1000;
    let now = course.now;
    course.nodes[0].drain_worker(10, 10_000, now);
    course.run_until(|course| {
        let write = course.entries[owner].write.as_ref();
        write.is_some_and(|write| !write.batch.departed.is_empty())
    });
    let now = course.now;
    course.nodes[0].start_worker(now);
    course.run_until_logged("agent dismissed w0");
    course.troubles[owner].slow_until = 0;
    course.run_until_logged(&format!("e{owner} has read all rows"));
    course.durations = (300, 300);
    course.submit(owner, NODES as u32, 8);
    course.run_until(|course| course.audit.starts == NODES - 1);
    course.durations = (12_000, 12_000);
    if discarded {
        course.discard_unread_history(owner);
    }
    course.run(ms);
    course.kill_entry(owner, 20_000);
    course.run(15_000);
    course.report()
}

// Guards against two runs of a task at once: an owner that read all rows took back an agent whose
// row it had deleted since the read, and its successor did not know of the runs there.
#[test]
fn agent_whose_row_is_deleted_during_a_read_of_all_rows_gets_no_run() {
    let report = departure_during_a_read(false, 60);
    assert!(report.is_empty(), "{report}");
}

// Guards against two runs of a task at once: an owner that read all rows did not notice that an
// agent's row was gone, and its successor did not know of the runs there.
#[test]
fn agent_whose_row_is_missing_from_all_rows_gets_no_run() {
    let report = departure_during_a_read(true, 1500);
    assert!(report.is_empty(), "{report}");
}

/// Starts a task that runs for `duration` at each of three workers. Then suspends the owner for
/// `pause` ms, and cuts the other entries off from these workers for `cut` ms. Returns the
/// violations, and the log.
fn suspended_owner(seed: u64, duration: u64, pause: u64, cut: u64) -> String {
    let mut course = settled(seed);
    let owner = course.owners()[0];
    course.durations = (duration, duration);
    for _ in 0..NODES / 2 {
        course.submit(owner, 1, 8);
    }
    course.run_until(|course| course.audit.starts == NODES / 2);
    let busy = (0..NODES).filter(|node| course.nodes[*node].worker.is_busy());
    let busy: Vec<usize> = busy.collect();
    course.freeze_entry(owner, pause, false);
    let until = course.now + cut;
    for other in (0..ENTRIES).filter(|other| *other != owner) {
        for node in &busy {
            course.cut(other, &format!("w{node}"), until);
        }
    }
    course.run(20_000);
    course.report()
}

/// Plays [`suspended_owner`] with sixty seeds, which differ in the order in which the owner
/// processes what agents send. Returns the report of the first violation.
fn suspended_owners(duration: u64, pause: u64, cut: u64) -> String {
    let mut reports = (0..60).map(|seed| suspended_owner(seed, duration, pause, cut));
    reports.find(|report| !report.is_empty()).unwrap_or_default()
}

// Guards against two runs of a task at once: an owner that had been suspended counted agents of its
// successor toward its quorum because it had dialled them, and granted leases that the successor
// did not allow for.
#[test]
fn suspended_owner_renews_no_lease_beyond_what_its_successor_allows_for() {
    let report = suspended_owners(12_000, 3700, 9500);
    assert!(report.is_empty(), "{report}");
}

// Guards against a start after an end as done: the same, with a run that ended while the owner was
// suspended, and whose end is noted after the successor started its task elsewhere.
#[test]
fn suspended_owner_keeps_no_end_from_lapsing_beyond_what_its_successor_allows_for() {
    let report = suspended_owners(1000, 3700, 9000);
    assert!(report.is_empty(), "{report}");
}

// Guards against a start after an end as done: an owner that had been suspended counted agents
// toward its quorum by notices that had waited since before they followed its successor.
#[test]
fn suspended_owner_counts_no_agent_by_notices_that_waited() {
    let report = suspended_owners(1000, 3000, 8500);
    assert!(report.is_empty(), "{report}");
}
