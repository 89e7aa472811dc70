//! Workers at which tasks fail, stand still or disturb one another.

use insta::assert_snapshot;
use quincewheel_policy::{Quarantine, is_stalled, limit_avoided, max_quarantined, next_pace};

// Pattern: a worker fails all that it starts within a tenth of a second and reports itself
// well, while one job of another team fails everywhere. Grounds: three failures in a row of
// two jobs; such a state lasts some seconds.
#[test]
fn a_worker_is_closed_for_failures_of_several_jobs_only() {
    let mut told = Vec::new();
    let mut blame = Quarantine::default();
    told.push(format!("one job: {:?}", ["a", "a", "a", "a"].map(|job| blame.record_failure(job))));
    told.push(format!(
        "another: {}, closed for {} ms",
        blame.record_failure("b"),
        blame.begin(1000)
    ));
    for _ in 0..4 {
        let due = ["a", "b", "b"].map(|job| blame.record_failure(job));
        told.push(format!("again: {due:?}, for {} ms until {}", blame.begin(9000), blame.until));
    }
    blame.reset();
    told.push(format!("after a success: {}", blame.until));
    assert_snapshot!(told.join("\n"));
}

// Pattern: most workers of a pool fail what they start. Grounds: then the cause is elsewhere,
// and a step that avoided them all would start nowhere.
#[test]
fn no_more_than_a_quarter_is_left_alone() {
    let avoided = [2, 3].map(|count| limit_avoided((0..count).collect(), 11).len());
    assert_snapshot!(format!("{:?} {avoided:?}", [1, 3, 11, 57].map(max_quarantined)));
}

// Pattern: a task that serves comes close to its target beside tasks that fill.
#[test]
fn tasks_that_fill_slow_down_at_once_and_speed_up_by_steps() {
    let shares: Vec<u32> = [40, 70, 85, 85, 110, 60, 50, 50]
        .iter()
        .scan(100, |percent, load| {
            *percent = next_pace(*percent, *load);
            Some(*percent)
        })
        .collect();
    assert_snapshot!(format!("{shares:?}"));
}

// Pattern: tasks on a worker stand still while it reports itself well.
#[test]
fn a_run_stands_still_after_a_quarter_of_its_estimate() {
    let told = [(0, 60_000), (4000, 2499), (4000, 2500), (40_000, 9999), (40_000, 10_000)]
        .map(|(estimate, still)| is_stalled(estimate, still));
    assert_snapshot!(format!("{told:?}"));
}
