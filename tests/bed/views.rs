//! What a test reads off its run.

use std::collections::BTreeSet;
use std::time::Duration;

use quincewheel_audit::{Event, Kind};
use quincewheel_grant::Grantor;
use quincewheel_wire::{Answer, Ask};

use super::ms;
use super::world::World;

impl World {
    /// Times at which parts of the request started.
    pub fn starts(&self, request: &str) -> Vec<Duration> {
        let start = |event: &Event| match &event.kind {
            Kind::Started { request: r, .. } if r == request => Some(event.at),
            _ => None,
        };
        self.events.iter().filter_map(start).collect()
    }

    /// Times at which a worker's agent started anything after `since`.
    pub fn starts_at(&self, at: usize, since: Duration) -> Vec<Duration> {
        let worker = format!("worker-{at}");
        let start = |event: &Event| match &event.kind {
            Kind::Started { worker: w, .. } if *w == worker && event.at > since => Some(event.at),
            _ => None,
        };
        self.events.iter().filter_map(start).collect()
    }

    /// When the last part of the request's attempts ended, if all have.
    pub fn last_stop(&self, request: &str) -> Option<Duration> {
        let mut running: BTreeSet<&str> = BTreeSet::new();
        let mut last = None;
        for event in &self.events {
            match &event.kind {
                Kind::Started { worker, request: r, .. } if r == request => {
                    running.insert(worker);
                }
                Kind::Stopped { worker, .. } | Kind::Vanished { worker }
                    if running.remove(worker.as_str()) =>
                {
                    last = Some(event.at);
                }
                _ => {}
            }
        }
        last.filter(|_| running.is_empty())
    }

    /// True if every process has this configuration in force.
    pub fn everywhere(&self, version: u64) -> bool {
        let nodes = self.entries.iter().filter_map(|entry| entry.node.as_ref());
        let grantors = self.workers.iter().filter_map(|worker| worker.grantor.as_ref());
        nodes.map(|node| node.config().version()).all(|v| v == version)
            && grantors.map(Grantor::configuration_version).all(|v| v == version)
    }

    /// Conditions of all workers, as the owner sees them.
    pub async fn conditions(&mut self) -> String {
        let at = self.owner().expect("there is an owner");
        let call = self.ask(at, Ask::Pool);
        self.run(ms(2)).await;
        let Some(Answer::Pool { workers, .. }) = self.answer(call) else { return String::new() };
        let conditions: Vec<&str> = workers.iter().map(|w| w.condition.as_str()).collect();
        conditions.join(" ")
    }
}
