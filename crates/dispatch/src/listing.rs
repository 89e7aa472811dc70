//! Workers that the platform's machine list no longer names.
//!
//! A worker that is removed, crashes or loses its machine sends no notice. For its agent the runs
//! there may continue until the lease expires, and waiting for that delays gangs by 10 to 19 s. The
//! platform detects it earlier: its machine list names the worker of each machine, and a worker
//! that is not named has ended. A partitioned worker is still listed, so its lease is waited for;
//! so is one that restarted under its id, until it reports. In 111 days with all kinds of faults,
//! lists requested four times a second never omitted a worker that answered later.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Incarnation, Machine, Worker};

use crate::output::Output;
use crate::owner::Owner;

/// First time between two list requests about the same workers. It doubles with each request, since
/// a partitioned worker stays listed.
const FIRST_LIST_INTERVAL_MS: u64 = 300;
/// Longest time between two list requests about the same workers.
const MAX_LIST_INTERVAL_MS: u64 = 2000;
/// Shortest time between two checks whether to request a list. A partition hits many workers at
/// once.
const LIST_CHECK_INTERVAL_MS: u64 = 100;

/// The state of the requests for machine lists.
#[derive(Debug)]
pub(crate) struct Listing {
    /// When a list was last requested.
    requested_at: u64,
    /// Time until the next request, if no further worker becomes unresponsive.
    interval: u64,
    /// When the need for a list is next checked.
    next_check_at: u64,
    /// Ids of unresponsive workers that the last list did not name.
    unnamed: BTreeSet<String>,
}

impl Default for Listing {
    fn default() -> Listing {
        Listing {
            requested_at: 0,
            interval: FIRST_LIST_INTERVAL_MS,
            next_check_at: 0,
            unnamed: BTreeSet::new(),
        }
    }
}

impl Owner {
    /// Requests a machine list if something runs at a worker that may have ended, or if older jobs
    /// wait for members that have not answered.
    pub(crate) fn poll_machines(&mut self, now: u64) {
        if !self.settings.lists_machines || now < self.listing.next_check_at {
            return;
        }
        self.listing.next_check_at = now + LIST_CHECK_INTERVAL_MS;
        let Some(newest) = self.latest_unresponsive_since(now) else {
            self.listing.interval = FIRST_LIST_INTERVAL_MS;
            return;
        };
        let newly_unresponsive = newest > self.listing.requested_at;
        if !newly_unresponsive && now < self.listing.requested_at + self.listing.interval {
            return;
        }
        self.listing.interval = if newly_unresponsive {
            FIRST_LIST_INTERVAL_MS
        } else {
            (self.listing.interval * 2).min(MAX_LIST_INTERVAL_MS)
        };
        self.listing.requested_at = now;
        self.outputs.push(Output::ListMachines);
    }

    /// Returns since when the most recently unresponsive worker with runs has been so; none if no
    /// list is needed.
    fn latest_unresponsive_since(&self, now: u64) -> Option<u64> {
        let unresponsive: BTreeMap<&str, u64> = self
            .agents
            .iter()
            .filter_map(|(name, agent)| {
                agent.unresponsive_since.map(|since| (name.as_str(), since))
            })
            .collect();
        let (granted, _) = self.predecessor_grants();
        let unsettled = Some(granted).filter(|&granted| !self.settled && now >= granted);
        if unresponsive.is_empty() {
            return unsettled;
        }
        let runs = self.jobs.values().flat_map(|entry| entry.runs.values());
        let with_runs = runs.filter_map(|placed| unresponsive.get(placed.agent.as_str()).copied());
        with_runs.chain(unsettled).max()
    }

    /// Drops workers that a complete machine list, requested at `sent`, does not name.
    ///
    /// A list of several pages is not a consistent snapshot: a machine that is removed between two
    /// pages may shift another one out of both. So a worker must be missing from two such lists in
    /// a row. A list without any machine is ignored.
    pub(crate) fn on_machine_list(
        &mut self,
        machines: &[Machine],
        pages: usize,
        (sent, now): (u64, u64),
    ) {
        if machines.is_empty() {
            return;
        }
        let listed: BTreeSet<&str> = machines.iter().map(|m| m.worker.as_str()).collect();
        let unnamed: BTreeSet<String> =
            self.unnamed(&listed, sent).map(|(_, worker)| worker.id.clone()).collect();
        let before = std::mem::replace(&mut self.listing.unnamed, unnamed);
        let confirmed = |id: &str| pages == 1 || before.contains(id);
        let ended: Vec<(String, Incarnation)> = self
            .unnamed(&listed, sent)
            .filter(|(_, worker)| confirmed(&worker.id))
            .map(|(name, worker)| (name.to_owned(), worker.incarnation()))
            .collect();
        // A worker that no agent has reported may be the present incarnation of one that has ended, and
        // have runs of a previous owner.
        let known = |id: &&&str| self.agents.values().any(|agent| agent.reports_worker(id));
        let all_known = listed.iter().filter(|id| !id.is_empty()).all(|id| known(&id));
        for (name, worker) in ended {
            self.log("worker gone", &name, format!("{worker} is not listed any more"));
            self.attribute_crash(&name);
            self.end_incarnation(&name, &worker, "is gone", now);
            if let Some(agent) = self.agents.get_mut(&name) {
                agent.reconciled |= all_known;
            }
            self.replan = true;
        }
        if pages == 1 {
            self.settle_by_list(&listed, sent);
        }
    }

    /// Returns the agents whose workers were unresponsive when the list was requested and are not
    /// on it.
    fn unnamed<'a>(
        &'a self,
        listed: &'a BTreeSet<&str>,
        sent: u64,
    ) -> impl Iterator<Item = (&'a str, &'a Worker)> {
        let unresponsive = move |since: Option<u64>| since.is_some_and(|since| since <= sent);
        self.agents.iter().filter_map(move |(name, agent)| {
            let worker = agent.worker.as_ref()?;
            let candidate = unresponsive(agent.unresponsive_since) && !agent.worker_left;
            (candidate && !listed.contains(worker.id.as_str())).then_some((name.as_str(), worker))
        })
    }

    /// Marks all agents as answered if every listed worker has answered under this epoch and the
    /// list is newer than the last lease that a previous owner may have granted. Then no run of a
    /// previous owner can be unknown: workers that are not listed run nothing, and workers that
    /// joined later got no lease from it.
    fn settle_by_list(&mut self, listed: &BTreeSet<&str>, sent: u64) {
        let (granted, _) = self.predecessor_grants();
        if self.settled || sent < granted {
            return;
        }
        let answered = self.agents.values().filter(|agent| agent.reconciled && !agent.worker_left);
        let answered: BTreeSet<&str> =
            answered.filter_map(|agent| agent.worker.as_ref()).map(|w| w.id.as_str()).collect();
        let unanswered = listed.iter().filter(|id| !id.is_empty() && !answered.contains(*id));
        if unanswered.count() == 0 {
            for agent in self.agents.values_mut() {
                agent.reconciled = true;
            }
        }
    }
}
