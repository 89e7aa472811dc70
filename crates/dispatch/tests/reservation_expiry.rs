//! Capacity that is reserved for a step and never freed.

mod harness;

use harness::{Harness, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Config, How, Task, Team};
use quincewheel_wire::Notice;

// An urgent job stood still beside an idle worker. Both workers are full; capacity is being freed
// for it at one, but that worker refuses the stop (or the order is late); a second later the other
// worker is free. The reservation holds the job back for 3 s, and no decision followed its expiry.
#[test]
fn job_starts_elsewhere_once_its_reservation_has_expired() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let team = Team { name: "t".into(), guaranteed: 8, ..Team::default() };
    let teams = [("t".to_owned(), team)].into();
    harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
    for number in 0..2 {
        let name = format!("low{number}");
        harness.owner.add_job(&name, job(1, vec![step(1, 8)]), 150 + number, None);
        harness.report_status(number, &[run(low_task(number), 1)], &[]);
        harness.advance(200);
    }
    harness.take_orders();
    harness.owner.add_job("high", job(0, vec![step(1, 8)]), 200, None);
    harness.tick();
    let made = harness.take_orders();
    harness.advance(1000);
    harness.report_status(0, &[], &[end(1, low_task(0), 1, How::Done)]);
    for _ in 0..20 {
        // The worker that refuses the stop still answers polls.
        harness.advance(500);
        harness.deliver(0, Notice::Ping { stamp: harness.now, silent: 0 });
        harness.report_status(1, &[run(low_task(1), 1)], &[]);
    }
    assert_snapshot!(format!("{made}\n-- w0 is free, 10 s pass\n{}", harness.take_orders()), @r"
    w1 stop low1.0.0.0 run 1
    -- w0 is free, 10 s pass
    w0 start high.0.0.0 run 1
    ");
}

fn low_task(number: u64) -> Task {
    task(&format!("low{number}"), 0, 0)
}
