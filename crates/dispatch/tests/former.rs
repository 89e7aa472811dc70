//! A former owner that lives, and a new one.

mod bed;

use bed::{Bed, job, run, step, task};
use quincewheel_dispatch::{Output, Owner, Settings};
use quincewheel_wire::{Notice, Order};

/// The shortest lease that a worker makes of a grant: reckoned as if its clock ran 2 % slow.
const LEASE: u64 = 5880;

// Symptom: a task runs twice, for up to a second. Sequence: the owner and one agent are cut
// off from the table and from the other agents. Another entry takes over 1.7 s after the
// owner's last write, and speaks to all other agents at once. The former owner goes on
// granting leases to the agent beside it. Cause: it grants while it speaks to most agents,
// and takes connections that carry nothing for such until 2.5 s after their last word; the
// new owner reckons that it granted nothing once most agents followed the new one.
#[test]
fn what_a_cut_off_owner_grants_has_lapsed_before_its_work_starts_elsewhere() {
    // The last write that the table confirmed, and the cut.
    let (written, cut) = (10_000, 10_400);
    let mut former = Owner::open(Settings::default(), 1, 1, 9_000);
    for number in 0..3 {
        former.linked(&format!("w{number}"), number, 9_000);
        let running = if number == 0 { vec![run(task("old", 0, 0), 1)] } else { Vec::new() };
        former.notice(number, status(number, 9_000, &running), 9_000);
    }
    former.outputs();
    former.confirm(written);
    let mut bed = Bed::open(2, 0);
    let claimed = written + 1700;
    bed.now = claimed;
    bed.owner = Owner::open(Settings::default(), 2, bed::CLAIM, claimed);
    bed.owner.job("old", job(1, vec![step(1, 1)]), 50, None);
    for number in 0..3 {
        bed.owner.agent(&format!("w{number}"), claimed);
    }
    let (mut granted, mut started) = (0, 0);
    for now in (9_100..25_000).step_by(100) {
        for number in 0..3 {
            // Pings each second; the worker that runs something is looked at, too.
            let phase = if number == 0 { 800 } else { 300 };
            if now % 1000 == phase && (number == 0 || now < cut) {
                former.notice(number, Notice::Ping { stamp: now, silent: 0 }, now);
            }
        }
        former.tick(now, now);
        for output in former.outputs() {
            if let Output::Send { link: 0, order: Order::Grant { stamp } } = output {
                granted = stamp;
            }
        }
        if now < claimed {
            continue;
        }
        bed.now = now;
        for number in [1, 2] {
            if now == claimed {
                bed.link(number);
                bed.status(number, &[], &[]);
            }
            if now % 1000 == 300 {
                bed.notice(number, Notice::Ping { stamp: now, silent: 0 });
            }
        }
        bed.step();
        if started == 0 && bed.told().contains("start old") {
            started = now;
        }
    }
    assert!(started > 0);
    assert!(
        started >= granted + LEASE,
        "started elsewhere {} ms after the last write, but granted until {} ms after it",
        started - written,
        granted + LEASE - written
    );
}

fn status(number: u64, stamp: u64, running: &[quincewheel_job::Run]) -> Notice {
    let worker = Some(bed::worker(number));
    Notice::Status { stamp, worker, fenced: true, running: running.to_vec(), ended: Vec::new() }
}
