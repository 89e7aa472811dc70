//! Workers on which tasks fail, stall or slow one another down.

use insta::assert_snapshot;
use quincewheel_policy::{is_stalled, limit_avoided, next_pace};

// If most workers of a pool fail their tasks, the workers are not the cause, and a step that
// avoided all of them would never start.
#[test]
fn at_most_a_quarter_of_the_workers_is_avoided() {
    let avoided = [(1, 1), (2, 1), (1, 3), (2, 3), (2, 11), (3, 11), (14, 57), (15, 57)]
        .map(|(count, all)| limit_avoided((0..count).collect(), all).len());
    assert_snapshot!(format!("{avoided:?}"), @"[1, 0, 1, 0, 2, 0, 14, 0]");
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
