//! Random, seeded schedules of all faults under load; the checker verifies the
//! invariants.

use crate::harness::Chaos;

/// Seeds that CI runs. To run others: QUINCEWHEEL_SEEDS=1000..2000 cargo test
/// chaos.
const SEEDS: std::ops::Range<u64> = 0..60;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("QUINCEWHEEL_SEEDS") else { return SEEDS };
    let (first, end) = text.split_once("..").expect("as in 0..60");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// No invariant breaks under overlapping kills, freezes, partitions, table
/// faults and disordered frames. The seed in the message repeats the run.
#[actix_rt::test]
async fn no_schedule_breaks_an_invariant() {
    for seed in seeds() {
        let mut chaos = Chaos::ready(seed).await;
        chaos.run(25).await;
        chaos.cluster.check_invariants(&format!("seed {seed}"));
        assert_eq!(chaos.unanswered(), 0, "seed {seed}: calls without an answer");
    }
}
