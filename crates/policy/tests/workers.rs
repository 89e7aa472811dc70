//! Workers on which tasks fail, stall or slow one another down.

use insta::assert_snapshot;
use quincewheel_policy::{Quarantine, is_stalled, limit_avoided, max_quarantined, next_pace};

// A faulty worker fails every task within 100 ms for some seconds while it reports itself
// healthy; a job of another team fails on every worker. Only three failures in a row of two jobs
// quarantine a worker.
#[test]
fn a_worker_is_quarantined_only_for_failures_of_several_jobs() {
    let mut lines = Vec::new();
    let mut quarantine = Quarantine::default();
    lines.push(format!(
        "one job: {:?}",
        ["a", "a", "a", "a"].map(|job| quarantine.record_failure(job))
    ));
    lines.push(format!(
        "another: {}, closed for {} ms",
        quarantine.record_failure("b"),
        quarantine.begin(1000)
    ));
    for _ in 0..4 {
        let results = ["a", "b", "b"].map(|job| quarantine.record_failure(job));
        lines.push(format!(
            "again: {results:?}, for {} ms until {}",
            quarantine.begin(9000),
            quarantine.until
        ));
    }
    quarantine.reset();
    lines.push(format!("after a success: {}", quarantine.until));
    assert_snapshot!(lines.join("\n"));
}

// If most workers of a pool fail their tasks, the workers are not the cause, and a step that
// avoided all of them would never start.
#[test]
fn at_most_a_quarter_of_the_workers_is_quarantined_or_avoided() {
    let avoided = [2, 3].map(|count| limit_avoided((0..count).collect(), 11).len());
    assert_snapshot!(format!("{:?} {avoided:?}", [1, 3, 11, 57].map(max_quarantined)));
}

// A serving task comes close to its target next to tasks that use idle processors.
#[test]
fn the_pace_drops_at_once_and_rises_in_steps() {
    let paces: Vec<u32> = [40, 70, 85, 85, 110, 60, 50, 50]
        .iter()
        .scan(100, |percent, load| {
            *percent = next_pace(*percent, *load);
            Some(*percent)
        })
        .collect();
    assert_snapshot!(format!("{paces:?}"));
}

// Tasks on a worker make no progress while it reports itself healthy.
#[test]
fn a_run_is_stalled_after_a_quarter_of_its_estimate() {
    let stalled = [(0, 60_000), (4000, 2499), (4000, 2500), (40_000, 9999), (40_000, 10_000)]
        .map(|(estimate, still)| is_stalled(estimate, still));
    assert_snapshot!(format!("{stalled:?}"));
}
