//! A bound on the time without a round of planning while a step waits.

mod harness;

use harness::{Harness, end, job, step, task};
use quincewheel_dispatch::Settings;
use quincewheel_job::{How, Step};
use quincewheel_wire::Notice;

/// Longest time between two rounds while a step waits.
const ROUND_INTERVAL_MS: u64 = 1000;
/// Time between two ticks.
const TICK_MS: u64 = 100;

// A last attempt went on waiting for a sound worker beside an idle one for as long as before, although
// new settings had made that unnecessary: they caused no round of planning, nor did anything else.
#[test]
fn change_that_causes_no_round_is_noticed_within_a_second() {
    let mut harness = Harness::new(1, 3).with_idle_workers(3);
    harness.owner.update_settings(Settings { doubt: 10_000, ..Settings::default() });
    let whole = Step { label: "r0".into(), ..step(1, 8) };
    harness.owner.add_job("warm", job(1, vec![whole.clone()]), 150, None);
    harness.tick();
    harness.deliver(0, Notice::Started { task: task("warm", 0, 0), run: 1 });
    harness.advance_with_pings(1000, 3);
    harness.report_status(0, &[], &[end(1, task("warm", 0, 0), 1, How::Done)]);
    for (id, version) in [("long", 151), ("j", 200)] {
        harness.owner.add_job(id, job(1, vec![whole.clone()]), version, None);
        harness.tick();
    }
    harness.deliver(0, Notice::Started { task: task("long", 0, 0), run: 1 });
    harness.deliver(1, Notice::Started { task: task("j", 0, 0), run: 1 });
    harness.advance_with_pings(3000, 3);
    harness.take_orders();
    harness.report_status(1, &[], &[end(1, task("j", 0, 0), 1, How::Failed)]);
    harness.advance_with_pings(500, 3);
    assert_eq!(harness.take_orders(), "nothing");
    harness.owner.update_settings(Settings::default());
    harness.advance_with_pings(ROUND_INTERVAL_MS + TICK_MS, 3);
    assert_eq!(harness.take_orders(), "w2 start j.0.0.0 run 2 ");
}
