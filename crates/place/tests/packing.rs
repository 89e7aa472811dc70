//! Placement and preemption in a pool of three racks of two workers with 8 accelerators each.

use insta::assert_snapshot;
use quincewheel_job::{Resources, Step};
use quincewheel_place::{Preemptible, Protection, Request, WorkerState, pack, plan_preemption};

/// Workers with the given numbers of free accelerators.
fn pool(free: [u64; 6]) -> Vec<WorkerState> {
    let spot = |(number, free): (usize, u64)| WorkerState {
        name: format!("w{number}"),
        pool: "p".into(),
        rack: format!("r{}", number / 2),
        labels: vec![if number == 5 { "b" } else { "a" }.into()],
        capacity: need(8),
        free: need(free),
        ..WorkerState::default()
    };
    free.into_iter().enumerate().map(spot).collect()
}

fn need(accelerators: u64) -> Resources {
    Resources { cpu: accelerators * 1000, memory: accelerators * 1000, accelerators }
}

fn step(count: u32, accelerators: u64) -> Step {
    Step { count, need: need(accelerators), ..Step::default() }
}

fn gang(count: u32, accelerators: u64) -> Step {
    Step { gang: true, same_rack: true, ..step(count, accelerators) }
}

fn packed(workers: &[WorkerState], step: &Step) -> String {
    let request = Request {
        step,
        pool: "p",
        count: step.count,
        waits_for_rack: true,
        preempts: Protection::Borrowed,
        ignores_ending: true,
        tasks_by_worker: &[],
    };
    format!("{:?}", pack(workers, &request))
}

#[test]
fn small_tasks_fill_partly_used_workers_first() {
    let workers = pool([8, 3, 8, 1, 8, 8]);
    assert_snapshot!(packed(&workers, &step(4, 1)), @r"[3, 1, 1, 1]");
}

#[test]
fn a_gang_is_placed_whole_in_the_fullest_rack_that_holds_it_or_waits() {
    let lines = [
        packed(&pool([8, 8, 8, 4, 8, 8]), &gang(3, 4)),
        packed(&pool([4, 4, 4, 4, 4, 4]), &gang(3, 4)),
        packed(&pool([4, 4, 4, 4, 4, 4]), &gang(5, 4)),
        packed(&pool([4, 4, 4, 4, 4, 4]), &Step { same_rack: false, ..gang(5, 4) }),
        packed(&pool([0, 4, 4, 4, 4, 4]), &Step { same_rack: false, ..gang(6, 4) }),
    ];
    assert_snapshot!(lines.join("\n"), @r"
    [3, 2, 2]
    []
    [0, 1, 2, 3, 4]
    [0, 1, 2, 3, 4]
    []
    ");
}

// A gang that needs one rack waited for seconds in a mostly idle pool, since a little work kept
// running in each rack.
#[test]
fn a_gang_that_no_longer_waits_for_a_rack_is_spread_if_half_of_the_pool_is_free() {
    let step = gang(3, 4);
    let (half, less) = ([7, 3, 7, 3, 7, 3], [4, 3, 4, 3, 4, 3]);
    let lines = [(half, true), (half, false), (less, false)].map(|(free, patient)| {
        let workers = pool(free);
        let request = Request {
            step: &step,
            pool: "p",
            count: 3,
            waits_for_rack: patient,
            preempts: Protection::Lower,
            ignores_ending: false,
            tasks_by_worker: &[],
        };
        format!("{:?}", pack(&workers, &request))
    });
    assert_snapshot!(lines.join("\n"), @r"
    []
    [0, 2, 4]
    []
    ");
}

#[test]
fn labels_data_racks_and_limits_per_worker_are_respected() {
    let workers = pool([8, 8, 8, 8, 8, 8]);
    let lines = [
        packed(&workers, &Step { label: "b".into(), ..step(2, 2) }),
        packed(&workers, &Step { near: "r1".into(), ..step(2, 4) }),
        packed(&workers, &Step { per_worker: 1, ..step(3, 1) }),
        packed(&workers, &step(1, 9)),
    ];
    assert_snapshot!(lines.join("\n"), @r"
    [5, 5]
    [2, 2]
    [0, 1, 2]
    []
    ");
}

#[test]
fn a_deprioritized_worker_is_the_last_choice() {
    let mut workers = pool([2, 8, 0, 0, 0, 0]);
    workers[0].deprioritized = true;
    assert_snapshot!(packed(&workers, &step(1, 1)), @"[1]");
}

#[test]
fn preemption_loses_least_and_stops_no_more_than_needed() {
    let mut workers = pool([0, 0, 4, 0, 0, 0]);
    let holder = |unit, accelerators, loss| Preemptible {
        unit,
        need: need(accelerators),
        protection: Protection::Lower,
        loss,
        ending: false,
    };
    workers[0].preemptible = vec![holder(1, 8, 900)];
    workers[1].preemptible = vec![holder(2, 4, 50), holder(3, 4, 60), holder(4, 1, 1)];
    workers[2].preemptible = vec![holder(5, 4, 500)];
    let plan = |step: &Step| {
        let request = Request {
            step,
            pool: "p",
            count: step.count,
            waits_for_rack: true,
            preempts: Protection::Borrowed,
            ignores_ending: true,
            tasks_by_worker: &[],
        };
        let claim = plan_preemption(&workers, &request);
        claim.map_or("none".to_owned(), |c| format!("{:?} {:?} {}", c.workers, c.victims, c.loss))
    };
    let lines = [plan(&step(1, 8)), plan(&step(1, 4)), plan(&gang(2, 8)), plan(&gang(4, 8))];
    assert_snapshot!(lines.join("\n"), @r"
    [1] {2, 3} 110
    [2] {} 0
    [1, 0] {1, 2, 3} 1010
    none
    ");
}

// Urgent jobs preempted runs that would have ended sooner than a stop takes, and their work was
// lost, because only free resources counted as available. A request that ignores ending runs may
// still preempt them.
#[test]
fn runs_that_are_about_to_end_are_waited_for_unless_the_request_ignores_them() {
    let mut workers = pool([0, 0, 0, 0, 0, 0]);
    let holder = |unit, loss, ending| Preemptible {
        unit,
        need: need(8),
        loss,
        ending,
        ..Preemptible::default()
    };
    workers[1].preemptible.push(holder(1, 100, false));
    workers[2].preemptible.push(holder(2, 50, true));
    workers[2].ending = need(8);
    let step = step(1, 8);
    let lines = [false, true].map(|sure| {
        let request = Request {
            step: &step,
            pool: "p",
            count: 1,
            waits_for_rack: true,
            preempts: Protection::Borrowed,
            ignores_ending: sure,
            tasks_by_worker: &[],
        };
        let claim = plan_preemption(&workers, &request).unwrap_or_default();
        format!("sure {sure}: at {:?}, stopping {:?}", claim.workers, claim.victims)
    });
    assert_snapshot!(lines.join("\n"), @r"
    sure false: at [2], stopping {}
    sure true: at [2], stopping {2}
    ");
}

#[test]
fn reserved_resources_are_not_counted_twice() {
    let mut workers = pool([0, 0, 0, 0, 0, 0]);
    workers[3].stopping = need(8);
    workers[3].reserve(&need(8));
    let step = step(1, 8);
    let request = Request {
        step: &step,
        pool: "p",
        count: 1,
        waits_for_rack: true,
        preempts: Protection::Borrowed,
        ignores_ending: true,
        tasks_by_worker: &[],
    };
    assert_snapshot!(format!("{:?}", plan_preemption(&workers, &request)), @"None");
}

// After a loss of workers a pool may hold less than its teams are guaranteed. Each kind of work is
// preempted only for work that is entitled to its resources.
#[test]
fn work_is_preempted_by_its_protection() {
    let mut workers = pool([0, 0, 0, 0, 0, 0]);
    let holds = [Protection::Guaranteed, Protection::Borrowed, Protection::Lower];
    for ((place, hold), loss) in holds.into_iter().enumerate().zip([1, 50, 900]) {
        let holder = Preemptible {
            unit: place as u64,
            need: need(8),
            protection: hold,
            loss,
            ending: false,
        };
        workers[place].preemptible.push(holder);
    }
    let step = step(1, 8);
    let lines = [Protection::Lower, Protection::Borrowed, Protection::Guaranteed].map(|over| {
        let request = Request {
            step: &step,
            pool: "p",
            count: 1,
            waits_for_rack: true,
            preempts: over,
            ignores_ending: true,
            tasks_by_worker: &[],
        };
        format!(
            "{over:?}: stops {:?}",
            plan_preemption(&workers, &request).unwrap_or_default().victims
        )
    });
    assert_snapshot!(lines.join("\n"), @r"
    Lower: stops {2}
    Borrowed: stops {1}
    Guaranteed: stops {0}
    ");
}
