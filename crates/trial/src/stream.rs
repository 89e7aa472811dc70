use std::time::Duration;

use quincewheel_pool::{Adjacency, Shape, Share};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The workers of a trial.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Number of workers, with eight accelerators each.
    pub workers: usize,
    /// Workers in a rack.
    pub rack: usize,
    /// Number of availability zones.
    pub zones: usize,
}

/// What happens beside steady load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scene {
    /// Nothing.
    Steady,
    /// Small jobs come in bursts.
    SmallBursts,
    /// Wide jobs come in bursts.
    WideBursts,
    /// A third of the waiting jobs is cancelled now and then.
    Cancels,
    /// Workers die and come back.
    Deaths,
    /// One worker fails everything.
    BadWorker,
}

/// One job of a stream.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its number.
    pub id: u64,
    /// Its team.
    pub team: String,
    /// What it needs.
    pub shape: Shape,
    /// Starts first within the guarantee.
    pub urgent: bool,
    /// When it comes.
    pub arrives: Duration,
    /// How long it really runs.
    pub run: Duration,
    /// How long its caller says it runs: wrong by up to tenfold either way.
    pub declared: Duration,
    /// It ignores requests to checkpoint and loses its work when stopped.
    pub deaf: bool,
}

/// Jobs in the order of their arrival, and the guarantees.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The jobs.
    pub jobs: Vec<Job>,
    /// Guaranteed shapes by team.
    pub shares: Vec<(String, Vec<Share>)>,
    /// The scene.
    pub scene: Scene,
    /// The seed.
    pub seed: u64,
}

/// Names of the four teams; the first two hold guarantees.
pub const TEAMS: [&str; 4] = ["sierra", "azul", "sur", "costa"];

impl Stream {
    /// `count` jobs that offer `load` times what the site can do.
    pub fn new(site: Site, scene: Scene, load: f64, count: usize, seed: u64) -> Stream {
        let mut rng = StdRng::seed_from_u64(seed);
        let capacity = (site.workers * 8) as f64;
        let mut at = 0.0;
        let mut jobs = Vec::new();
        for id in 0..count as u64 {
            let shape = shape(&mut rng, site, scene, id);
            let run = run_time(&mut rng, &shape);
            let error = 10f64.powf(rng.random_range(-1.0..1.0));
            at += gap(
                &mut rng,
                scene,
                id,
                run * f64::from(shape.total_accelerators()) / (capacity * load),
            );
            jobs.push(Job {
                id: id + 1,
                team: TEAMS[team(&mut rng)].to_owned(),
                shape,
                urgent: rng.random_bool(0.05),
                arrives: Duration::from_secs_f64(at),
                run: Duration::from_secs_f64(run),
                declared: Duration::from_secs_f64(run * error),
                deaf: rng.random_bool(0.2),
            });
        }
        Stream { jobs, shares: shares(site), scene, seed }
    }
}

/// A few teams are large.
fn team(rng: &mut StdRng) -> usize {
    match rng.random_range(0..100) {
        0..40 => 2,
        40..70 => 3,
        70..90 => 0,
        _ => 1,
    }
}

fn shape(rng: &mut StdRng, site: Site, scene: Scene, id: u64) -> Shape {
    let any = Adjacency::Any;
    if scene == Scene::WideBursts && id % 200 < 12 {
        return Shape::new(2, 8, Adjacency::Rack);
    }
    if scene == Scene::SmallBursts && id % 200 < 120 {
        return Shape::new(1, 1, any);
    }
    let wide = (site.workers / 4).clamp(2, 32) as u32;
    match rng.random_range(0..100) {
        0..55 => Shape::new(1, 1, any),
        55..70 => Shape::new(1, 2, any),
        70..82 => Shape::new(1, 4, any),
        82..93 => Shape::new(1, 8, Adjacency::Worker),
        93..98 => Shape::new(2, 8, Adjacency::Rack),
        _ => Shape::new(wide, 8, any),
    }
}

/// Seconds: heavy-tailed, longer for wide jobs.
fn run_time(rng: &mut StdRng, shape: &Shape) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    let median = if shape.total_accelerators() >= 8 { 1200.0 } else { 300.0 };
    (median * (normal * 1.2).exp()).clamp(5.0, 40_000.0)
}

/// Seconds until the next arrival, `mean` on average.
fn gap(rng: &mut StdRng, scene: Scene, id: u64, mean: f64) -> f64 {
    let bursts = matches!(scene, Scene::SmallBursts | Scene::WideBursts);
    if bursts && (1..12).contains(&(id % 200)) {
        return 0.0;
    }
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Guarantees for about a third of the site, as shapes.
fn shares(site: Site) -> Vec<(String, Vec<Share>)> {
    let unit = (site.workers / 11).max(1) as u32;
    let pair = Share { shape: Shape::new(2, 8, Adjacency::Rack), count: unit };
    let whole = Share { shape: Shape::new(1, 8, Adjacency::Worker), count: unit * 2 };
    vec![(TEAMS[0].to_owned(), vec![pair]), (TEAMS[1].to_owned(), vec![whole])]
}
