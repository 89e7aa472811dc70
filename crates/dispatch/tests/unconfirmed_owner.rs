//! An owner that the table has not confirmed takes runs at agents without a connection for over. A
//! later owner may have learned of their ends, or have renewed their leases.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_dispatch::Settings;
use quincewheel_job::Machine;

/// An owner without a connection to an agent, at whose worker a run goes on.
fn with_a_run_at_a_lost_agent() -> Harness {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.update_settings(Settings { lists_machines: true, ..Settings::default() });
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.owner.on_disconnected(0);
    harness.advance(100);
    harness.take_orders();
    harness
}

// Guards against a second start of a task whose end a later owner may have recorded: the worker is
// gone by the platform's list, and the table has not confirmed the ownership since.
#[test]
fn a_run_that_is_gone_by_the_list_starts_again_once_the_ownership_is_confirmed() {
    let mut harness = with_a_run_at_a_lost_agent();
    harness.now += 300;
    let machine = Machine { name: "m1".into(), worker: "i1".into(), ..Machine::default() };
    harness.owner.on_machines(vec![machine], true, 1, (harness.now, harness.now));
    harness.owner.tick(harness.now, harness.now);
    harness.collect_outputs();
    let (before, waits) = (harness.take_orders(), harness.owner.needs_confirmation());
    harness.tick();
    let after = harness.take_orders();
    assert_snapshot!(format!("{before}\n-- confirmed\n{after}"), @r"
    nothing
    -- confirmed
    w1 start a.0.0.0 run 2
    ");
    assert!(waits && !harness.owner.needs_confirmation());
}
