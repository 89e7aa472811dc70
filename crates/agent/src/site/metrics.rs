use std::sync::{Arc, Mutex};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use quincewheel_http::Intake;
use quincewheel_log::Limit;
use quincewheel_peer::Traffic;
use quincewheel_runner::{Action, Fault, Reply};

/// The metrics of an agent on the platform.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    calls: Family<Call, Counter>,
    latency: Histogram,
    invalid_reports: Counter,
    log_limit: Limit,
    traffic: Arc<Traffic>,
    displaced_handshakes: Gauge,
    /// The epoch of the owner that the agent follows.
    pub epoch: Gauge,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Call {
    action: &'static str,
    outcome: &'static str,
}

/// The upper bound of the first latency bucket, in seconds, and the number of buckets, each twice as
/// wide as the one before: 0.5 ms to 1 s.
const LATENCY_BUCKETS: (f64, u16) = (0.0005, 12);

impl Metrics {
    /// Creates the metrics, with those of `intake` and of the connections to other processes.
    pub fn build(intake: &Intake, traffic: Arc<Traffic>) -> Metrics {
        let mut registry = Registry::with_prefix("quincewheel_agent");
        intake.register(&mut registry);
        let calls = Family::<Call, Counter>::default();
        registry.register(
            "worker_calls",
            "Calls to the worker by action and outcome",
            calls.clone(),
        );
        let (first, count) = LATENCY_BUCKETS;
        let latency = Histogram::new(exponential_buckets(first, 2.0, count));
        let help = "Time from a start or stop to the worker's answer";
        registry.register_with_unit("order_duration", help, Unit::Seconds, latency.clone());
        let epoch = Gauge::default();
        registry.register("epoch", "Epoch of the owner that the agent follows", epoch.clone());
        let invalid_reports = Counter::default();
        let help = "Reports of workers that could not be read and were left out";
        registry.register("reports_left_out", help, invalid_reports.clone());
        let displaced_handshakes = Gauge::default();
        let help = "Handshakes of other processes that were ended for newer ones";
        registry.register("peer_handshakes_displaced", help, displaced_handshakes.clone());
        let (registry, log_limit) = (Mutex::new(registry), Limit::default());
        Metrics {
            registry,
            calls,
            latency,
            invalid_reports,
            log_limit,
            traffic,
            displaced_handshakes,
            epoch,
        }
    }

    /// Counts a call to the worker. The duration `ms`, in milliseconds, is observed for starts and
    /// stops only.
    pub fn count(&self, action: &Action, reply: &Result<Reply, Fault>, ms: u64) {
        let (action, is_order) = match action {
            Action::Start { .. } => ("start", true),
            Action::Stop { .. } => ("stop", true),
            Action::Pace { .. } => ("pace", false),
            Action::Hold { .. } => ("hold", false),
            Action::List => ("list", false),
        };
        let outcome = match reply {
            Ok(Reply::Refused(_)) => "refused",
            Ok(_) => "done",
            Err(Fault::Unsent { .. }) => "unsent",
            Err(Fault::Unclear { .. }) => "silent",
        };
        self.calls.get_or_create(&Call { action, outcome }).inc();
        if is_order {
            self.latency.observe(ms as f64 / 1000.0);
        }
    }

    /// Counts a report that cannot be decoded. Not all of them are logged, since the sender may send
    /// them at any rate.
    pub fn count_invalid_report(&self, detail: &str, now: u64) {
        self.invalid_reports.inc();
        if let Some(suppressed) = self.log_limit.allow(now) {
            log::warn!(event = "report left out", untold = suppressed; "{detail}");
        }
    }

    /// Renders the metrics page in the OpenMetrics text format.
    pub fn page(&self) -> String {
        self.displaced_handshakes.set(self.traffic.displaced() as i64);
        let registry = self.registry.lock().unwrap_or_else(|lock| lock.into_inner());
        let mut text = String::new();
        encode(&mut text, &registry).expect("writing to a string cannot fail");
        text
    }
}
