//! Which workers a gang claims, from when on, and when a run is expected to end.

use insta::assert_snapshot;
use quincewheel_backfill::{Gang, Kept, Plan, Planner, Release, Run, Turn};
use quincewheel_job::{Resources, Step};
use quincewheel_place::{Protection, Request, WorkerState};

const NOW: u64 = 10_000;

fn need(accelerators: u64) -> Resources {
    Resources { accelerators, ..Resources::default() }
}

fn turn(priority: u32, version: u64) -> Turn {
    Turn {
        borrowed: true,
        priority,
        level: 0,
        late: false,
        waiting_since: 0,
        version,
        accelerators: 8,
    }
}

/// Workers of 8 accelerators, two in each rack, each full until the given time.
fn full_until(ends: &[u64]) -> (Vec<WorkerState>, Vec<Vec<Release>>) {
    let worker = |index: usize| WorkerState {
        pool: "p".into(),
        rack: format!("r{}", index / 2),
        capacity: need(8),
        ..WorkerState::default()
    };
    let release = |(run, at): (usize, &u64)| vec![Release { at: *at, need: need(8), run }];
    ((0..ends.len()).map(worker).collect(), ends.iter().enumerate().map(release).collect())
}

fn gang(step: &Step) -> Gang<'_> {
    let request = Request {
        step,
        pool: "p",
        count: step.count,
        waits_for_rack: true,
        preempts: Protection::Lower,
        ignores_ending: false,
        tasks_by_worker: &[],
    };
    let (run_time, not_before, excluded) = (1000, NOW, Vec::new());
    Gang { request, turn: turn(1, 1), run_time, not_before, excluded, kept: None }
}

fn whole_workers(count: u32) -> Step {
    Step { count, need: need(8), gang: true, ..Step::default() }
}

/// Plans the claims of these gangs on workers that are full until the given times.
fn plan(ends: &[u64], gangs: &[Gang<'_>]) -> Plan {
    let (workers, releases) = full_until(ends);
    let mut planner = Planner::new(&workers, &releases, NOW);
    let gangs: Vec<Gang<'_>> = gangs.to_vec();
    for gang in &gangs {
        planner.claim(gang);
    }
    planner.finish()
}

/// The workers and the planned start of each claim.
fn claimed(ends: &[u64], gangs: &[Gang<'_>]) -> String {
    let plan = plan(ends, gangs);
    let claims = plan.claims.iter().map(|claim| {
        let workers: Vec<String> = claim.workers.iter().map(|(w, _)| w.to_string()).collect();
        format!("{} at {}", workers.join(" "), claim.start)
    });
    claims.collect::<Vec<_>>().join("; ")
}

#[test]
fn gang_that_requires_one_rack_claims_the_first_that_holds_it() {
    let any = whole_workers(2);
    let rack = Step { same_rack: true, ..any.clone() };
    let ends = [11_000, 19_000, 12_000, 14_000];
    let too_large = Step { same_rack: true, ..whole_workers(3) };
    let found = [&any, &rack, &too_large].map(|step| claimed(&ends, &[gang(step)]));
    assert_snapshot!(found.join("\n"), @r"
    0 2 at 12000
    2 3 at 14000
    0 2 3 at 14000
    ");
}

// A gang whose data is in one rack was planned elsewhere for a start a moment earlier.
#[test]
fn rack_of_the_data_is_claimed_if_it_is_available_soon_enough() {
    let near = Step { near: "r1".into(), ..whole_workers(2) };
    let soon = claimed(&[12_000, 12_000, 12_500, 12_500], &[gang(&near)]);
    let late = claimed(&[12_000, 12_000, 12_501, 12_501], &[gang(&near)]);
    assert_snapshot!(format!("{soon}\n{late}"), @r"
    2 3 at 12500
    0 1 at 12000
    ");
}

// A claim that changes its workers with each small change of the estimates leaves those that have
// drained for it to others.
#[test]
fn claimed_workers_are_kept_unless_others_are_available_much_sooner() {
    let step = whole_workers(2);
    let kept = |planned| {
        let workers = vec![0, 1];
        let kept = Some(Kept { workers, rack: None, made_at: NOW - 2000, planned });
        Gang { kept, ..gang(&step) }
    };
    let ends = |others| [13_000, 13_000, others, others];
    let little = claimed(&ends(12_501), &[kept(13_000)]);
    let much = claimed(&ends(12_500), &[kept(13_000)]);
    // The claim was to start 1 s ago, 1 s after it was made.
    let overdue = claimed(&ends(12_100), &[kept(NOW - 1000)]);
    let overdue_much = claimed(&ends(11_900), &[kept(NOW - 1000)]);
    assert_snapshot!([little, much, overdue, overdue_much].join("\n"), @r"
    0 1 at 13000
    2 3 at 12500
    0 1 at 13000
    2 3 at 11900
    ");
}

// Two gangs must not be planned on the same capacity at the same time, but a later one may use it
// after the first has ended, or before the first starts beside it.
#[test]
fn later_gangs_are_planned_around_earlier_claims() {
    let (two, one) = (whole_workers(2), whole_workers(1));
    let ends = [11_000, 12_000, 16_000, 16_000, 16_000, 16_000];
    let gangs = [gang(&two), gang(&one)];
    assert_snapshot!(claimed(&ends, &gangs), @"0 1 at 12000; 0 at 13000");
}

// Resources that are freed for a step by preemption were promised to a gang as well.
#[test]
fn reserved_resources_are_not_claimed() {
    let (workers, releases) = full_until(&[11_000, 15_000]);
    let step = whole_workers(1);
    let mut planner = Planner::new(&workers, &releases, NOW);
    planner.reserve(0, 14_000, &need(8));
    assert!(planner.claim(&gang(&step)));
    assert_eq!(planner.finish().claims[0].start, 14_000);
}

#[test]
fn claims_bind_work_of_a_lower_priority_and_later_work_of_the_same() {
    let step = whole_workers(1);
    let gang = Gang { turn: turn(1, 10), ..gang(&step) };
    let plan = plan(&[11_000, 12_000], &[gang]);
    let guaranteed = Turn { borrowed: false, ..turn(1, 11) };
    let steps = [turn(1, 11), turn(2, 11), turn(2, 9), turn(0, 11), turn(1, 9), turn(1, 10)];
    assert_eq!(steps.map(|step| plan.binds(&step)), [true, true, true, false, false, false]);
    assert!(!plan.binds(&guaranteed));
}

// In an overloaded pool late gangs took the capacity of gangs that were still in time, which became
// late in turn. Smaller work, which would fill each gap again, still has to wait.
#[test]
fn late_gang_does_not_hold_up_large_work_that_is_in_time() {
    let step = whole_workers(1);
    let late = |turn| Turn { late: true, ..turn };
    let gang = Gang { turn: late(turn(1, 10)), ..gang(&step) };
    let plan = plan(&[11_000, 12_000], &[gang]);
    let small = Turn { accelerators: 7, ..turn(1, 11) };
    let steps = [turn(1, 11), small, late(turn(1, 11)), turn(2, 11)];
    assert_eq!(steps.map(|step| plan.binds(&step)), [false, true, true, true]);
}

#[test]
fn expected_end_follows_progress_and_moves_on_when_it_has_passed() {
    let new = Run { started_at: 9000, seen_at: 9000, estimate: 4000, ..Run::default() };
    let scratch = Run { seen_at: 9900, percent: 30, from_scratch: true, ..new };
    let resumed = Run { from_scratch: false, ..scratch };
    let over = Run { started_at: 5000, ..new };
    let far_over = Run { started_at: 4100, ..new };
    let short = Run { started_at: 9500, estimate: 100, ..new };
    let ends = [new, scratch, resumed, over, far_over, short].map(|run| run.expected_end(NOW));
    assert_eq!(ends, [13_000, 12_000, 12_700, 10_200, 10_100, 10_200]);
}

// A claim on wrong estimates lasted for as long as its runs. It is made anew once it is overdue by
// more than twice its horizon, and by 5 s or more.
#[test]
fn claim_is_abandoned_when_long_overdue() {
    let kept = |planned| Kept { made_at: 1000, planned, ..Kept::default() };
    let (short, long) = (kept(2000), kept(5000));
    let abandoned = |kept: &Kept, now| kept.is_abandoned(now);
    assert_eq!((abandoned(&short, 6999), abandoned(&short, 7000)), (false, true));
    assert_eq!((abandoned(&long, 13_000), abandoned(&long, 13_001)), (false, true));
}
