//! An agent on the users' platform.
//!
//! One thread takes the worker's reports, one keeps the connections to the
//! system's other processes, and one carries orders to the worker.

mod health;
mod metrics;
mod started;

use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quincewheel_conf::Own;
use quincewheel_dispatch::rows::{self, Node};
use quincewheel_http::{Body, Reply, Request, Server};
use quincewheel_log::Limit;
use quincewheel_peer::{Command, Event, Hub};
use quincewheel_platform::{self as platform, Bounds, Report, SkippedEntry, Table};
use quincewheel_ring as ring;
use quincewheel_runner::{Announcement, Heartbeat, Output, Runner, Settings};
use quincewheel_store::Error;
use quincewheel_wire::{Hello, Key, Notice, Order, Role, list_starts};
use tokio::sync::Notify;

use self::health::Health;
use self::metrics::Metrics;
use self::started::Started;

/// Reports of the worker that may wait.
const REPORTS: usize = 256;
/// Frames of owners that may wait.
const PEERS: usize = 1024;
/// Largest report that is read.
const MAX_REPORT: usize = 4 << 20;
/// A write of the agent's own row is repeated after this time.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Reports in a row that a worker may miss before it is looked at.
const MISSED: u64 = 2;
/// How late a report may come, in milliseconds: a third of the usual time between two,
/// for agents and workers on a machine that is slow.
const LATE: u64 = 500;
/// What is left of the time for shutting down when the process ends.
const LAST: Duration = Duration::from_millis(500);

struct Agent {
    runner: RefCell<Runner>,
    hub: Hub<Notice>,
    worker: platform::WorkerClient,
    metrics: Arc<Metrics>,
    health: Health,
    started: Started,
    wake: Notify,
    /// The worker reported itself, or another incarnation of it is known.
    reported: Notify,
}

/// Serves until the process is told to end.
pub(crate) fn serve(settings: &Path, own: &Own) -> io::Result<()> {
    let site = platform::read_settings(settings).map_err(io::Error::other)?;
    let Some(side) = site.agent.clone() else {
        return Err(io::Error::other("the settings name no address for a worker's reports"));
    };
    quincewheel_log::open_lines(&site.name, own.log_level).map_err(io::Error::other)?;
    let (reports, reports_in) = ring::open::<Report>(REPORTS);
    let (peers, peers_in) = ring::open::<Event<Order>>(PEERS);
    let hello = Hello { role: Role::Agent, name: site.name.clone(), incarnation: rand::random() };
    let key = Key::new(own.fleet_key.as_bytes());
    let hub: Hub<Notice> = Hub::bind(&site.peer_address, key, hello, peers, |event| event)
        .map_err(io::Error::other)?;
    let metrics = Arc::new(Metrics::open());
    let shown = Arc::clone(&metrics);
    let metrics_address = format!("{}:{}", site.ip, own.metrics_port);
    Server::bind_all("reports", &[&side.reports, &metrics_address], move |request| {
        take(request, reports.clone(), Arc::clone(&shown))
    })?;
    log::info!(event = "start", zone = site.zone.as_str(), peers = site.peer_address.as_str(); "agent");
    let path = settings.to_owned();
    let runtime = actix_rt::Runtime::new()?;
    runtime.block_on(async move {
        let settings = bounded(&site.bounds);
        let agent = Rc::new(Agent {
            runner: RefCell::new(Runner::new(settings)),
            hub,
            worker: platform::WorkerClient::build(),
            metrics,
            health: Health::default(),
            started: Started::default(),
            wake: Notify::new(),
            reported: Notify::new(),
        });
        actix_rt::spawn(announce(Rc::clone(&agent), site.clone()));
        actix_rt::spawn(hear_worker(Rc::clone(&agent), reports_in));
        actix_rt::spawn(hear_owners(Rc::clone(&agent), peers_in));
        actix_rt::spawn(keep_time(Rc::clone(&agent)));
        let grace = Cell::new(site.bounds.grace);
        quincewheel_conf::ending(|| reload(&agent, &path, &grace)).await?;
        log::info!(event = "drain"; "shutting down");
        tokio::time::sleep(Duration::from_millis(grace.get()).saturating_sub(LAST)).await;
        log::info!(event = "stop"; "ended");
        Ok(())
    })
}

/// What the platform's bounds mean for the runner.
fn bounded(bounds: &Bounds) -> Settings {
    let heartbeat_timeout = MISSED * bounds.reports + LATE;
    Settings { lease: bounds.lease, heartbeat_timeout, ..Settings::default() }
}

/// Takes in the settings file as it is now. Addresses stay as they were until the
/// next start.
fn reload(agent: &Agent, path: &Path, grace: &Cell<u64>) {
    match platform::read_settings(path) {
        Ok(read) => {
            log::info!(event = "reload"; "{:?}", read.bounds);
            grace.set(read.bounds.grace);
            agent.runner.borrow_mut().update_settings(bounded(&read.bounds));
        }
        Err(error) => log::warn!(event = "reload"; "{error}; the former settings stay"),
    }
}

/// Takes a report. It is acknowledged once it is on its way to the thread
/// that refuses starts at a worker which leaves.
async fn take(mut request: Request, reports: ring::Sender<Report>, metrics: Arc<Metrics>) -> Reply {
    if request.path() == quincewheel_http::METRICS {
        return quincewheel_http::metrics(metrics.page());
    }
    let method = request.method().as_str().to_owned();
    let path = request.path().to_owned();
    let Body::Whole(body) = quincewheel_http::read(&mut request, MAX_REPORT).await else {
        return quincewheel_http::reply(413, "application/json", "{}");
    };
    let status = match platform::decode_report(&method, &path, &body) {
        None => 404,
        Some(Err(detail)) => {
            metrics.left_out(&detail, quincewheel_clock::boot());
            400
        }
        Some(Ok(report)) => match reports.try_send(report) {
            Ok(()) => 200,
            Err(_) => 503,
        },
    };
    quincewheel_http::reply(status, "application/json", "{}")
}

/// Writes where this agent is, so that owners find it: once its worker has
/// reported, and again while it reports and no owner speaks to this agent. An
/// owner drops the row of an agent that it could not reach for long.
async fn announce(agent: Rc<Agent>, site: platform::Settings) {
    let node = Node { address: site.peer_address.clone(), ..Node::default() };
    let commit = rows::announcement(&site.name, &node);
    let limit = Limit::default();
    let skip = move |SkippedEntry { list, detail }| {
        if let Some(held) = limit.pass(quincewheel_clock::boot()) {
            log::warn!(event = "entry left out", list = list, untold = held; "{detail}");
        }
    };
    let table = Table::new(&site.table_address, Rc::new(skip));
    let failed = |error: &Error| log::warn!(event = "table"; "{error}");
    let mut announcement = Announcement::unwritten();
    loop {
        let now = quincewheel_clock::boot();
        let incarnations = agent.runner.borrow().incarnation_count();
        let due = announcement.next_write(&agent.runner.borrow(), rand::random(), now);
        match due {
            None => agent.reported.notified().await,
            Some(at) if at > now => {
                let wait = Duration::from_millis(at - now);
                let _ = tokio::time::timeout(wait, agent.reported.notified()).await;
            }
            Some(_) => {
                table.commit_with_retry(&commit, TIMEOUT, failed).await;
                announcement.on_written(incarnations);
            }
        }
    }
}

async fn hear_worker(agent: Rc<Agent>, reports: ring::Receiver<Report>) {
    while let Some(report) = reports.recv().await {
        let now = quincewheel_clock::boot();
        match report {
            Report::Heartbeat { worker, address, clock, number } => {
                agent.started.note(&worker);
                let heartbeat = Heartbeat { worker: &worker, address: &address, clock, number };
                agent.runner.borrow_mut().on_heartbeat(&heartbeat, now);
                agent.reported.notify_one();
            }
            Report::Leave { worker } => agent.runner.borrow_mut().on_leave(&worker, now),
        }
        carry_out(&agent);
        agent.wake.notify_one();
    }
}

async fn hear_owners(agent: Rc<Agent>, events: ring::Receiver<Event<Order>>) {
    while let Some(event) = events.recv().await {
        let now = quincewheel_clock::boot();
        match event {
            Event::Frame { link, frame } => agent.runner.borrow_mut().on_order(link, frame, now),
            Event::Unlinked { link } => agent.runner.borrow_mut().on_disconnected(link),
            Event::Linked { .. } | Event::Undialled { .. } => {}
        }
        carry_out(&agent);
        agent.wake.notify_one();
    }
}

/// Lets time pass for the runner.
async fn keep_time(agent: Rc<Agent>) {
    loop {
        let now = quincewheel_clock::boot();
        agent.runner.borrow_mut().tick(now);
        agent.metrics.epoch.set(agent.runner.borrow().epoch() as i64);
        carry_out(&agent);
        let now = quincewheel_clock::boot();
        let wake = agent.runner.borrow().next_tick(now);
        let pause = Duration::from_millis(wake.saturating_sub(now).max(5));
        let _ = tokio::time::timeout(pause, agent.wake.notified()).await;
    }
}

/// Carries out what the runner wants.
fn carry_out(agent: &Rc<Agent>) {
    let outputs = agent.runner.borrow_mut().take_outputs();
    for output in outputs {
        match output {
            Output::Send { link, notice } => {
                if let Notice::Broke { worker, starts } = &notice {
                    let (worker, starts) = (worker.id.as_str(), list_starts(starts));
                    log::info!(event = "worker broke", worker = worker; "just after {starts}");
                }
                if !agent.hub.ask(Command::Send { link, frame: notice }) {
                    log::warn!(event = "hub full", link = link; "connection closed");
                    agent.hub.ask(Command::Close { link, reason: "too many notices wait" });
                }
            }
            Output::Close { link } => {
                agent.hub.ask(Command::Close { link, reason: "a later owner" });
            }
            Output::Call { id, call } => {
                let agent = Rc::clone(agent);
                actix_rt::spawn(async move {
                    let began = quincewheel_clock::boot();
                    let answer = agent.worker.call(&call).await;
                    let ms = quincewheel_clock::boot() - began;
                    agent.metrics.count(&call.action, &answer, ms);
                    let now = quincewheel_clock::boot();
                    agent.health.note(&call, &answer, now);
                    let incarnations = agent.runner.borrow().incarnation_count();
                    agent.runner.borrow_mut().on_reply(id, answer, now);
                    if agent.runner.borrow().incarnation_count() != incarnations {
                        agent.reported.notify_one();
                    }
                    carry_out(&agent);
                    agent.wake.notify_one();
                });
            }
        }
    }
}
