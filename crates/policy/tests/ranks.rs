//! Urgent work among work that can wait.

use insta::assert_snapshot;
use quincewheel_policy::{Lateness, Objective, Rank};

fn rank(version: u64, priority: u32, borrowed: bool, goal: &Objective, wall: u64) -> Rank {
    Rank {
        borrowed,
        priority,
        lateness: goal.lateness(wall),
        latest_start: goal.latest_start(),
        version,
    }
}

/// A job of this run time, accepted at `begin`, of which all is left.
fn goal(begin: u64, ms: u64, stretch: f64, slack: u64) -> Objective {
    Objective::new(begin, (ms, ms), stretch, slack)
}

// Pattern: short urgent jobs that should end within one and a half times their work and
// 250 ms come among long ones that have three times theirs. Grounds: the objectives of the
// users' queues.
#[test]
fn guaranteed_comes_before_urgent_before_what_has_less_time() {
    let (urgent, long) = (goal(1000, 2500, 1.5, 250), goal(0, 11_000, 3.0, 1000));
    let older = goal(0, 11_000, 3.0, 500);
    let late = goal(0, 500, 1.5, 250);
    let mut ranks = [
        ("batch", rank(1, 1, true, &long, 1500)),
        ("batch with less time", rank(4, 1, true, &older, 1500)),
        ("urgent, borrowed", rank(2, 0, true, &urgent, 1500)),
        ("urgent, borrowed, late", rank(0, 0, true, &late, 1500)),
        ("urgent, guaranteed", rank(3, 0, false, &urgent, 1500)),
        ("urgent, guaranteed, late", rank(5, 0, false, &late, 1500)),
    ];
    ranks.sort_by_key(|(_, rank)| *rank);
    let lines = ranks.map(|(name, rank)| {
        let until = rank.yields_workers_until().map_or("-".to_owned(), |until| until.to_string());
        let takes = if rank.may_preempt() { "takes room" } else { "takes none" };
        format!("{name}: {:?}, {takes}, leaves whole workers until {until}", rank.lateness)
    });
    assert_snapshot!(lines.join("\n"));
}

// Pattern: a full pool in which jobs become late. Grounds: one that ends after three times
// its objective earns nothing, one between earns a fourth or so.
#[test]
fn a_job_is_given_up_only_when_it_is_late_by_a_good_part_of_what_is_left() {
    let goal = goal(0, 1000, 1.5, 250);
    let told: Vec<String> = [0, 750, 1050, 1051, 4550, 4551]
        .iter()
        .map(|wall| format!("{wall}: {:?}", goal.lateness(*wall)))
        .collect();
    assert_snapshot!(told.join("\n"));
    assert_eq!(Objective::perpetual(5).lateness(1_000_000), Lateness::InTime);
}
