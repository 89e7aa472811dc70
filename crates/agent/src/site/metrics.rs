use std::sync::Mutex;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use quincewheel_log::Limit;
use quincewheel_runner::{Action, Fault, Reply};

/// What the metrics page of an agent on the platform shows.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    calls: Family<Call, Counter>,
    latency: Histogram,
    reports: Counter,
    limit: Limit,
    /// The epoch of the owner that the agent follows.
    pub epoch: Gauge,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Call {
    action: &'static str,
    outcome: &'static str,
}

/// Shortest latency that is told apart, in seconds, and how many doublings
/// follow: 0.5 ms to 1 s.
const LATENCY: (f64, u16) = (0.0005, 12);

impl Metrics {
    pub fn open() -> Metrics {
        let mut registry = Registry::with_prefix("quincewheel_agent");
        let calls = Family::<Call, Counter>::default();
        registry.register(
            "worker_calls",
            "Calls to the worker by action and outcome",
            calls.clone(),
        );
        let (first, steps) = LATENCY;
        let latency = Histogram::new(exponential_buckets(first, 2.0, steps));
        let help = "Time from a start or stop to the worker's answer";
        registry.register_with_unit("order_duration", help, Unit::Seconds, latency.clone());
        let epoch = Gauge::default();
        registry.register("epoch", "Epoch of the owner that the agent follows", epoch.clone());
        let reports = Counter::default();
        let help = "Reports of workers that could not be read and were left out";
        registry.register("reports_left_out", help, reports.clone());
        let (registry, limit) = (Mutex::new(registry), Limit::default());
        Metrics { registry, calls, latency, reports, limit, epoch }
    }

    /// Counts a call that took so many milliseconds.
    pub fn count(&self, action: &Action, answer: &Result<Reply, Fault>, ms: u64) {
        let (action, order) = match action {
            Action::Start { .. } => ("start", true),
            Action::Stop { .. } => ("stop", true),
            Action::Pace { .. } => ("pace", false),
            Action::Hold { .. } => ("hold", false),
        };
        let outcome = match answer {
            Ok(Reply::Refused(_)) => "refused",
            Ok(_) => "done",
            Err(Fault::Unsent { .. }) => "unsent",
            Err(Fault::Unclear { .. }) => "silent",
        };
        self.calls.get_or_create(&Call { action, outcome }).inc();
        if order {
            self.latency.observe(ms as f64 / 1000.0);
        }
    }

    /// Counts a report that cannot be read, and logs some of them: whoever writes
    /// them may do so at any rate.
    pub fn left_out(&self, detail: &str, now: u64) {
        self.reports.inc();
        if let Some(held) = self.limit.allow(now) {
            log::warn!(event = "report left out", untold = held; "{detail}");
        }
    }

    /// The page, in the OpenMetrics text format.
    pub fn page(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(|lock| lock.into_inner());
        let mut text = String::new();
        encode(&mut text, &registry).expect("writing to a string cannot fail");
        text
    }
}
