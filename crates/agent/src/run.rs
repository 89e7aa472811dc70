use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quincewheel_conf::LocalSettings;
use quincewheel_grant::{self as grant, Grantor, Input};
use quincewheel_http::{Intake, Limits, Listener, Purpose, Reply, Server};
use quincewheel_peer::{Hub, Traffic};
use quincewheel_ring as ring;
use quincewheel_store::Service;
use quincewheel_wire::{Hello, Key, Role};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

use crate::endpoint::Endpoint;
use crate::grantor_thread::{GrantorThread, Inbox, Status};
use crate::metrics;
use crate::settings::{DEFINITIONS, PROGRAM, Settings};
use crate::site;

/// Capacity of the ring of peer events.
const PEER_QUEUE_LEN: usize = 1024;
/// Capacity of the ring of the grantor's inputs.
const INPUT_QUEUE_LEN: usize = 1024;
/// Capacity of the ring of results of reads.
const READ_QUEUE_LEN: usize = 16;
/// A read of the table that is not answered within this time has failed.
const TABLE_TIMEOUT: Duration = Duration::from_millis(2000);

/// Runs the agent with the arguments of its command line.
pub fn run(args: &[String]) -> ExitCode {
    let (command, values) = match PROGRAM.launch(args) {
        Ok(launched) => launched,
        Err(code) => return code,
    };
    if let Some(path) = quincewheel_platform::settings_path().filter(|_| command == "serve") {
        return match LocalSettings::resolve(&values) {
            Err(errors) => PROGRAM.report_errors(&errors),
            Ok(own) => PROGRAM.report_result(site::serve(&path, &own)),
        };
    }
    match Settings::resolve(&values) {
        Err(errors) => PROGRAM.report_errors(&errors),
        Ok(_) if command == "check" => {
            print!("{}", values.show(DEFINITIONS));
            ExitCode::SUCCESS
        }
        Ok(settings) => PROGRAM.report_result(serve(settings)),
    }
}

fn serve(settings: Settings) -> io::Result<()> {
    let worker = settings.member.worker.clone();
    quincewheel_log::open(&worker, settings.log_level).map_err(io::Error::other)?;
    let (peers, peers_in) = ring::open(PEER_QUEUE_LEN);
    let (inputs, inputs_in) = ring::open(INPUT_QUEUE_LEN);
    let (reads, reads_in) = ring::open(READ_QUEUE_LEN);
    let hello = Hello { role: Role::Agent, name: worker.clone(), incarnation: rand::random() };
    let key = Key::new(settings.fleet_key.as_bytes());
    let hub = Hub::bind(&settings.member.address, key, hello, peers, |event| event)
        .map_err(io::Error::other)?;
    let traffic = hub.traffic();
    let service =
        Service::spawn(&settings.platform_address, TABLE_TIMEOUT, reads, |_, result| result)?;
    let endpoint =
        Endpoint::spawn(&settings.endpoint_address, &settings.platform_address, inputs.clone())?;
    let status = Arc::new(Status::default());
    let grantor = Grantor::new(grant::Settings {
        member: settings.member.clone(),
        seed: rand::random(),
        ..grant::Settings::default()
    });
    let events = settings.events.then_some(worker);
    let inbox = Inbox { peers: peers_in, reads: reads_in, inputs: inputs_in };
    GrantorThread::spawn(grantor, hub, service, endpoint, Arc::clone(&status), events, inbox)?;
    let page_status = Arc::clone(&status);
    let machine = settings.machine;
    let intake = Intake::new(Limits::of_machine(machine.memory_bytes(), machine.descriptors()));
    let page_intake = intake.clone();
    let listener = Listener { address: &settings.pages_address, purpose: Purpose::Pages };
    let _pages = Server::bind_all("pages", &[listener], &intake, move |request| {
        let reply = serve_page(request.path(), &page_status, &traffic, &page_intake);
        async move { reply }
    })?;
    log::info!(step = "start", peer = settings.member.address.as_str(); "serving");
    let runtime = actix_rt::Runtime::new()?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        log::info!(step = "drain"; "shutting down");
        drain(&inputs, &status, settings.drain_timeout).await;
        log::info!(step = "drain"; "ended");
        Ok(())
    })
}

/// Stops accepting tasks and waits until all that run have ended and the owner has recorded their
/// ends, for `timeout` at most.
async fn drain(inputs: &ring::Sender<Input>, status: &Status, timeout: Duration) {
    inputs.send(Input::Drain).await;
    let deadline = Instant::now() + timeout;
    tokio::time::sleep(Duration::from_millis(300)).await;
    while !status.is_idle.load(Ordering::Relaxed) && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // Gives the last frames time to be sent before the process exits.
    tokio::time::sleep(Duration::from_millis(100)).await;
}

fn serve_page(path: &str, status: &Status, traffic: &Arc<Traffic>, intake: &Intake) -> Reply {
    let text = "text/plain; charset=utf-8";
    match path {
        "/healthz" => quincewheel_http::reply(200, text, "alive\n"),
        "/readyz" if status.has_owner.load(Ordering::Relaxed) => {
            quincewheel_http::reply(200, text, "ready\n")
        }
        "/readyz" => quincewheel_http::reply(503, text, "not ready: no owner is connected\n"),
        "/metrics" => {
            let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            quincewheel_http::reply(200, kind, metrics::page(status, traffic, intake))
        }
        _ => quincewheel_http::reply(404, text, "no such page\n"),
    }
}
