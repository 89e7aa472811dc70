//! Random courses of light load with changes of owner and troubles that end: no accepted job has
//! nothing running for seconds beside free workers.

mod succession;

use succession::light::{Judged, Light, Without};
use succession::shape::Shape;
use succession::standing::STANDING_LIMIT_MS;
use succession::trouble::{Event, Target};

/// Removes events from a course that fails, as long as it fails for the same cause.
fn shrink(mut light: Light) -> Light {
    let kind = |light: &Light| light.play().kind();
    let wanted = kind(&light);
    let mut size = light.events.len() / 2;
    while size > 0 {
        let mut first = 0;
        while first < light.events.len() {
            let mut shorter = light.clone();
            let last = (first + size).min(light.events.len());
            shorter.events.drain(first..last);
            if kind(&shorter) == wanted {
                light = shorter;
            } else {
                first += size;
            }
        }
        size /= 2;
    }
    light
}

// Guards against jobs that stand for seconds after troubles that overlap.
#[test]
fn no_job_stands_beside_free_workers() {
    for seed in 0..12 {
        let outcome = Light::draw(seed, Without::default()).play();
        assert!(outcome.violation.is_none(), "seed {seed}\n{}", outcome.report());
    }
}

// Searches the courses from `FIRST` to before `LAST`, for hunts by hand. `LIMIT` replaces the time
// for which a job may stand. `WITHOUT` lists what the courses leave out. With `SHRINK`, prints the
// shortened courses that fail, and with `LOG` their logs.
#[test]
fn no_job_stands_beside_free_workers_in_chosen_courses() {
    let number = |name: &str| std::env::var(name).ok().and_then(|value| value.parse().ok());
    let (first, last) = (number("FIRST").unwrap_or(0), number("LAST").unwrap_or(2));
    let without = Without::parse(&std::env::var("WITHOUT").unwrap_or_default());
    let (mut failed, mut judged_ms, mut busy_ms, mut starts) = (0, 0, 0, 0);
    for seed in first..last {
        let mut light = Light::draw(seed, without);
        light.limit = number("LIMIT").unwrap_or(STANDING_LIMIT_MS);
        let outcome = light.play();
        judged_ms += outcome.judged_ms;
        busy_ms += outcome.busy_ms;
        starts += outcome.starts;
        if outcome.violation.is_none() {
            continue;
        }
        failed += 1;
        println!("seed {seed}: {}", outcome.report().lines().next().unwrap_or_default());
        if std::env::var("SHRINK").is_ok() {
            let light = shrink(light);
            let outcome = light.play();
            println!("{light:?}\n{}", outcome.report());
            if std::env::var("LOG").is_ok() {
                println!("{}", outcome.lines.join("\n"));
            }
        }
    }
    println!("{} s judged, {} s with open jobs, {starts} starts", judged_ms / 1000, busy_ms / 1000);
    assert_eq!(failed, 0, "of {} courses", last - first);
}

/// Seeds of each course whose events are given.
const SEEDS: u64 = 8;

/// A course of six workers in which nothing else happens.
fn course(seed: u64, events: Vec<(u64, Event)>) -> Light {
    Light {
        seed,
        nodes: 6,
        judged: Judged::Always,
        limit: STANDING_LIMIT_MS,
        failure_percent: 0,
        in_racks: false,
        longest_run: 2000,
        events,
    }
}

fn submit(entry: usize, shape: Shape) -> Event {
    Event::Submit { entry, shape }
}

/// Plays a course with each seed, and fails if a job stands in one.
fn assert_no_job_stands(events: &[(u64, Event)]) {
    for seed in 0..SEEDS {
        let outcome = course(seed, events.to_vec()).play();
        assert!(outcome.violation.is_none(), "seed {seed}\n{}", outcome.report());
    }
}

/// Runs of two jobs that fail at a worker.
fn failures(node: usize) -> Vec<(u64, Event)> {
    let failing = Shape { rare: true, attempts: 1, ..Shape::of_step(1, 1, false) };
    vec![
        (1900, Event::Failures { node, percent: 100 }),
        (2000, submit(0, failing.clone())),
        (2100, submit(0, failing)),
        (4500, Event::Failures { node, percent: 0 }),
    ]
}

// Guards against jobs that wait for a lease from the last start at a worker that was gone by then,
// although no lease there outlives the one that was granted before.
#[test]
fn a_job_started_at_a_worker_that_is_gone_starts_elsewhere_when_its_leases_end() {
    let mut events = vec![(2000, submit(0, Shape::of_step(2, 2, false)))];
    events.push((5000, Event::Gone { node: 0, closes: false }));
    let later = [5500, 6000, 6500, 7000].map(|at| (at, submit(0, Shape::of_step(1, 1, false))));
    events.extend(later);
    assert_no_job_stands(&events);
}

// Guards against older jobs that all wait, after a change of owner, for one worker that is gone.
#[test]
fn jobs_of_a_former_owner_do_not_wait_for_a_worker_that_is_gone() {
    let chain = Shape { steps: 6, ..Shape::of_step(1, 1, false) };
    assert_no_job_stands(&[
        (2000, submit(0, chain.clone())),
        (3000, submit(1, chain)),
        (5000, Event::Gone { node: 1, closes: true }),
        (5200, Event::EntryGone { target: Target::Owner }),
    ]);
}

// Guards against a gang that waits for sound workers which are full beside doubtful ones which are
// idle.
#[test]
fn a_gang_uses_idle_doubtful_workers_while_the_sound_ones_are_full() {
    let mut events = failures(0);
    let chain = Shape { rare: true, steps: 12, attempts: 4, ..Shape::of_step(1, 1, false) };
    events.extend((0..8).map(|_| (4500, submit(0, chain.clone()))));
    let gang = Shape { rare: true, attempts: 4, ..Shape::of_step(2, 1, true) };
    events.push((5500, submit(0, gang)));
    assert_no_job_stands(&events);
}

// Guards against a gang that waits until a doubt ends, since a doubtful worker takes one task of it
// and no other worker can hold the rest.
#[test]
fn a_gang_that_only_doubtful_workers_can_hold_does_not_wait_for_the_end_of_the_doubt() {
    let mut events = vec![(1000, Event::Gone { node: 3, closes: true })];
    events.extend(failures(0));
    let gang = Shape { rare: true, attempts: 4, ..Shape::of_step(2, 1, true) };
    events.push((5500, submit(0, gang)));
    assert_no_job_stands(&events);
}
