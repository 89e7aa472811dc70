//! The agent as it runs on the users' platform.
//!
//! One thread receives the worker's heartbeats, one keeps the connections to the system's other
//! processes, and one runs the [`Runner`] and sends its calls to the worker.

mod health_log;
mod metrics;
mod start_log;

use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quincewheel_conf::LocalSettings;
use quincewheel_dispatch::rows::{self, Node};
use quincewheel_http::{Body, Intake, Limits, Listener, Purpose, Reply, Request, Server};
use quincewheel_log::Limit;
use quincewheel_peer::{Command, Event, Hub};
use quincewheel_platform::{self as platform, Bounds, Report, SkippedEntry, Table};
use quincewheel_ring as ring;
use quincewheel_runner::{Announcement, Heartbeat, Output, Runner, Settings};
use quincewheel_store::Error;
use quincewheel_wire::{Hello, Key, Notice, Order, Role, list_causes};
use tokio::sync::Notify;

use self::health_log::HealthLog;
use self::metrics::Metrics;
use self::start_log::StartLog;

/// Capacity of the ring of the worker's reports.
const REPORT_QUEUE_LEN: usize = 256;
/// Capacity of the ring of peer events.
const PEER_QUEUE_LEN: usize = 1024;
/// Largest body of a report that is accepted, in bytes.
const MAX_REPORT_BYTES: usize = 4 << 20;
/// A write of the agent's own row that is not answered within this time has failed.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of heartbeats in a row that a worker may miss before it is polled.
const MAX_MISSED_HEARTBEATS: u64 = 2;
/// How late a heartbeat may arrive, in milliseconds. It is a third of the default interval, so that
/// agents and workers on a slow machine have some slack.
const HEARTBEAT_SLACK_MS: u64 = 500;
/// The process exits this long before its grace period ends.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

struct Agent {
    runner: RefCell<Runner>,
    hub: Hub<Notice>,
    worker_client: platform::WorkerClient,
    metrics: Arc<Metrics>,
    health_log: HealthLog,
    start_log: StartLog,
    /// Notified when the runner's next tick may have become earlier.
    wake: Notify,
    /// Notified when the worker has sent a heartbeat or another incarnation of it becomes known.
    worker_changed: Notify,
}

/// Runs the agent until the process receives a signal to terminate.
pub(crate) fn serve(settings: &Path, own: &LocalSettings) -> io::Result<()> {
    let config = platform::read_settings(settings).map_err(io::Error::other)?;
    let Some(listener) = config.agent.clone() else {
        return Err(io::Error::other("the settings name no address for a worker's reports"));
    };
    quincewheel_log::open_lines(&config.name, own.log_level).map_err(io::Error::other)?;
    let (reports, reports_in) = ring::open::<Report>(REPORT_QUEUE_LEN);
    let (peers, peers_in) = ring::open::<Event<Order>>(PEER_QUEUE_LEN);
    let hello = Hello { role: Role::Agent, name: config.name.clone(), incarnation: rand::random() };
    let key = Key::new(own.fleet_key.as_bytes());
    let hub: Hub<Notice> = Hub::bind(&config.peer_address, key, hello, peers, |event| event)
        .map_err(io::Error::other)?;
    let machine = own.machine.overridden(config.limits.memory_mb, config.limits.max_fds);
    let intake = Intake::new(Limits::of_machine(machine.memory_bytes(), machine.descriptors()));
    let metrics = Arc::new(Metrics::build(&intake, hub.traffic()));
    let page_metrics = Arc::clone(&metrics);
    let metrics_address = format!("{}:{}", config.ip, own.metrics_port);
    let listeners = [
        Listener { address: &listener.reports, purpose: Purpose::Calls },
        Listener { address: &metrics_address, purpose: Purpose::Pages },
    ];
    Server::bind_all("reports", &listeners, &intake, move |request| {
        receive_report(request, reports.clone(), Arc::clone(&page_metrics))
    })?;
    log::info!(event = "start", zone = config.zone.as_str(), peers = config.peer_address.as_str(); "agent");
    let path = settings.to_owned();
    let runtime = actix_rt::Runtime::new()?;
    runtime.block_on(async move {
        let settings = runner_settings(&config.bounds);
        let agent = Rc::new(Agent {
            runner: RefCell::new(Runner::new(settings)),
            hub,
            worker_client: platform::WorkerClient::build(),
            metrics,
            health_log: HealthLog::default(),
            start_log: StartLog::default(),
            wake: Notify::new(),
            worker_changed: Notify::new(),
        });
        actix_rt::spawn(announce(Rc::clone(&agent), config.clone()));
        actix_rt::spawn(process_reports(Rc::clone(&agent), reports_in));
        actix_rt::spawn(process_peer_events(Rc::clone(&agent), peers_in));
        actix_rt::spawn(run_ticks(Rc::clone(&agent)));
        let grace = Cell::new(config.bounds.grace);
        quincewheel_conf::wait_for_shutdown(|| reload(&agent, &path, &grace)).await?;
        log::info!(event = "drain"; "shutting down");
        tokio::time::sleep(Duration::from_millis(grace.get()).saturating_sub(EXIT_MARGIN)).await;
        log::info!(event = "stop"; "ended");
        Ok(())
    })
}

/// Derives the runner's settings from the platform's bounds.
fn runner_settings(bounds: &Bounds) -> Settings {
    let heartbeat_timeout = MAX_MISSED_HEARTBEATS * bounds.reports + HEARTBEAT_SLACK_MS;
    Settings { lease: bounds.lease, heartbeat_timeout, ..Settings::default() }
}

/// Applies the settings file as it is now. Addresses change only with a restart of the process.
fn reload(agent: &Agent, path: &Path, grace: &Cell<u64>) {
    match platform::read_settings(path) {
        Ok(config) => {
            log::info!(event = "reload"; "{:?}", config.bounds);
            grace.set(config.bounds.grace);
            agent.runner.borrow_mut().update_settings(runner_settings(&config.bounds));
        }
        Err(error) => log::warn!(event = "reload"; "{error}; keeping the previous settings"),
    }
}

/// Receives a report of the worker. The report is acknowledged once it is queued for the runner's
/// thread, which refuses starts at a worker that is leaving.
async fn receive_report(
    mut request: Request,
    reports: ring::Sender<Report>,
    metrics: Arc<Metrics>,
) -> Reply {
    if request.path() == quincewheel_http::METRICS {
        return quincewheel_http::metrics(metrics.page());
    }
    let method = request.method().as_str().to_owned();
    let path = request.path().to_owned();
    let body = match quincewheel_http::read(&mut request, MAX_REPORT_BYTES).await {
        Body::Whole(body) => body,
        Body::Refused => return quincewheel_http::reply(503, "application/json", "{}"),
        Body::Oversized | Body::Cut => {
            return quincewheel_http::reply(413, "application/json", "{}");
        }
    };
    let status = match platform::decode_report(&method, &path, &body) {
        None => 404,
        Some(Err(detail)) => {
            metrics.count_invalid_report(&detail, quincewheel_clock::boot());
            400
        }
        Some(Ok(report)) => match reports.try_send(report) {
            Ok(()) => 200,
            Err(_) => 503,
        },
    };
    quincewheel_http::reply(status, "application/json", "{}")
}

/// Writes the row from which owners learn this agent's address. It is written once the worker has
/// sent a heartbeat, and again while the worker sends heartbeats but no owner is connected, since
/// an owner removes the row of an agent that it could not reach for long.
async fn announce(agent: Rc<Agent>, config: platform::Settings) {
    let node = Node { address: config.peer_address.clone(), ..Node::default() };
    let commit = rows::announcement(&config.name, &node);
    let log_limit = Limit::default();
    let skip = move |SkippedEntry { list, detail }| {
        if let Some(suppressed) = log_limit.allow(quincewheel_clock::boot()) {
            log::warn!(event = "entry left out", list = list, untold = suppressed; "{detail}");
        }
    };
    let table = Table::new(&config.table_address, config.table_limits, Rc::new(skip));
    let log_failure = |error: &Error| log::warn!(event = "table"; "{error}");
    let mut announcement = Announcement::unwritten();
    loop {
        let now = quincewheel_clock::boot();
        let incarnations = agent.runner.borrow().incarnation_count();
        let next_write = announcement.next_write(&agent.runner.borrow(), rand::random(), now);
        match next_write {
            None => agent.worker_changed.notified().await,
            Some(at) if at > now => {
                let wait = Duration::from_millis(at - now);
                let _ = tokio::time::timeout(wait, agent.worker_changed.notified()).await;
            }
            Some(_) => {
                table.commit_with_retry(&commit, WRITE_TIMEOUT, log_failure).await;
                announcement.on_written(incarnations);
            }
        }
    }
}

/// Passes the worker's reports to the runner.
async fn process_reports(agent: Rc<Agent>, reports: ring::Receiver<Report>) {
    while let Some(report) = reports.recv().await {
        let now = quincewheel_clock::boot();
        match report {
            Report::Heartbeat { worker, address, clock, number } => {
                agent.start_log.record(&worker);
                let heartbeat = Heartbeat { worker: &worker, address: &address, clock, number };
                agent.runner.borrow_mut().on_heartbeat(&heartbeat, now);
                agent.worker_changed.notify_one();
            }
            Report::Leave { worker } => agent.runner.borrow_mut().on_leave(&worker, now),
        }
        carry_out(&agent);
        agent.wake.notify_one();
    }
}

/// Passes the owners' orders to the runner.
async fn process_peer_events(agent: Rc<Agent>, events: ring::Receiver<Event<Order>>) {
    while let Some(event) = events.recv().await {
        let now = quincewheel_clock::boot();
        match event {
            Event::Frame { link, frame } => agent.runner.borrow_mut().on_order(link, frame, now),
            Event::Disconnected { link } => agent.runner.borrow_mut().on_disconnected(link),
            Event::Connected { .. } | Event::DialFailed { .. } => {}
        }
        carry_out(&agent);
        agent.wake.notify_one();
    }
}

/// Calls the runner's tick whenever it is due.
async fn run_ticks(agent: Rc<Agent>) {
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

/// Carries out the runner's outputs.
fn carry_out(agent: &Rc<Agent>) {
    let outputs = agent.runner.borrow_mut().take_outputs();
    for output in outputs {
        match output {
            Output::Send { link, notice } => {
                if let Notice::Broke { worker, starts, possible } = &notice {
                    let (worker, causes) = (worker.id.as_str(), list_causes(starts, possible));
                    log::info!(event = "worker broke", worker = worker; "just after {causes}");
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
                    let called_at = quincewheel_clock::boot();
                    let reply = agent.worker_client.call(&call).await;
                    let ms = quincewheel_clock::boot() - called_at;
                    agent.metrics.count(&call.action, &reply, ms);
                    let now = quincewheel_clock::boot();
                    agent.health_log.record(&call, &reply, now);
                    let incarnations = agent.runner.borrow().incarnation_count();
                    agent.runner.borrow_mut().on_reply(id, reply, now);
                    if agent.runner.borrow().incarnation_count() != incarnations {
                        agent.worker_changed.notify_one();
                    }
                    carry_out(&agent);
                    agent.wake.notify_one();
                });
            }
        }
    }
}
