use std::io;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use quincewheel_conf::LocalSettings;
use quincewheel_http::{Intake, Limits, Listener, Purpose, Server};
use quincewheel_peer::Hub;
use quincewheel_ring as ring;
use quincewheel_shard::{self as shard, Node};
use quincewheel_store::Service;
use quincewheel_wire::{Hello, Key, Role};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

use crate::burn::Burn;
use crate::burn_report;
use crate::day::sum_up;
use crate::driver::{Command, Driver, Inbox, Status, StoreResult};
use crate::explain::explain;
use crate::metrics::Metrics;
use crate::routes::Routes;
use crate::scheduling::Scheduling;
use crate::settings::{DEFINITIONS, PROGRAM, Settings};
use crate::site;

/// Capacity of the queue of calls to the driver; calls beyond it are refused at once.
const MAX_QUEUED_COMMANDS: usize = 4096;
/// Capacity of the queue of events from other processes to the driver.
const MAX_QUEUED_EVENTS: usize = 4096;
/// Capacity of the queue of results from the table to the driver.
const MAX_QUEUED_RESULTS: usize = 128;
/// Time after which the outcome of a call to the table counts as unclear.
const TABLE_TIMEOUT: Duration = Duration::from_millis(2000);

/// Runs the program with these command-line arguments.
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
            Err(error) => PROGRAM.report_result(Err(error)),
        };
    }
    if let [command, rest @ ..] = args
        && command == "day"
    {
        return summarize(rest);
    }
    let (command, values) = match PROGRAM.launch(args) {
        Ok(launched) => launched,
        Err(code) => return code,
    };
    if command == "burn" {
        return match Settings::resolve_burn(&values) {
            Ok((rpc, key)) => burn_report::print(&rpc, &key),
            Err(errors) => PROGRAM.report_errors(&errors),
        };
    }
    if let Some(path) = quincewheel_platform::settings_path().filter(|_| command == "serve") {
        return match (LocalSettings::resolve(&values), Scheduling::resolve(&values)) {
            (Ok(own), Ok(scheduling)) => {
                PROGRAM.report_result(site::serve(&path, &own, scheduling))
            }
            (own, scheduling) => {
                let errors = [own.err(), scheduling.err()].into_iter().flatten().flatten();
                PROGRAM.report_errors(&errors.collect::<Vec<_>>())
            }
        };
    }
    match Settings::resolve(&values) {
        Err(errors) => PROGRAM.report_errors(&errors),
        Ok(_) if command == "check" => {
            print!("{}", values.show(DEFINITIONS));
            check_platform()
        }
        Ok(settings) => PROGRAM.report_result(serve(settings)),
    }
}

/// Prints the time limits that the platform's settings file sets, if there is one.
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

/// Summarises the logs of a period that began `ZERO` seconds after 1970.
fn summarize(args: &[String]) -> ExitCode {
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
        Err(error) => PROGRAM.report_result(Err(error)),
    }
}

fn serve(settings: Settings) -> io::Result<()> {
    quincewheel_log::open(&settings.name, settings.log_level).map_err(io::Error::other)?;
    let start = Instant::now();
    let incarnation: u64 = rand::random();
    let (commands, commands_in) = ring::open(MAX_QUEUED_COMMANDS);
    let (peers, peers_in) = ring::open(MAX_QUEUED_EVENTS);
    let (results, results_in) = ring::open(MAX_QUEUED_RESULTS);
    let hello = Hello { role: Role::Entry, name: settings.name.clone(), incarnation };
    let key = Key::new(settings.fleet_key.as_bytes());
    let hub =
        Hub::bind(&settings.listen, key, hello, peers, |event| event).map_err(io::Error::other)?;
    let traffic = hub.traffic();
    let service = Service::spawn(&settings.platform, TABLE_TIMEOUT, results, StoreResult)?;
    let status = Arc::new(Status::default());
    let node = Node::new(node_settings(&settings, incarnation));
    let events = settings.events.then(|| settings.name.clone());
    let inbox = Inbox { store_results: results_in, peer_events: peers_in, commands: commands_in };
    Driver::spawn(node, hub, service, Arc::clone(&status), events, inbox)?;
    let draining = Arc::new(AtomicBool::new(false));
    let machine = settings.machine;
    let intake = Intake::new(Limits::of_machine(machine.memory_bytes(), machine.descriptors()));
    let metrics = Arc::new(Metrics::new(Arc::clone(&status), traffic, &intake));
    let routes = routes(&settings, &commands, &status, metrics, &draining, start);
    let listener = Listener { address: &settings.rpc, purpose: Purpose::Calls };
    let server =
        Server::bind_all("rpc", &[listener], &intake, move |request| routes.clone().serve(request))
            .map_err(|error| {
                let text = format!("listen for callers on {}: {error}", settings.rpc);
                io::Error::new(error.kind(), text)
            })?;
    log::info!(step = "start", peer = settings.rpc.as_str(); "serving");
    let runtime = actix_rt::Runtime::new()?;
    runtime.block_on(async {
        wait_for_signal().await?;
        log::info!(step = "drain"; "shutting down");
        drain(&commands, &status, &draining, settings.drain_timeout).await;
        server.stop().await;
        log::info!(step = "drain"; "ended");
        Ok(())
    })
}

fn routes(
    settings: &Settings,
    commands: &ring::Sender<Command>,
    status: &Arc<Status>,
    metrics: Arc<Metrics>,
    draining: &Arc<AtomicBool>,
    start: Instant,
) -> Routes {
    Routes {
        name: settings.name.clone(),
        commands: commands.clone(),
        status: Arc::clone(status),
        metrics,
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
        operator_key_digest: settings.operator_key_digest.clone(),
        clock_origin,
        seed: incarnation,
        stop_grace: settings.stop_grace,
        limits: settings.limits,
        max_attempts: settings.max_attempts,
        retention: settings.retention,
        ..shard::Settings::default()
    }
}

async fn wait_for_signal() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

/// Refuses new calls, hands over the ownership and waits until every call in flight is answered,
/// for at most `bound`.
async fn drain(
    commands: &ring::Sender<Command>,
    status: &Status,
    draining: &AtomicBool,
    bound: Duration,
) {
    draining.store(true, Ordering::Relaxed);
    commands.send(Command::Drain).await;
    let end = Instant::now() + bound;
    // The driver publishes its status after each round. This delay covers two rounds, after which
    // the status reflects the drain.
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
