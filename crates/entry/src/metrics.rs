use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use quincewheel_http::Intake;
use quincewheel_peer::Traffic;

use crate::driver::Status;

/// Metrics of an entry, served at `/metrics`. Counters are kept here; gauges are read from the
/// other threads' status for each request.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    calls: Family<Labels, Counter>,
    latency: Histogram,
    gauges: Gauges,
    status: Arc<Status>,
    traffic: Arc<Traffic>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Labels {
    method: String,
    outcome: String,
}

#[derive(Default)]
struct Gauges {
    owner: Gauge,
    ready: Gauge,
    store_down: Gauge,
    pending: Gauge,
    sent: Gauge,
    received: Gauge,
    frames: Gauge,
    refused: Gauge,
    displaced: Gauge,
}

impl Metrics {
    /// Creates the metrics, with those of `intake`.
    pub fn new(status: Arc<Status>, traffic: Arc<Traffic>, intake: &Intake) -> Metrics {
        let mut registry = Registry::with_prefix("quincewheel");
        intake.register(&mut registry);
        let calls = Family::<Labels, Counter>::default();
        registry.register("calls", "Calls by method and outcome", calls.clone());
        let latency = Histogram::new(exponential_buckets(0.001, 2.0, 16));
        let help = "Time from a call's arrival to its answer";
        registry.register_with_unit("call_duration", help, Unit::Seconds, latency.clone());
        let gauges = Gauges::default();
        let listed = [
            ("owner", "1 if this entry owns the shard", &gauges.owner),
            ("ready", "1 if calls can be taken up", &gauges.ready),
            ("store_down", "1 if the table service does not answer", &gauges.store_down),
            ("pending_calls", "Calls not answered yet", &gauges.pending),
            ("peer_sent_bytes", "Bytes of frames sent since the start", &gauges.sent),
            ("peer_received_bytes", "Bytes of frames received since the start", &gauges.received),
            ("peer_frames", "Frames both ways since the start", &gauges.frames),
            ("peer_refused", "Connections refused or closed for their frames", &gauges.refused),
            (
                "peer_handshakes_displaced",
                "Handshakes of other processes that were ended for newer ones",
                &gauges.displaced,
            ),
        ];
        for (name, help, gauge) in listed {
            registry.register(name, help, gauge.clone());
        }
        Metrics { registry: Mutex::new(registry), calls, latency, gauges, status, traffic }
    }

    /// Counts an answered call.
    pub fn count(&self, method: &str, outcome: &str, seconds: f64) {
        let labels = Labels { method: method.to_owned(), outcome: outcome.to_owned() };
        self.calls.get_or_create(&labels).inc();
        self.latency.observe(seconds);
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn page(&self) -> String {
        let status = &self.status;
        self.gauges.owner.set(status.owner.load(Ordering::Relaxed).into());
        self.gauges.ready.set(status.ready.load(Ordering::Relaxed).into());
        self.gauges.store_down.set(status.store_down.load(Ordering::Relaxed).into());
        self.gauges.pending.set(status.pending.load(Ordering::Relaxed) as i64);
        self.gauges.sent.set(self.traffic.sent() as i64);
        self.gauges.received.set(self.traffic.received() as i64);
        self.gauges.frames.set(self.traffic.frames() as i64);
        self.gauges.refused.set(self.traffic.refused() as i64);
        self.gauges.displaced.set(self.traffic.displaced() as i64);
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        encode(&mut text, &registry).expect("writing to a string cannot fail");
        text
    }
}
