//! Evacuations of availability zones: what the owner decides, and what it reports.

mod harness;

use harness::{Harness, job, run, step, task, worker};
use insta::assert_snapshot;
use quincewheel_dispatch::{Owner, Settings};
use quincewheel_job::{Config, Evacuation, Job, Step, Team, Worker};
use quincewheel_wire::Notice;

const EVENTS: [&str; 5] =
    ["zone evacuated", "zone empty", "evacuation over", "operators not heard", "operators heard"];

/// Returns an evacuation of these zones.
fn evacuation_of(names: &[&str]) -> Evacuation {
    let mut zones = Evacuation::default();
    names.iter().for_each(|name| zones.add(name));
    zones
}

/// Creates an owner with idle workers; the first two are in zone `a`, the others in `b`.
fn two_zones(workers: u64) -> Harness {
    let mut harness = Harness::new(1, workers);
    harness.logged_events = EVENTS.to_vec();
    for number in 0..workers {
        harness.connect(number);
        report_in_zone(&mut harness, number, &[]);
    }
    harness.take_orders();
    harness.take_logs();
    harness
}

/// Sends a status of a worker with these runs.
fn report_in_zone(harness: &mut Harness, number: u64, running: &[quincewheel_job::Run]) {
    let zone = if number < 2 { "a" } else { "b" }.to_owned();
    let worker = Some(Worker { zone, ..worker(number) });
    let (stamp, running, ended) = (harness.now, running.to_vec(), Vec::new());
    harness.deliver(
        number,
        Notice::Status {
            listed_at: None,
            stamp,
            worker,
            fenced: true,
            running,
            ended,
            truncated: false,
        },
    );
}

// Operators switched off a zone in which work was going on: an owner that had just taken over
// reported the zone empty before it had received what runs there.
#[test]
fn zone_is_reported_empty_once_and_only_when_all_runs_in_it_are_known() {
    let mut harness = Harness::new(2, 2);
    harness.logged_events = EVENTS.to_vec();
    harness.owner.add_job("old", job(0, vec![step(1, 8)]), 50, None);
    harness.owner.set_evacuation(&evacuation_of(&["a"]), harness.now);
    harness.advance(300);
    let before_reports =
        format!("{}\n{:?}", harness.take_logs(), harness.owner.evacuation_counts());
    for number in 0..2 {
        harness.connect(number);
        report_in_zone(&mut harness, number, &[run(task("old", 0, 0), 1)][number as usize..]);
    }
    harness.advance(300);
    let busy = harness.take_logs();
    harness.owner.cancel("old", harness.now);
    harness.deliver(0, Notice::Stopped { task: task("old", 0, 0), run: 1 });
    report_in_zone(&mut harness, 0, &[]);
    harness.deliver(0, Notice::Stopped { task: task("old", 0, 0), run: 1 });
    harness.advance_with_pings(1000, 2);
    let empty = format!("{}\n{:?}", harness.take_logs(), harness.owner.evacuation_counts());
    assert_snapshot!(format!("{before_reports}\n--\n{busy}\n--\n{empty}"), @r#"
    zone evacuated a: 0 workers take nothing new, 0 runs go on, as far as is known yet
    (1, 1)
    --
    nothing
    --
    zone empty a: nothing runs there
    (1, 0)
    "#);
}

// A gang that needs one rack waited beside a rack with capacity. Load: half of a pool of two zones
// is evacuated while gangs come; the racks of the other zone count as if there were no others.
#[test]
fn gangs_start_in_the_racks_of_the_remaining_zones() {
    let mut harness = two_zones(6);
    harness.owner.set_evacuation(&evacuation_of(&["a"]), harness.now);
    harness.tick();
    harness.take_orders();
    let gang = Step { gang: true, same_rack: true, ..step(3, 8) };
    harness.owner.add_job("gang", Job { accepted: harness.now, ..job(0, vec![gang]) }, 150, None);
    harness.tick();
    assert_snapshot!(harness.take_orders(), @r#"
    w3 start gang.0.0.0 run 1 
    w4 start gang.0.0.1 run 1 
    w5 start gang.0.0.2 run 1
    "#);
}

// A team's guaranteed job waited while others borrowed its capacity in the remaining zones.
#[test]
fn capacity_for_a_guarantee_is_freed_in_the_remaining_zones() {
    let mut harness = two_zones(3);
    let team = Team { name: "t".into(), guaranteed: 8, ..Team::default() };
    let teams = [("t".to_owned(), team)].into();
    harness.owner.configure(&Config { version: 1, teams, ..Config::default() });
    harness.owner.set_evacuation(&evacuation_of(&["a"]), harness.now);
    harness.owner.add_job("other", Job { team: "o".into(), ..job(1, vec![step(1, 8)]) }, 150, None);
    harness.tick();
    report_in_zone(&mut harness, 2, &[run(task("other", 0, 0), 1)]);
    harness.take_orders();
    harness.owner.add_job(
        "owed",
        Job { accepted: harness.now, ..job(0, vec![step(1, 8)]) },
        160,
        None,
    );
    harness.tick();
    assert_snapshot!(harness.take_orders(), @r#"
    w2 stop other.0.0.0 run 1
    "#);
}

// Work started in a zone after its evacuation, by an order that a broken connection had held up: a
// gang's starts are ordered, the connection of one member breaks, and the zone is evacuated.
#[test]
fn unconfirmed_start_in_an_evacuated_zone_is_stopped_instead_of_sent_again() {
    let mut harness = two_zones(3);
    let gang = Step { gang: true, ..step(3, 8) };
    harness.owner.add_job("gang", job(0, vec![gang]), 150, None);
    harness.tick();
    harness.owner.on_disconnected(0);
    harness.owner.set_evacuation(&evacuation_of(&["a"]), harness.now);
    harness.tick();
    harness.take_orders();
    harness.connect(0);
    report_in_zone(&mut harness, 0, &[]);
    assert_snapshot!(harness.take_orders(), @r#"
    w0 evacuate ["a"]
    w0 stop gang.0.0.0 run 1
    w1 stop gang.0.0.1 run 1
    w2 stop gang.0.0.2 run 1
    "#);
}

// Work started in a zone seconds after its evacuation: the table answers operators, but neither the
// owner nor the other entries. An owner cannot follow an evacuation that it has not read.
#[test]
fn owner_that_has_not_read_the_evacuations_for_long_starts_nothing() {
    let mut harness = two_zones(2);
    let settings = Settings { evacuation_deadline: Some(5000), ..Settings::default() };
    harness.owner.update_settings(settings);
    harness.owner.set_evacuation(&evacuation_of(&[]), harness.now);
    harness.advance_with_pings(3600, 2);
    harness.owner.add_job("before", job(0, vec![step(1, 1)]), 150, None);
    harness.tick();
    let before = harness.take_orders();
    harness.advance_with_pings(200, 2);
    harness.owner.add_job("after", job(0, vec![step(1, 1)]), 160, None);
    harness.advance_with_pings(2000, 2);
    let not_read = harness.take_orders();
    harness.owner.set_evacuation(&evacuation_of(&["a"]), harness.now);
    harness.tick();
    let evacuated = harness.take_orders();
    harness.owner.set_evacuation(&evacuation_of(&[]), harness.now);
    harness.tick();
    let orders =
        format!("{before}\n--\n{not_read}\n--\n{evacuated}\n--\n{}", harness.take_orders());
    assert_snapshot!(format!("{orders}\n--\n{}", harness.take_logs()), @r#"
    w0 start before.0.0.0 run 1 
    --
    nothing
    --
    w0 evacuate ["a"]
    w1 evacuate ["a"]
    --
    w0 evacuate []
    w1 evacuate []
    w0 start after.0.0.0 run 1 
    --
    operators not heard : for 3900 ms
    zone evacuated a: 2 workers take nothing new, 1 runs go on
    operators heard : again
    evacuation over a: its workers take work again
    "#);
}

// Nothing started on a deployment whose settings have no bound for evacuations.
#[test]
fn owner_without_a_bound_for_evacuations_starts_jobs() {
    let mut harness = two_zones(2);
    harness.advance_with_pings(20_000, 2);
    harness.take_orders();
    harness.owner.add_job("work", job(0, vec![step(1, 1)]), 150, None);
    harness.tick();
    assert_snapshot!(harness.take_orders(), @r#"
    w0 start work.0.0.0 run 1
    "#);
}

// An agent went on refusing work after the evacuation had ended. It was not connected when that was
// sent; it connects again under the same owner, which must then send that no zone is evacuated.
#[test]
fn agent_that_missed_the_end_of_an_evacuation_is_notified_on_reconnect() {
    let mut harness = two_zones(2);
    harness.owner.set_evacuation(&evacuation_of(&["a"]), harness.now);
    harness.owner.on_disconnected(0);
    harness.owner.set_evacuation(&evacuation_of(&[]), harness.now);
    harness.collect_outputs();
    harness.take_orders();
    harness.connect(0);
    harness.collect_outputs();
    assert_snapshot!(harness.take_orders(), @r#"
    w0 evacuate []
    "#);
}

#[test]
fn owner_without_evacuations_sends_agents_none() {
    let mut owner = Owner::new(Settings::default(), 1, 1, 0);
    owner.set_evacuation(&evacuation_of(&[]), 5);
    owner.on_connected("w0", 0, 10);
    assert_eq!(owner.take_outputs().len(), 1);
}
