//! An entry on the users' platform.
//!
//! Two threads beside the hub's: one takes clients' calls, the other follows
//! the table, answers, and, if this entry owns the deployment, decides.

mod advise;
mod asks;
mod calls;
mod dials;
mod evacuation;
mod follow;
mod gate;
mod handover;
mod links;
mod looks;
mod metrics;
mod news;
mod own;
mod record;
mod rpc;
mod skips;
mod state;
mod stores;
mod upkeep;
mod work;

use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quincewheel_conf::Own;
use quincewheel_http::{Reply, Request, Server};
use quincewheel_job::Answer;
use quincewheel_peer::{Event, Hub};
use quincewheel_platform as platform;
use quincewheel_ring as ring;
use quincewheel_wire::{Hello, Key, Notice, Role, Sent};
use tokio::sync::oneshot;

use self::gate::Gate;
use self::metrics::Metrics;
use self::state::{Shared, Site};
use self::work::{Form, Work};

/// Calls that may wait for the deciding thread; more are refused at once.
const WORK: usize = 4096;
/// Frames of agents that may wait for the deciding thread.
const PEERS: usize = 4096;
/// Largest body that is read at all; the configuration may allow less.
const MAX_BODY: usize = 1 << 20;

/// Serves until the process is told to end.
pub(crate) fn serve(settings: &Path, own: &Own) -> io::Result<()> {
    let site = platform::read_settings(settings).map_err(io::Error::other)?;
    let Some(entry) = site.entry.clone() else {
        return Err(io::Error::other(
            "the settings name no address for clients; run the agent here",
        ));
    };
    quincewheel_log::open_lines(&site.name, own.log_level).map_err(io::Error::other)?;
    let incarnation: u64 = rand::random();
    let (work, work_in) = ring::open::<Work>(WORK);
    let (peers, peers_in) = ring::open::<Event<Notice>>(PEERS);
    let hello = Hello { role: Role::Entry, name: site.name.clone(), incarnation };
    let key = Key::new(own.fleet_key.as_bytes());
    let hub: Hub<Sent> = Hub::bind(&site.peer_address, key, hello, peers, |event| event)
        .map_err(io::Error::other)?;
    let gate = Arc::new(Gate::default());
    let entrance = Arc::clone(&gate);
    let metrics = Arc::new(Metrics::open());
    let shown = Arc::clone(&metrics);
    let metrics_address = format!("{}:{}", site.ip, own.metrics_port);
    let addresses = [&entry.clients, &entry.ready, &metrics_address].map(String::as_str);
    Server::bind_all("callers", &addresses, move |request| {
        take(request, work.clone(), Arc::clone(&entrance), Arc::clone(&shown))
    })?;
    log::info!(event = "start", zone = site.zone.as_str(), peers = site.peer_address.as_str(); "entry");
    let path = settings.to_owned();
    let runtime = actix_rt::Runtime::new()?;
    runtime.block_on(async move {
        let shared: Shared = Rc::new(Site::open(site, incarnation, hub, gate, metrics));
        actix_rt::spawn(links::announce(Rc::clone(&shared)));
        actix_rt::spawn(follow::configuration(Rc::clone(&shared)));
        actix_rt::spawn(follow::own_rows(Rc::clone(&shared)));
        actix_rt::spawn(links::listen(Rc::clone(&shared), peers_in));
        actix_rt::spawn(own::run(Rc::clone(&shared)));
        actix_rt::spawn(advise::run(Rc::clone(&shared)));
        actix_rt::spawn(upkeep::run(Rc::clone(&shared)));
        actix_rt::spawn(answer(Rc::clone(&shared), work_in));
        actix_rt::spawn(own::watch(Rc::clone(&shared), path.clone()));
        quincewheel_conf::ending(|| own::reload(&shared, &path)).await?;
        let grace = Duration::from_millis(shared.bounds.get().grace);
        drain(&shared, grace).await;
        log::info!(event = "stop"; "ended");
        Ok(())
    })
}

/// Hands a call to the deciding thread and waits for its answer.
async fn take(
    mut request: Request,
    work: ring::Sender<Work>,
    gate: Arc<Gate>,
    metrics: Arc<Metrics>,
) -> Reply {
    if request.path() == quincewheel_http::METRICS {
        return quincewheel_http::metrics(metrics.page());
    }
    if request.path() == platform::READY_PATH {
        let status = if gate.ready() { 200 } else { 503 };
        return quincewheel_http::reply(status, "text/plain", "");
    }
    gate.enter();
    let mut reply = pass(&mut request, &work).await;
    gate.leave();
    if gate.closing() {
        quincewheel_http::close(&mut reply);
    }
    reply
}

async fn pass(request: &mut Request, work: &ring::Sender<Work>) -> Reply {
    let form = Form::of(request);
    let (reply, answer) = oneshot::channel();
    let body = quincewheel_http::read(request, MAX_BODY).await;
    if work.try_send(Work { form: form.clone(), body, reply }).is_err() {
        return form.encode(&Answer::Unavailable(1000));
    }
    form.encode(&answer.await.unwrap_or(Answer::Unclear))
}

async fn answer(shared: Shared, work: ring::Receiver<Work>) {
    while let Some(item) = work.recv().await {
        let shared = Rc::clone(&shared);
        actix_rt::spawn(async move {
            let answer = calls::answer(&shared, &item).await;
            // A client that went away needs no answer.
            let _ = item.reply.send(answer);
        });
    }
}

/// Hands the ownership over at once and serves open connections for as long
/// as the platform allows: clients keep using them until the process is gone.
async fn drain(shared: &Shared, grace: Duration) {
    log::info!(event = "drain"; "shutting down");
    let begin = tokio::time::Instant::now();
    shared.gate.drain();
    // A table that does not answer holds the hand-over up for over a second,
    // which must not be added to the time: the process would be killed with
    // calls in flight.
    handover::hand_over(shared).await;
    actix_rt::spawn(links::retire(Rc::clone(shared)));
    tokio::time::sleep_until(begin + grace.saturating_sub(CLOSING)).await;
    shared.gate.close();
    // A table that is slow must not cost the time that the last calls have.
    let _ = tokio::time::timeout(LAST, handover::hand_over(shared)).await;
    let end = tokio::time::Instant::now() + LAST;
    tokio::time::sleep(LAST / 2).await;
    while shared.gate.active() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// What is left of the time for shutting down when clients are asked to leave
/// with each answer. Covers the second hand-over and the last calls.
const CLOSING: Duration = Duration::from_millis(1200);
/// The longest time for the calls that are then still without an answer.
const LAST: Duration = Duration::from_millis(500);
