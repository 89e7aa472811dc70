//! Availability zones that operators evacuate: what the owner decides, and what it tells.

mod bed;

use bed::{Bed, job, run, step, task, worker};
use insta::assert_snapshot;
use quincewheel_dispatch::{Owner, Settings};
use quincewheel_job::{Config, Evacuation, Job, Step, Team, Worker};
use quincewheel_wire::Notice;

const EVENTS: [&str; 5] =
    ["zone evacuated", "zone empty", "evacuation over", "operators not heard", "operators heard"];

fn zones(names: &[&str]) -> Evacuation {
    let mut zones = Evacuation::default();
    names.iter().for_each(|name| zones.begin(name));
    zones
}

/// Workers, the first two of which are in zone `a`, the others in `b`.
fn open(workers: u64) -> Bed {
    let mut bed = Bed::open(1, workers);
    bed.events = EVENTS.to_vec();
    for number in 0..workers {
        bed.link(number);
        report(&mut bed, number, &[]);
    }
    bed.told();
    bed.logged();
    bed
}

fn report(bed: &mut Bed, number: u64, running: &[quincewheel_job::Run]) {
    let zone = if number < 2 { "a" } else { "b" }.to_owned();
    let worker = Some(Worker { zone, ..worker(number) });
    let (stamp, running, ended) = (bed.now, running.to_vec(), Vec::new());
    bed.notice(number, Notice::Status { stamp, worker, fenced: true, running, ended });
}

// Symptom: operators switch a zone off in which work goes on. Cause: an owner that has just taken over
// said that the zone is empty before it had heard what runs there.
#[test]
fn a_zone_is_told_empty_once_and_only_when_all_that_may_run_there_is_known() {
    let mut bed = Bed::open(2, 2);
    bed.events = EVENTS.to_vec();
    bed.owner.add_job("old", job(0, vec![step(1, 8)]), 50, None);
    bed.owner.evacuate(&zones(&["a"]), bed.now);
    bed.pass(300);
    let unheard = format!("{}\n{:?}", bed.logged(), bed.owner.evacuated());
    for number in 0..2 {
        bed.link(number);
        report(&mut bed, number, &[run(task("old", 0, 0), 1)][number as usize..]);
    }
    bed.pass(300);
    let busy = bed.logged();
    bed.owner.cancel("old", bed.now);
    bed.notice(0, Notice::Stopped { task: task("old", 0, 0), run: 1 });
    report(&mut bed, 0, &[]);
    bed.notice(0, Notice::Stopped { task: task("old", 0, 0), run: 1 });
    bed.live(1000, 2);
    let empty = format!("{}\n{:?}", bed.logged(), bed.owner.evacuated());
    assert_snapshot!(format!("{unheard}\n--\n{busy}\n--\n{empty}"), @r#"
    zone evacuated a: 0 workers take nothing new, 0 runs go on, as far as is known yet
    (1, 1)
    --
    nothing
    --
    zone empty a: nothing runs there
    (1, 0)
    "#);
}

// Symptom: a gang that wants one rack waits beside room for it. Load: half of a pool of two zones is
// evacuated while gangs come; the racks of the other zone count as if there were no others.
#[test]
fn gangs_begin_in_the_racks_of_the_zones_that_are_left() {
    let mut bed = open(6);
    bed.owner.evacuate(&zones(&["a"]), bed.now);
    bed.step();
    bed.told();
    let gang = Step { gang: true, same_rack: true, ..step(3, 8) };
    bed.owner.add_job("gang", Job { accepted: bed.now, ..job(0, vec![gang]) }, 150, None);
    bed.step();
    assert_snapshot!(bed.told(), @r#"
    w3 start gang.0.0.0 run 1 
    w4 start gang.0.0.1 run 1 
    w5 start gang.0.0.2 run 1
    "#);
}

// Symptom: a team's guaranteed job waits while others borrow its room in the zones that are left.
#[test]
fn guaranteed_room_is_made_in_the_zones_that_are_left() {
    let mut bed = open(3);
    let team = Team { name: "t".into(), guaranteed: 8 };
    let teams = [("t".to_owned(), team)].into();
    bed.owner.configure(&Config { version: 1, teams, ..Config::default() });
    bed.owner.evacuate(&zones(&["a"]), bed.now);
    bed.owner.add_job("other", Job { team: "o".into(), ..job(1, vec![step(1, 8)]) }, 150, None);
    bed.step();
    report(&mut bed, 2, &[run(task("other", 0, 0), 1)]);
    bed.told();
    bed.owner.add_job("owed", Job { accepted: bed.now, ..job(0, vec![step(1, 8)]) }, 160, None);
    bed.step();
    assert_snapshot!(bed.told(), @r#"
    w2 stop other.0.0.0 run 1
    "#);
}

// Symptom: after a zone is evacuated, work starts there by an order that a broken connection held up.
// Sequence: a gang's starts are ordered, the connection of one member breaks, the zone is evacuated.
#[test]
fn a_start_that_is_not_confirmed_is_not_ordered_again_in_an_evacuated_zone() {
    let mut bed = open(3);
    let gang = Step { gang: true, ..step(3, 8) };
    bed.owner.add_job("gang", job(0, vec![gang]), 150, None);
    bed.step();
    bed.owner.unlinked(0);
    bed.owner.evacuate(&zones(&["a"]), bed.now);
    bed.step();
    bed.told();
    bed.link(0);
    report(&mut bed, 0, &[]);
    assert_snapshot!(bed.told(), @r#"
    w0 evacuate ["a"]
    w0 stop gang.0.0.0 run 1
    w1 stop gang.0.0.1 run 1
    w2 stop gang.0.0.2 run 1
    "#);
}

// Symptom: work starts in a zone seconds after it was evacuated. Sequence: the table answers operators,
// and neither the owner nor the others. What an owner has not heard of it cannot keep.
#[test]
fn an_owner_that_has_not_heard_of_operators_for_long_starts_nothing() {
    let mut bed = open(2);
    let settings = Settings { evacuation: Some(5000), ..Settings::default() };
    bed.owner.update_settings(settings);
    bed.owner.evacuate(&zones(&[]), bed.now);
    bed.live(3600, 2);
    bed.owner.add_job("before", job(0, vec![step(1, 1)]), 150, None);
    bed.step();
    let before = bed.told();
    bed.live(200, 2);
    bed.owner.add_job("after", job(0, vec![step(1, 1)]), 160, None);
    bed.live(2000, 2);
    let unheard = bed.told();
    bed.owner.evacuate(&zones(&["a"]), bed.now);
    bed.step();
    let evacuated = bed.told();
    bed.owner.evacuate(&zones(&[]), bed.now);
    bed.step();
    let told = format!("{before}\n--\n{unheard}\n--\n{evacuated}\n--\n{}", bed.told());
    assert_snapshot!(format!("{told}\n--\n{}", bed.logged()), @r#"
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

// Symptom: nothing starts on a deployment whose settings name no bound for evacuations.
#[test]
fn an_owner_without_a_bound_for_evacuations_starts_what_it_is_given() {
    let mut bed = open(2);
    bed.live(20_000, 2);
    bed.told();
    bed.owner.add_job("work", job(0, vec![step(1, 1)]), 150, None);
    bed.step();
    assert_snapshot!(bed.told(), @r#"
    w0 start work.0.0.0 run 1
    "#);
}

// Symptom: an agent goes on refusing work after the zone was taken back. Sequence: it was not connected
// when that was told; it is again under the same owner, which then tells it that nothing is evacuated.
#[test]
fn an_agent_that_missed_the_end_of_an_evacuation_is_told_when_it_is_back() {
    let mut bed = open(2);
    bed.owner.evacuate(&zones(&["a"]), bed.now);
    bed.owner.unlinked(0);
    bed.owner.evacuate(&zones(&[]), bed.now);
    bed.drain();
    bed.told();
    bed.link(0);
    bed.drain();
    assert_snapshot!(bed.told(), @r#"
    w0 evacuate []
    "#);
}

#[test]
fn an_owner_that_knows_of_no_evacuation_tells_agents_nothing() {
    let mut owner = Owner::new(Settings::default(), 1, 1, 0);
    owner.evacuate(&zones(&[]), 5);
    owner.linked("w0", 0, 10);
    assert_eq!(owner.take_outputs().len(), 1);
}
