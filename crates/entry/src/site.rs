//! Entry of a deployment on the users' platform.
//!
//! Besides the hub's thread there are two: one accepts clients' calls; the other follows the
//! table, computes the replies and, while this entry owns the deployment, makes the scheduling
//! decisions.

mod backoff;
mod calls;
mod clearance;
mod client_call;
mod clients;
mod evacuation;
mod follow;
mod forward;
mod gate;
mod handover;
mod job_events;
mod job_state;
mod links;
mod machines;
mod metrics;
mod outline;
mod ownership;
mod queries;
mod record;
mod rpc;
mod skipped;
mod state;

use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quincewheel_conf::LocalSettings;
use quincewheel_http::{Intake, Limits, Listener, Purpose, Server};
use quincewheel_peer::{Event, Hub};
use quincewheel_platform as platform;
use quincewheel_ring as ring;
use quincewheel_wire::{Hello, Key, Notice, Role, Sent};

use crate::scheduling::Scheduling;

use self::client_call::{Demand, Inquiry};
use self::clients::Clients;
use self::gate::Gate;
use self::metrics::Metrics;
use self::state::{Shared, Site};

/// Capacity of the queue of calls to the decision thread; calls beyond it are refused at once.
const MAX_QUEUED_CALLS: usize = 4096;
/// Capacity of the queue of frames from other processes to the decision thread.
const MAX_QUEUED_FRAMES: usize = 4096;

/// Serves until the process receives a signal to terminate.
pub(crate) fn serve(
    settings: &Path,
    own: &LocalSettings,
    scheduling: Scheduling,
) -> io::Result<()> {
    let site = platform::read_settings(settings).map_err(io::Error::other)?;
    let Some(entry) = site.entry.clone() else {
        return Err(io::Error::other(
            "the settings name no address for clients; run the agent here",
        ));
    };
    quincewheel_log::open_lines(&site.name, own.log_level).map_err(io::Error::other)?;
    let incarnation: u64 = rand::random();
    let (calls, calls_in) = ring::open::<Demand>(MAX_QUEUED_CALLS);
    let (peers, peers_in) = ring::open::<Event<Notice>>(MAX_QUEUED_FRAMES);
    let hello = Hello { role: Role::Entry, name: site.name.clone(), incarnation };
    let key = Key::new(own.fleet_key.as_bytes());
    let hub: Hub<Sent> = Hub::bind(&site.peer_address, key, hello, peers, |event| event)
        .map_err(io::Error::other)?;
    let gate = Arc::new(Gate::default());
    let machine = own.machine.overridden(site.limits.memory_mb, site.limits.max_fds);
    let intake = Intake::new(Limits::of_machine(machine.memory_bytes(), machine.descriptors()));
    let metrics = Arc::new(Metrics::new(&intake, hub.traffic()));
    let metrics_address = format!("{}:{}", site.ip, own.metrics_port);
    let listeners = [
        Listener { address: &entry.clients, purpose: Purpose::Calls },
        Listener { address: &entry.ready, purpose: Purpose::Pages },
        Listener { address: &metrics_address, purpose: Purpose::Pages },
    ];
    let clients = Clients {
        calls,
        gate: Arc::clone(&gate),
        metrics: Arc::clone(&metrics),
        intake: intake.clone(),
    };
    Server::bind_all("callers", &listeners, &intake, move |request| {
        clients.clone().serve(request)
    })?;
    log::info!(event = "start", zone = site.zone.as_str(), peers = site.peer_address.as_str(); "entry");
    let path = settings.to_owned();
    let runtime = actix_rt::Runtime::new()?;
    runtime.block_on(async move {
        let shared: Shared =
            Rc::new(Site::new((site, scheduling), incarnation, hub, gate, metrics));
        actix_rt::spawn(links::announce(Rc::clone(&shared)));
        actix_rt::spawn(follow::follow_operator_rows(Rc::clone(&shared)));
        actix_rt::spawn(follow::follow_own_rows(Rc::clone(&shared)));
        actix_rt::spawn(links::process_events(Rc::clone(&shared), peers_in));
        actix_rt::spawn(ownership::run(Rc::clone(&shared)));
        actix_rt::spawn(clearance::run(Rc::clone(&shared)));
        actix_rt::spawn(machines::run(Rc::clone(&shared)));
        actix_rt::spawn(serve_calls(Rc::clone(&shared), calls_in));
        actix_rt::spawn(ownership::watch_settings(Rc::clone(&shared), path.clone()));
        quincewheel_conf::wait_for_shutdown(|| ownership::reload_settings(&shared, &path)).await?;
        let grace = Duration::from_millis(shared.bounds.get().grace);
        drain(&shared, grace).await;
        log::info!(event = "stop"; "ended");
        Ok(())
    })
}

async fn serve_calls(shared: Shared, demands: ring::Receiver<Demand>) {
    while let Some(demand) = demands.recv().await {
        // The receiver of a reply is dropped if the client has disconnected.
        match demand {
            Demand::Inquiry(Inquiry { protocol, reply }) => {
                let _ = reply.send(calls::check(&shared, &protocol));
            }
            Demand::Call(call) => {
                let shared = Rc::clone(&shared);
                actix_rt::spawn(async move {
                    let answer = calls::execute(&shared, &call).await;
                    let _ = call.reply.send(answer);
                });
            }
        }
    }
}

/// Hands over the ownership at once and keeps serving open connections for the grace period that
/// the platform allows, since clients use them until the process exits.
async fn drain(shared: &Shared, grace: Duration) {
    log::info!(event = "drain"; "shutting down");
    let started_at = tokio::time::Instant::now();
    shared.gate.drain();
    // The sleep below ends at a fixed time from the start: handing over takes more than a second
    // if the table does not answer, and adding that to the grace period would get the process
    // killed with calls in flight.
    handover::hand_over(shared).await;
    actix_rt::spawn(links::announce_leaving(Rc::clone(shared)));
    tokio::time::sleep_until(started_at + grace.saturating_sub(CLOSING_PERIOD)).await;
    shared.gate.close();
    // The timeout keeps a slow table from using up the time of the last calls.
    let _ = tokio::time::timeout(FINAL_PERIOD, handover::hand_over(shared)).await;
    let end = tokio::time::Instant::now() + FINAL_PERIOD;
    tokio::time::sleep(FINAL_PERIOD / 2).await;
    while shared.gate.active() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Part of the grace period in which each reply closes its connection. Covers the second attempt
/// to hand over and the last calls.
const CLOSING_PERIOD: Duration = Duration::from_millis(1200);
/// Time limit for calls that are still in flight at the end.
const FINAL_PERIOD: Duration = Duration::from_millis(500);
