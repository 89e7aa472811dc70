//! Random courses of light load with changes of owner and troubles that end: no accepted job has
//! nothing running for seconds beside free workers.

mod succession;

use succession::light::{Light, Without};
use succession::standing::STANDING_LIMIT_MS;

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
