//! Which agents a later owner must wait for.

mod bed;

use bed::{Bed, job, step};
use insta::assert_snapshot;
use quincewheel_wire::Notice;

/// Passes `ms` while the agents of these numbers go on pinging.
fn pass(bed: &mut Bed, ms: u64, there: &[u64]) {
    for _ in 0..ms / 500 {
        bed.pass(500);
        for &number in there {
            bed.notice(number, Notice::Ping { stamp: bed.now, silent: 0 });
        }
    }
}

fn gone(bed: &mut Bed) -> String {
    let batch = bed.record();
    bed.told();
    format!("{:?}", batch.gone)
}

// Symptom: after each change of owner older jobs stand still for 6 s. Sequence: a
// machine is taken away for good; later the owner is replaced. Cause: the row of the
// machine's agent stayed, and the new owner waited for it until its leases had lapsed.
#[test]
fn an_agent_that_is_gone_is_no_member_once_its_leases_have_lapsed() {
    let mut bed = Bed::open(1, 2).idle(2);
    bed.owner.unlinked(1);
    pass(&mut bed, 8500, &[0]);
    let before = gone(&mut bed);
    pass(&mut bed, 500, &[0]);
    assert_snapshot!(format!("{before} {} {}", gone(&mut bed), gone(&mut bed)), @r#"
    [] ["w1"] []
    "#);
}

#[test]
fn an_agent_that_comes_back_in_time_stays_a_member() {
    let mut bed = Bed::open(1, 2).idle(2);
    bed.owner.unlinked(1);
    pass(&mut bed, 5000, &[0]);
    bed.link(1);
    bed.status(1, &[], &[]);
    pass(&mut bed, 5000, &[0, 1]);
    assert_snapshot!(gone(&mut bed), @"[]");
}

// A worker that left takes its agent's membership with it: the agent stays, and
// announces itself again when another worker reports.
#[test]
fn an_agent_without_a_worker_is_no_member_and_its_connection_is_closed() {
    let mut bed = Bed::open(1, 2).idle(2);
    let (running, ended) = (Vec::new(), Vec::new());
    let none = Notice::Status { stamp: 0, worker: None, fenced: false, running, ended };
    bed.notice(1, none);
    pass(&mut bed, 9000, &[0, 1]);
    let batch = bed.record();
    assert_snapshot!(format!("{:?}\n{}", batch.gone, bed.told()), @r#"
    ["w1"]
    close 1
    "#);
}

// Symptom: after each change of owner older jobs stand still for 6 s. Sequence: a worker is
// lost for good; its agent lives on, and asks for leases; later the owner is replaced. Cause:
// the agent stayed a member as long as it was connected and had ever known a worker.
#[test]
fn an_agent_whose_worker_answers_no_more_is_no_member_once_its_lease_has_lapsed() {
    let mut bed = Bed::open(1, 2).idle(2);
    for silent in 1..17 {
        bed.pass(500);
        bed.notice(0, Notice::Ping { stamp: bed.now, silent: 0 });
        bed.notice(1, Notice::Ping { stamp: bed.now, silent: silent * 500 });
    }
    let before = gone(&mut bed);
    bed.pass(500);
    bed.notice(1, Notice::Ping { stamp: bed.now, silent: 8500 });
    assert_snapshot!(format!("{before} {}", gone(&mut bed)), @r#"[] ["w1"]"#);
}

// Symptom: a task runs twice. Sequence: the owner loses the table, not its agents;
// another entry takes over and reaches few agents; the former owner, which does not
// know, goes on granting leases to the others. Cause: the new owner reckoned their
// leases from its own claim.
#[test]
fn a_new_owner_that_reaches_few_agents_waits_until_the_former_one_grants_no_more() {
    let mut bed = Bed::open(2, 3);
    bed.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    bed.link(0);
    bed.status(0, &[], &[]);
    pass(&mut bed, 14_000, &[0]);
    let before = bed.told();
    pass(&mut bed, 500, &[0]);
    assert_snapshot!(format!("{before}\n-- 14,500 ms\n{}", bed.told()), @r"
    nothing
    -- 14,500 ms
    w0 start old.0.0.0 run 1001
    ");
}

// Symptom: a task runs twice. Sequence: a worker of the former owner's time carries out
// every renewal of its lease but answers nothing. Cause: its lease was reckoned from the
// claim, though its agent went on renewing it.
#[test]
fn a_worker_that_answers_nothing_is_waited_for_until_its_silence_is_a_lease_long() {
    let mut bed = Bed::open(2, 2);
    bed.owner.add_job("old", job(1, vec![step(1, 1)]), 50, None);
    bed.link(0);
    bed.status(0, &[], &[]);
    bed.link(1);
    // The agent has just started, and has not looked at its worker yet.
    let (running, ended) = (Vec::new(), Vec::new());
    let worker = Some(bed::worker(1));
    let unfenced = Notice::Status { stamp: 0, worker, fenced: false, running, ended };
    bed.notice(1, unfenced);
    for silent in [2000, 4000, 6000] {
        bed.pass(2000);
        bed.notice(0, Notice::Ping { stamp: bed.now, silent: 0 });
        bed.notice(1, Notice::Ping { stamp: bed.now, silent });
    }
    bed.pass(300);
    let before = bed.told();
    bed.notice(1, Notice::Ping { stamp: bed.now, silent: 6300 });
    bed.pass(100);
    assert_snapshot!(format!("{before}\n-- silent for a lease\n{}", bed.told()), @r"
    nothing
    -- silent for a lease
    w0 start old.0.0.0 run 1001
    ");
}

// Symptom: after all machines lost power, jobs stand still for 6 s. Sequence: a worker
// leaves; seconds later all lose power; the new owner waits for that worker's agent.
// Cause: an agent stayed a member for the length of a lease, though its worker had said
// that it ends.
#[test]
fn an_agent_whose_worker_has_left_is_no_member_at_once() {
    let mut bed = Bed::open(1, 2).idle(2);
    bed.step();
    bed.notice(1, Notice::Left { worker: "i1".into() });
    assert_snapshot!(gone(&mut bed), @r#"
    ["w1"]
    "#);
}
