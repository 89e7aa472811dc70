use std::sync::{Arc, Mutex, MutexGuard};

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::time::Instant;

use crate::budget::Budget;
use crate::limit::{Label, Limit};
use crate::limits::Limits;

/// What a server holds of its clients: the budget, and the counts of those turned away.
#[derive(Clone, Debug)]
pub struct Intake(Arc<State>);

#[derive(Debug)]
struct State {
    limits: Limits,
    opened_at: Instant,
    budget: Mutex<Budget>,
    turned_away: Family<Label, Counter>,
    connections: Gauge,
    body_bytes: Gauge,
    log_limit: quincewheel_log::Limit,
}

/// Part of the budget that a body takes, which is given back when this is dropped.
pub(crate) struct Share {
    intake: Intake,
    bytes: usize,
}

impl Intake {
    /// Creates an intake without clients.
    pub fn new(limits: Limits) -> Intake {
        let turned_away = Family::default();
        for limit in Limit::ALL {
            drop(turned_away.get_or_create(&limit.label()));
        }
        Intake(Arc::new(State {
            limits,
            opened_at: Instant::now(),
            budget: Mutex::new(Budget::new(limits.body_bytes)),
            turned_away,
            connections: Gauge::default(),
            body_bytes: Gauge::default(),
            log_limit: quincewheel_log::Limit::default(),
        }))
    }

    /// Adds its metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Clients that were turned away, by the limit that they met";
        registry.register("clients_turned_away", help, self.0.turned_away.clone());
        let help = "Open connections of clients";
        registry.register("client_connections", help, self.0.connections.clone());
        let help = "Bytes of large bodies that are held";
        registry.register("client_body_bytes", help, self.0.body_bytes.clone());
    }

    /// Counts a client that was turned away, and logs the limit that it met.
    pub fn turn_away(&self, limit: Limit) {
        self.0.turned_away.get_or_create(&limit.label()).inc();
        if let Some(untold) = self.0.log_limit.allow(self.now()) {
            let limits = self.0.limits;
            log::warn!(event = "client turned away", limit = limit.name(), untold = untold; "{limits:?}");
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        self.0.limits
    }

    /// Milliseconds since the intake was created.
    pub(crate) fn now(&self) -> u64 {
        self.0.opened_at.elapsed().as_millis() as u64
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, Budget> {
        self.0.budget.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Updates the gauges.
    pub(crate) fn publish(&self, connections: usize) {
        self.0.connections.set(connections as i64);
        self.0.body_bytes.set(self.budget().body_bytes() as i64);
    }

    /// Takes over bytes that were detached from a connection.
    pub(crate) fn share(&self, bytes: usize) -> Share {
        Share { intake: self.clone(), bytes }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.intake.budget().release(self.bytes);
    }
}
