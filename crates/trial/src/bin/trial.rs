//! Prints the trials of the decision core against the baselines.
//!
//!     cargo run --release -p quincewheel-trial            the tables
//!     cargo run --release -p quincewheel-trial -- slope   decision time by size

use std::time::{Duration, Instant};

use quincewheel_pool::{Adjacency, Demand, Limits, Pool, Shape};
use quincewheel_trial::{Baseline, Policy, Report, Scene, Site, Stream, run};

fn main() {
    if std::env::args().nth(1).as_deref() == Some("slope") {
        return slope();
    }
    let site = Site { workers: 11, rack: 3, zones: 4 };
    let scenes = [
        Scene::Steady,
        Scene::SmallBursts,
        Scene::WideBursts,
        Scene::Cancels,
        Scene::Deaths,
        Scene::BadWorker,
    ];
    for scene in scenes {
        let stream = Stream::new(site, scene, 0.95, 3000, 1);
        println!("\n== 11 workers, {scene:?}, load 0.95, 3000 jobs, seed 1 ==\n{}", Report::head());
        for report in compare(site, &stream) {
            println!("{report}");
        }
    }
    println!("\n== the weighing, steady ==\n{}", Report::head());
    let stream = Stream::new(site, Scene::Steady, 0.95, 3000, 1);
    for weighing in [0, 25, 50, 75, 100] {
        println!(
            "{}",
            run(
                &format!("weighing {weighing}"),
                site,
                &stream,
                &mut Policy::core(site, &stream, weighing)
            )
        );
    }
}

fn compare(site: Site, stream: &Stream) -> Vec<Report> {
    vec![
        run("first fit", site, stream, &mut Policy::Simple(Baseline::first_fit(site))),
        run(
            "best fit, preemption",
            site,
            stream,
            &mut Policy::Simple(Baseline::best_fit(site, stream)),
        ),
        run("core", site, stream, &mut Policy::core(site, stream, 0)),
    ]
}

/// Decision time and memory as the pool grows.
fn slope() {
    println!(
        "{:>8} {:>14} {:>16} {:>18}",
        "workers", "one task us", "gang of 256 us", "1000 waiting us"
    );
    for workers in [11, 100, 500, 1000, 3000, 7500] {
        let limits = Limits { failure_reserve: 0, ..Limits::default() };
        let mut pool = Pool::new(limits);
        for at in 0..workers {
            let (rack, zone) = (format!("r{}", at / 3), format!("z{}", at % 7));
            pool.put_worker(&format!("w{at:05}"), &zone, &rack, 8, 32);
        }
        pool.put_team("team", 0);
        let one = time(&mut pool, Shape::new(1, 1, Adjacency::Any), 1, 1);
        let tasks = 256.min(workers as u32 * 8);
        let gang = time(&mut pool, Shape::new(tasks, 1, Adjacency::Any), 2, 1);
        let many = time(&mut pool, Shape::new(1, 8, Adjacency::Worker), 3, 1000);
        println!("{workers:>8} {one:>14.1} {gang:>16.1} {many:>18.1}");
    }
}

fn time(pool: &mut Pool, shape: Shape, base: u64, count: u64) -> f64 {
    for job in 0..count {
        let demand = Demand {
            team: "team".to_owned(),
            shape,
            urgent: false,
            restartable: true,
            arrived_at: Duration::ZERO,
            declared_duration: Duration::from_secs(60),
            avoided_workers: Vec::new(),
        };
        pool.enqueue(base * 1_000_000 + job, demand);
    }
    let began = Instant::now();
    pool.decide(Duration::from_secs(1));
    began.elapsed().as_secs_f64() * 1e6
}
