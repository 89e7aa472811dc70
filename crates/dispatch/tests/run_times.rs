//! Run times that are learned where clients' estimates say little.

use insta::assert_snapshot;
use quincewheel_dispatch::Times;

fn expected_after(samples: &[(u64, u64)]) -> String {
    let mut times = Times::default();
    for &(estimate, took) in samples {
        times.record("q", estimate, took);
    }
    let expected = [300, 1000, 5000].map(|estimate| times.estimate("q", estimate).to_string());
    expected.join(" ")
}

#[test]
fn estimate_is_used_until_a_few_steps_have_ended() {
    assert_snapshot!(expected_after(&[(1000, 2000), (1000, 2000)]), @"300 1000 5000");
}

#[test]
fn uninformative_estimates_are_replaced_by_the_usual_run_time() {
    let samples = [(200, 2500), (4500, 2400), (300, 2600), (4000, 2500), (1000, 2450)];
    assert_snapshot!(expected_after(&samples), @"2471 2488 2512");
}

#[test]
fn estimates_off_by_a_constant_factor_are_corrected() {
    let samples = [(500, 1000), (1000, 2000), (4000, 8000), (2000, 4000)];
    assert_snapshot!(expected_after(&samples), @"615 2011 9795");
}

#[test]
fn expected_run_times_follow_a_queue_whose_work_changes() {
    let before = [(1000, 1000); 200];
    let after = [(1000, 4000); 100];
    assert_snapshot!(expected_after(&[before.as_slice(), after.as_slice()].concat()), @"1871 3416 7640");
}

// Guards against a row that the table refuses: operators had added and removed thousands of queues, and
// the run times of each were kept.
#[test]
fn run_times_of_queues_that_are_idle_for_longest_are_forgotten() {
    let mut times = Times::default();
    for number in 0..3000 {
        times.record("kept", 1000, 2000);
        times.record(&format!("queue \"{number}\""), 1000, 3000 + number);
    }
    let row = serde_json::to_string(&times).unwrap();
    let known = |queue: &str| row.contains(&format!("{queue}\":{{"));
    let kept = ["kept", r#"2999\""#, r#"2950\""#, r#"100\""#].map(known);
    assert_snapshot!(format!("fits {}, kept {kept:?}", row.len() <= 65_536), @"fits true, kept [true, true, true, false]");
}
