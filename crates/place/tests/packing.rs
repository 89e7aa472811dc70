//! Where tasks go on a pool of three racks of two workers with 8 accelerators.

use insta::assert_snapshot;
use quincewheel_job::{Resources, Step};
use quincewheel_place::{Preemptible, Protection, Request, WorkerState, pack, plan_preemption};

/// Workers with so many accelerators free each.
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

fn packed(spots: &[WorkerState], step: &Step) -> String {
    let ask = Request {
        step,
        pool: "p",
        count: step.count,
        waits_for_rack: true,
        preempts: Protection::Borrowed,
        ignores_ending: true,
        tasks_by_worker: &[],
    };
    format!("{:?}", pack(spots, &ask))
}

#[test]
fn small_tasks_fill_what_is_begun_and_keep_whole_workers_whole() {
    let spots = pool([8, 3, 8, 1, 8, 8]);
    assert_snapshot!(packed(&spots, &step(4, 1)), @r"[3, 1, 1, 1]");
}

#[test]
fn a_gang_goes_whole_onto_the_fullest_rack_that_holds_it_or_waits() {
    let told = [
        packed(&pool([8, 8, 8, 4, 8, 8]), &gang(3, 4)),
        packed(&pool([4, 4, 4, 4, 4, 4]), &gang(3, 4)),
        packed(&pool([4, 4, 4, 4, 4, 4]), &gang(5, 4)),
        packed(&pool([4, 4, 4, 4, 4, 4]), &Step { same_rack: false, ..gang(5, 4) }),
        packed(&pool([0, 4, 4, 4, 4, 4]), &Step { same_rack: false, ..gang(6, 4) }),
    ];
    assert_snapshot!(told.join("\n"), @r"
    [3, 2, 2]
    []
    [0, 1, 2, 3, 4]
    [0, 1, 2, 3, 4]
    []
    ");
}

// Symptom: a gang stands still for seconds while most of the pool is idle.
// Sequence: a little work goes on in each rack, and other small jobs follow it.
// Cause: a gang that wants one rack waited for it without end.
#[test]
fn a_gang_that_lost_its_patience_is_spread_if_half_of_the_pool_is_free() {
    let step = gang(3, 4);
    let (half, less) = ([7, 3, 7, 3, 7, 3], [4, 3, 4, 3, 4, 3]);
    let told = [(half, true), (half, false), (less, false)].map(|(free, patient)| {
        let spots = pool(free);
        let ask = Request {
            step: &step,
            pool: "p",
            count: 3,
            waits_for_rack: patient,
            preempts: Protection::Lower,
            ignores_ending: false,
            tasks_by_worker: &[],
        };
        format!("{:?}", pack(&spots, &ask))
    });
    assert_snapshot!(told.join("\n"), @r"
    []
    [0, 2, 4]
    []
    ");
}

#[test]
fn labels_data_and_limits_a_worker_are_kept() {
    let spots = pool([8, 8, 8, 8, 8, 8]);
    let told = [
        packed(&spots, &Step { label: "b".into(), ..step(2, 2) }),
        packed(&spots, &Step { near: "r1".into(), ..step(2, 4) }),
        packed(&spots, &Step { per_worker: 1, ..step(3, 1) }),
        packed(&spots, &step(1, 9)),
    ];
    assert_snapshot!(told.join("\n"), @r"
    [5, 5]
    [2, 2]
    [0, 1, 2]
    []
    ");
}

#[test]
fn a_doubtful_worker_is_the_last_choice() {
    let mut spots = pool([2, 8, 0, 0, 0, 0]);
    spots[0].deprioritized = true;
    assert_snapshot!(packed(&spots, &step(1, 1)), @"[1]");
}

#[test]
fn room_is_made_where_least_is_lost_and_no_victim_stops_in_vain() {
    let mut spots = pool([0, 0, 4, 0, 0, 0]);
    let holder = |unit, accelerators, loss| Preemptible {
        unit,
        need: need(accelerators),
        protection: Protection::Lower,
        loss,
        ending: false,
    };
    spots[0].preemptible = vec![holder(1, 8, 900)];
    spots[1].preemptible = vec![holder(2, 4, 50), holder(3, 4, 60), holder(4, 1, 1)];
    spots[2].preemptible = vec![holder(5, 4, 500)];
    let ask = |step: &Step| {
        let ask = Request {
            step,
            pool: "p",
            count: step.count,
            waits_for_rack: true,
            preempts: Protection::Borrowed,
            ignores_ending: true,
            tasks_by_worker: &[],
        };
        let claim = plan_preemption(&spots, &ask);
        claim.map_or("none".to_owned(), |c| format!("{:?} {:?} {}", c.workers, c.victims, c.loss))
    };
    let told = [ask(&step(1, 8)), ask(&step(1, 4)), ask(&gang(2, 8)), ask(&gang(4, 8))];
    assert_snapshot!(told.join("\n"), @r"
    [1] {2, 3} 110
    [2] {} 0
    [1, 0] {1, 2, 3} 1010
    none
    ");
}

// Symptom: urgent jobs stop runs that are all but done, and their work is thrown away.
// Sequence: a full worker; its run ends sooner than a stop would take; a job that need
// not be sure of its room wants the place. Cause: only what was free counted as room.
#[test]
fn work_that_ends_by_itself_is_waited_for_but_not_where_room_is_promised() {
    let mut spots = pool([0, 0, 0, 0, 0, 0]);
    let holder = |unit, loss, ending| Preemptible {
        unit,
        need: need(8),
        loss,
        ending,
        ..Preemptible::default()
    };
    spots[1].preemptible.push(holder(1, 100, false));
    spots[2].preemptible.push(holder(2, 50, true));
    spots[2].ending = need(8);
    let step = step(1, 8);
    let told = [false, true].map(|sure| {
        let ask = Request {
            step: &step,
            pool: "p",
            count: 1,
            waits_for_rack: true,
            preempts: Protection::Borrowed,
            ignores_ending: sure,
            tasks_by_worker: &[],
        };
        let claim = plan_preemption(&spots, &ask).unwrap_or_default();
        format!("sure {sure}: at {:?}, stopping {:?}", claim.workers, claim.victims)
    });
    assert_snapshot!(told.join("\n"), @r"
    sure false: at [2], stopping {}
    sure true: at [2], stopping {2}
    ");
}

#[test]
fn room_that_others_are_stopped_for_is_not_counted_twice() {
    let mut spots = pool([0, 0, 0, 0, 0, 0]);
    spots[3].stopping = need(8);
    spots[3].reserve(&need(8));
    let step = step(1, 8);
    let ask = Request {
        step: &step,
        pool: "p",
        count: 1,
        waits_for_rack: true,
        preempts: Protection::Borrowed,
        ignores_ending: true,
        tasks_by_worker: &[],
    };
    assert_snapshot!(format!("{:?}", plan_preemption(&spots, &ask)), @"None");
}

// Pattern: what is left of a pool holds less than its teams are guaranteed. Each kind of work gives way
// only to what is entitled to its room.
#[test]
fn work_gives_way_by_how_firmly_it_holds_its_room() {
    let mut spots = pool([0, 0, 0, 0, 0, 0]);
    let holds = [Protection::Guaranteed, Protection::Borrowed, Protection::Lower];
    for ((place, hold), loss) in holds.into_iter().enumerate().zip([1, 50, 900]) {
        let holder = Preemptible {
            unit: place as u64,
            need: need(8),
            protection: hold,
            loss,
            ending: false,
        };
        spots[place].preemptible.push(holder);
    }
    let step = step(1, 8);
    let told = [Protection::Lower, Protection::Borrowed, Protection::Guaranteed].map(|over| {
        let ask = Request {
            step: &step,
            pool: "p",
            count: 1,
            waits_for_rack: true,
            preempts: over,
            ignores_ending: true,
            tasks_by_worker: &[],
        };
        format!("{over:?}: stops {:?}", plan_preemption(&spots, &ask).unwrap_or_default().victims)
    });
    assert_snapshot!(told.join("\n"), @r"
    Lower: stops {2}
    Borrowed: stops {1}
    Guaranteed: stops {0}
    ");
}
