//! Where rows are stored in the table.

use std::collections::BTreeMap;

use insta::assert_snapshot;
use quincewheel_dispatch::rows;

/// Time that a slow table takes for a transaction.
const TRANSACTION_MS: u64 = 180;
/// Jobs per second in a deployment of 160 workers.
const JOBS_PER_S: u64 = 7;
/// The table refuses a transaction that has waited for longer than this.
const MAX_WAIT_MS: u64 = 1000;

/// Returns job ids as clients choose them: 16 hexadecimal digits.
fn job_ids(count: u64) -> impl Iterator<Item = String> {
    (1..=count).map(|number| format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}

#[test]
fn rows_that_clients_write_for_one_job_are_in_one_part() {
    let same_part = job_ids(100).all(|id| {
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
    assert_snapshot!(format!("{same_part} {main:?}\n{parts:?}"), @r#"
    true ["", "", "", ""]
    ["0", "1", "2", "3", "4", "5", "6", "7", ""]
    "#);
}

#[test]
fn jobs_are_spread_evenly_over_the_parts() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    job_ids(4000)
        .for_each(|id| *counts.entry(rows::part_of(&rows::job_key(&id))).or_default() += 1);
    let (least, most) = (counts.values().min(), counts.values().max());
    assert!(least >= Some(&420) && most <= Some(&580), "{counts:?}");
}

// While the table was slow, clients waited 1 to 3 s until their jobs were accepted, or were
// refused, at 160 workers and not at 11. Each transaction takes 180 ms, the owner writes one after
// the other, and 7 jobs come a second. All rows were in one part, which executes one transaction
// after the other, 5 a second, and refuses those that would wait for long.
#[test]
fn slow_table_accepts_the_jobs_of_hundreds_of_workers() {
    let refusals = |spread: bool| {
        let mut free_at: BTreeMap<&str, u64> = BTreeMap::new();
        let mut writes: Vec<(u64, &str)> = (0..4000).step_by(180).map(|at| (at, "")).collect();
        writes.extend((0..).zip(job_ids(4 * JOBS_PER_S)).map(|(number, id)| {
            let part = if spread { rows::part_of(&rows::job_key(&id)) } else { "" };
            (number * 1000 / JOBS_PER_S, part)
        }));
        writes.sort_unstable();
        let mut refused = 0;
        for (at, part) in writes {
            let free_at = free_at.entry(part).or_default();
            let begin = at.max(*free_at);
            match begin - at > MAX_WAIT_MS {
                true => refused += 1,
                false => *free_at = begin + TRANSACTION_MS,
            }
        }
        refused
    };
    let (one, spread): (u64, u64) = (refusals(false), refusals(true));
    assert_snapshot!(format!("refused: {one} in one part, {spread} spread"), @"refused: 23 in one part, 0 spread");
}
