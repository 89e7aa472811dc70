use std::io;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use quincewheel_conf::Own;
use quincewheel_http::Server;
use quincewheel_peer::{Hub, Traffic};
use quincewheel_ring as ring;
use quincewheel_shard::{self as shard, Node};
use quincewheel_store::Service;
use quincewheel_wire::{Hello, Key, Role};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

use crate::brain::{Brain, Inbox, Status, Stored, Work};
use crate::burn::Burn;
use crate::burn_report;
use crate::day::sum_up;
use crate::explain::explain;
use crate::metrics::Metrics;
use crate::routes::Routes;
use crate::settings::{DEFINITIONS, PROGRAM, Settings};
use crate::site;

/// Calls that may wait for the brain; more are refused at once.
const WORK: usize = 4096;
/// Events of other processes that may wait for the brain.
const PEERS: usize = 4096;
/// Answers of the table that may wait for the brain.
const STORED: usize = 128;
/// A call to the table without an answer is unclear after this time.
const TABLE: Duration = Duration::from_millis(2000);

/// Runs the program with these arguments.
pub fn run(args: &[String]) -> ExitCode {
    if let [command, id] = args
        && command == "explain"
    {
        return match explain(id, io::stdin().lock(), io::stdout().lock()) {
            Ok(0) => {
                eprintln!(
                    "no line is about {id}; check the id and that all processes' logs are there"
                );
                ExitCode::FAILURE
            }
            Ok(_) => ExitCode::SUCCESS,
            Err(error) => PROGRAM.end(Err(error)),
        };
    }
    if let [command, rest @ ..] = args
        && command == "day"
    {
        return day(rest);
    }
    let (command, values) = match PROGRAM.launch(args) {
        Ok(launched) => launched,
        Err(code) => return code,
    };
    if command == "burn" {
        return match Settings::resolve_burn(&values) {
            Ok((rpc, key)) => burn_report::print(&rpc, &key),
            Err(errors) => PROGRAM.refuse(&errors),
        };
    }
    if let Some(path) = quincewheel_platform::settings_path().filter(|_| command == "serve") {
        return match Own::resolve(&values) {
            Err(errors) => PROGRAM.refuse(&errors),
            Ok(own) => PROGRAM.end(site::serve(&path, &own)),
        };
    }
    match Settings::resolve(&values) {
        Err(errors) => PROGRAM.refuse(&errors),
        Ok(_) if command == "check" => {
            print!("{}", values.show(DEFINITIONS));
            check_platform()
        }
        Ok(settings) => PROGRAM.end(serve(settings)),
    }
}

/// Prints the times that the platform's settings file sets, if there is one.
fn check_platform() -> ExitCode {
    let Some(path) = quincewheel_platform::settings_path() else { return ExitCode::SUCCESS };
    match quincewheel_platform::read_settings(&path) {
        Ok(site) => {
            println!("platform: {:?}", site.bounds);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Sums up the logs of a time that began `ZERO` seconds after 1970.
fn day(args: &[String]) -> ExitCode {
    let zero = match args {
        [] => None,
        [zero] if zero.parse::<f64>().is_ok() => zero.parse().ok(),
        _ => {
            eprintln!("day takes one argument, a time in seconds since 1970, or none");
            return ExitCode::from(2);
        }
    };
    match sum_up(zero, io::stdin().lock(), io::stdout().lock()) {
        Ok(0) => {
            eprintln!("no job was accepted in these logs; check that all processes' are there");
            ExitCode::FAILURE
        }
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => PROGRAM.end(Err(error)),
    }
}

fn serve(settings: Settings) -> io::Result<()> {
    quincewheel_log::open(&settings.name, settings.log_level).map_err(io::Error::other)?;
    let start = Instant::now();
    let incarnation: u64 = rand::random();
    let (work, work_in) = ring::open(WORK);
    let (peers, peers_in) = ring::open(PEERS);
    let (stored, stored_in) = ring::open(STORED);
    let hello = Hello { role: Role::Entry, name: settings.name.clone(), incarnation };
    let key = Key::new(settings.fleet_key.as_bytes());
    let hub =
        Hub::bind(&settings.listen, key, hello, peers, |event| event).map_err(io::Error::other)?;
    let traffic = hub.traffic();
    let service = Service::spawn(&settings.platform, TABLE, stored, Stored)?;
    let status = Arc::new(Status::default());
    let node = Node::new(node_settings(&settings, incarnation));
    let events = settings.events.then(|| settings.name.clone());
    let inbox = Inbox { stored: stored_in, peers: peers_in, work: work_in };
    Brain::spawn(node, hub, service, Arc::clone(&status), events, inbox)?;
    let draining = Arc::new(AtomicBool::new(false));
    let routes = routes(&settings, &work, &status, traffic, &draining, start);
    let server = Server::bind("rpc", &settings.rpc, move |request| routes.clone().serve(request))
        .map_err(|error| {
        let text = format!("listen for callers on {}: {error}", settings.rpc);
        io::Error::new(error.kind(), text)
    })?;
    log::info!(step = "start", peer = settings.rpc.as_str(); "serving");
    let runtime = actix_rt::Runtime::new()?;
    runtime.block_on(async {
        terminated().await?;
        log::info!(step = "drain"; "shutting down");
        drain(&work, &status, &draining, settings.drain).await;
        server.stop().await;
        log::info!(step = "drain"; "ended");
        Ok(())
    })
}

fn routes(
    settings: &Settings,
    work: &ring::Sender<Work>,
    status: &Arc<Status>,
    traffic: Arc<Traffic>,
    draining: &Arc<AtomicBool>,
    start: Instant,
) -> Routes {
    Routes {
        name: settings.name.clone(),
        work: work.clone(),
        status: Arc::clone(status),
        metrics: Arc::new(Metrics::open(Arc::clone(status), traffic)),
        burn: Arc::new(Mutex::new(Burn::default())),
        draining: Arc::clone(draining),
        start,
    }
}

fn node_settings(settings: &Settings, incarnation: u64) -> shard::Settings {
    let clock_origin = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    shard::Settings {
        name: settings.name.clone(),
        incarnation,
        address: settings.listen.clone(),
        operator_key_digest: settings.operator_digest.clone(),
        clock_origin,
        seed: incarnation,
        stop_grace: settings.grace,
        limits: settings.limits,
        max_attempts: settings.attempts,
        retention: settings.retention,
        ..shard::Settings::default()
    }
}

async fn terminated() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Takes nothing new, hands ownership over and waits until every call in
/// flight is answered, but no longer than `bound`.
async fn drain(work: &ring::Sender<Work>, status: &Status, draining: &AtomicBool, bound: Duration) {
    draining.store(true, Ordering::Relaxed);
    work.send(Work::Drain).await;
    let end = Instant::now() + bound;
    // The brain publishes its state after each round: two rounds see the drain.
    tokio::time::sleep(Duration::from_millis(200)).await;
    loop {
        let idle = status.pending.load(Ordering::Relaxed) == 0;
        let handed_over = !status.owner.load(Ordering::Relaxed);
        if (idle && handed_over) || Instant::now() >= end {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
