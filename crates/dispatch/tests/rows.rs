//! Where rows lie in the table.

use std::collections::BTreeMap;

use insta::assert_snapshot;
use quincewheel_dispatch::rows;

/// Milliseconds that a slow table takes for a transaction, and jobs a second of a
/// deployment of 160 workers.
const SLOW: u64 = 180;
const JOBS: u64 = 7;
/// The table refuses what waits for longer than this, in milliseconds.
const LONGEST: u64 = 1000;

/// Names as clients draw them: 16 hexadecimal digits.
fn names(count: u64) -> impl Iterator<Item = String> {
    (1..=count).map(|number| format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}

#[test]
fn all_rows_of_clients_for_one_job_lie_in_one_part() {
    let together = names(100).all(|id| {
        rows::part_of(&rows::job_key(&id)) == rows::part_of(&rows::cancellation_key(&id))
    });
    let main = [
        rows::progress_key("a"),
        rows::checkpoints_key("a"),
        rows::node_key("n"),
        rows::OWNER_KEY.to_owned(),
    ];
    let main: Vec<&str> = main.iter().map(|key| rows::part_of(key)).collect();
    let parts: Vec<&str> = rows::parts().collect();
    assert_snapshot!(format!("{together} {main:?}\n{parts:?}"), @r#"
    true ["", "", "", ""]
    ["0", "1", "2", "3", "4", "5", "6", "7", ""]
    "#);
}

#[test]
fn jobs_are_spread_evenly() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    names(4000).for_each(|id| *counts.entry(rows::part_of(&rows::job_key(&id))).or_default() += 1);
    let (least, most) = (counts.values().min(), counts.values().max());
    assert!(least >= Some(&420) && most <= Some(&580), "{counts:?}");
}

// Symptom: while the table is slow, clients wait for 1 to 3 s until their jobs are accepted,
// or are refused, at 160 workers and not at 11. Sequence: each transaction takes 180 ms; the
// owner writes one after the other; 7 jobs a second come. Cause: all rows were in one part,
// which takes one transaction after the other, 5 a second, and refuses what would wait long.
#[test]
fn a_slow_table_takes_in_the_jobs_of_hundreds_of_workers() {
    let waits = |spread: bool| {
        let mut free: BTreeMap<&str, u64> = BTreeMap::new();
        let mut writes: Vec<(u64, &str)> = (0..4000).step_by(180).map(|at| (at, "")).collect();
        writes.extend((0..).zip(names(4 * JOBS)).map(|(number, id)| {
            let part = if spread { rows::part_of(&rows::job_key(&id)) } else { "" };
            (number * 1000 / JOBS, part)
        }));
        writes.sort_unstable();
        let mut refused = 0;
        for (at, part) in writes {
            let free = free.entry(part).or_default();
            let begin = at.max(*free);
            match begin - at > LONGEST {
                true => refused += 1,
                false => *free = begin + SLOW,
            }
        }
        refused
    };
    let (one, spread): (u64, u64) = (waits(false), waits(true));
    assert_snapshot!(format!("refused: {one} in one part, {spread} spread"), @"refused: 23 in one part, 0 spread");
}
