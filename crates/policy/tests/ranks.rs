//! The order of steps, and when a job counts as late.

use insta::assert_snapshot;
use quincewheel_policy::{Lateness, Objective, Rank};

fn rank(version: u64, priority: u32, borrowed: bool, objective: &Objective, wall: u64) -> Rank {
    Rank {
        borrowed,
        priority,
        level: 0,
        lateness: objective.lateness(wall),
        latest_start: objective.latest_start(),
        version,
    }
}

/// The objective of a job that takes `ms` milliseconds, accepted at `begin` and not yet started.
fn objective(begin: u64, ms: u64, stretch: f64, slack: u64) -> Objective {
    Objective::new(begin, (ms, ms), stretch, slack)
}

// Short urgent jobs, due within 1.5 times their work plus 250 ms, compete with long ones that
// have three times theirs, as in the queues of clients.
#[test]
fn steps_are_ordered_by_guarantee_priority_lateness_and_latest_start() {
    let (urgent, long) = (objective(1000, 2500, 1.5, 250), objective(0, 11_000, 3.0, 1000));
    let older = objective(0, 11_000, 3.0, 500);
    let late = objective(0, 500, 1.5, 250);
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

// Jobs become late in a full pool. One that ends after three times its objective is worth
// nothing, one that ends before that is worth about a quarter.
#[test]
fn a_job_counts_as_late_only_by_a_good_part_of_its_remaining_work() {
    let objective = objective(0, 1000, 1.5, 250);
    let lines: Vec<String> = [0, 750, 1050, 1051, 4550, 4551]
        .iter()
        .map(|wall| format!("{wall}: {:?}", objective.lateness(*wall)))
        .collect();
    assert_snapshot!(lines.join("\n"));
    assert_eq!(Objective::perpetual(5).lateness(1_000_000), Lateness::InTime);
}
