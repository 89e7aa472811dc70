//! Room that is kept for a step, and is not made.

mod bed;

use bed::{Bed, end, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_job::{Config, How, Task, Team};
use quincewheel_wire::Notice;

// Symptom: an urgent job stands still beside an idle worker. Sequence: both workers are
// full; room is made for it at one, but that worker refuses the stop (or the order is
// late); a second later the other worker is free. Cause: the room that is kept holds the
// job back for 3 s, and nothing looks again when that time is over.
#[test]
fn a_job_goes_elsewhere_once_the_room_kept_for_it_is_void() {
    let mut bed = Bed::open(1, 2).idle(2);
    let team = Team { name: "t".into(), guaranteed: 8 };
    let teams = [("t".to_owned(), team)].into();
    bed.owner.configure(&Config { version: 1, teams, ..Config::default() });
    for number in 0..2 {
        let name = format!("low{number}");
        bed.owner.add_job(&name, job(1, vec![step(1, 8)]), 150 + number, None);
        bed.status(number, &[run(low(number), 1)], &[]);
        bed.pass(200);
    }
    bed.told();
    bed.owner.add_job("high", job(0, vec![step(1, 8)]), 200, None);
    bed.step();
    let made = bed.told();
    bed.pass(1000);
    bed.status(0, &[], &[end(1, low(0), 1, How::Done)]);
    for _ in 0..20 {
        // The worker that refuses the stop answers looks.
        bed.pass(500);
        bed.notice(0, Notice::Ping { stamp: bed.now, silent: 0 });
        bed.status(1, &[run(low(1), 1)], &[]);
    }
    assert_snapshot!(format!("{made}\n-- w0 is free, 10 s pass\n{}", bed.told()), @r"
    w1 stop low1.0.0.0 run 1
    -- w0 is free, 10 s pass
    w0 start high.0.0.0 run 1
    ");
}

fn low(number: u64) -> Task {
    task(&format!("low{number}"), 0, 0)
}
