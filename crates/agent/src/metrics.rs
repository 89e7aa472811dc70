use std::sync::Arc;
use std::sync::atomic::Ordering;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use quincewheel_http::Intake;
use quincewheel_peer::Traffic;

use crate::grantor_thread::Status;

/// Renders the metrics page in the OpenMetrics text format.
pub(crate) fn page(status: &Status, traffic: &Arc<Traffic>, intake: &Intake) -> String {
    let mut registry = Registry::with_prefix("quincewheel_agent");
    intake.register(&mut registry);
    let attached = i64::from(status.has_owner.load(Ordering::Relaxed));
    let configuration = status.configuration_version.load(Ordering::Relaxed) as i64;
    let granted = status.granted_accelerators.load(Ordering::Relaxed) as i64;
    let gauges = [
        ("attached", "1 if an owner is connected", attached),
        ("granted_accelerators", "Accelerators granted now", granted),
        ("configuration", "Configuration version in force", configuration),
        ("peer_sent_bytes", "Bytes of frames sent since the start", traffic.sent() as i64),
        (
            "peer_received_bytes",
            "Bytes of frames received since the start",
            traffic.received() as i64,
        ),
        ("peer_frames", "Frames both ways since the start", traffic.frames() as i64),
        (
            "peer_handshakes_displaced",
            "Handshakes of other processes that were ended for newer ones",
            traffic.displaced() as i64,
        ),
        (
            "peer_refused",
            "Connections refused or closed for their frames",
            traffic.refused() as i64,
        ),
    ];
    for (name, help, value) in gauges {
        let gauge: Gauge = Gauge::default();
        gauge.set(value);
        registry.register(name, help, gauge);
    }
    let mut text = String::new();
    encode(&mut text, &registry).expect("writing to a string cannot fail");
    text
}
