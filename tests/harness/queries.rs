//! Queries on the recorded events and on the state of the cluster.

use std::collections::BTreeSet;
use std::time::Duration;

use quincewheel_audit::{Event, Kind};
use quincewheel_grant::Grantor;
use quincewheel_wire::{Answer, Ask};

use super::cluster::Cluster;
use super::ms;

impl Cluster {
    /// Returns the times at which members of the request started.
    pub fn start_times(&self, request: &str) -> Vec<Duration> {
        let start = |event: &Event| match &event.kind {
            Kind::Started { request: r, .. } if r == request => Some(event.at),
            _ => None,
        };
        self.events.iter().filter_map(start).collect()
    }

    /// Returns the times at which a worker's agent started any work after
    /// `since`.
    pub fn start_times_at(&self, index: usize, since: Duration) -> Vec<Duration> {
        let worker = format!("worker-{index}");
        let start = |event: &Event| match &event.kind {
            Kind::Started { worker: w, .. } if *w == worker && event.at > since => Some(event.at),
            _ => None,
        };
        self.events.iter().filter_map(start).collect()
    }

    /// Returns when the last member of the request's attempts ended, or `None`
    /// while any still runs.
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

    /// Returns whether every running process applies this configuration version.
    pub fn is_applied_everywhere(&self, version: u64) -> bool {
        let nodes = self.entries.iter().filter_map(|entry| entry.node.as_ref());
        let grantors = self.workers.iter().filter_map(|worker| worker.grantor.as_ref());
        nodes.map(|node| node.config().version()).all(|v| v == version)
            && grantors.map(Grantor::configuration_version).all(|v| v == version)
    }

    /// Returns the conditions of all workers as reported by the owner.
    pub async fn worker_conditions(&mut self) -> String {
        let owner = self.owner().expect("there is an owner");
        let call = self.call(owner, Ask::Pool);
        self.run(ms(2)).await;
        let Some(Answer::Pool { workers, .. }) = self.answer(call) else { return String::new() };
        let conditions: Vec<&str> = workers.iter().map(|w| w.condition.as_str()).collect();
        conditions.join(" ")
    }
}
