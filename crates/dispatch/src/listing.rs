//! Workers that the platform lists no more.
//!
//! A worker that is taken away, crashes or loses its machine says nothing. What ran there
//! may go on until its lease is over, for all that its agent can tell, and waiting for
//! that held gangs up for 10 to 19 s. The platform knows sooner: its list of machines
//! names the worker on each, and one that it does not name is over. A worker that is cut off
//! is still listed, and its lease is waited for; so is one that has started again under its
//! id, until that reports. In 111 days of every kind of trouble, lists four times a second
//! named each worker that answered later.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Incarnation, Machine, Worker};

use crate::output::Output;
use crate::owner::Owner;

/// Time between two questions about the same workers at first, in milliseconds. It doubles
/// from there: a list is a call, and a worker that is cut off stays listed.
const FIRST: u64 = 300;
/// And at most.
const LONGEST: u64 = 2000;
/// No two questions within this time, whatever happens: a cut hits many workers at once.
const PAUSE: u64 = 100;

/// What was asked of the platform.
#[derive(Debug)]
pub(crate) struct Listing {
    /// When it was last asked for a list.
    asked: u64,
    /// Time until it is asked again, if nothing new has happened.
    pause: u64,
    /// No look at whether to ask before this time.
    next: u64,
    /// Workers that the last list did not name, if it was not made at one moment.
    unnamed: BTreeSet<String>,
}

impl Default for Listing {
    fn default() -> Listing {
        Listing { asked: 0, pause: FIRST, next: 0, unnamed: BTreeSet::new() }
    }
}

impl Owner {
    /// Asks for a list if something runs at a worker that may be gone, or if older jobs
    /// wait for members that are not heard.
    pub(crate) fn ask_for_list(&mut self, now: u64) {
        if !self.settings.listed || now < self.listing.next {
            return;
        }
        self.listing.next = now + PAUSE;
        let Some(newest) = self.missed_since(now) else {
            self.listing.pause = FIRST;
            return;
        };
        let news = newest > self.listing.asked;
        if !news && now < self.listing.asked + self.listing.pause {
            return;
        }
        self.listing.pause = if news { FIRST } else { (self.listing.pause * 2).min(LONGEST) };
        self.listing.asked = now;
        self.outputs.push(Output::List);
    }

    /// Since when the last of the workers has been missed that matters; none if
    /// none is.
    fn missed_since(&self, now: u64) -> Option<u64> {
        let missed: BTreeMap<&str, u64> = self
            .agents
            .iter()
            .filter_map(|(name, agent)| {
                agent.unresponsive_since.map(|since| (name.as_str(), since))
            })
            .collect();
        let (granted, _) = self.predecessor_grants();
        let unsettled = Some(granted).filter(|&granted| !self.settled && now >= granted);
        if missed.is_empty() {
            return unsettled;
        }
        let runs = self.jobs.values().flat_map(|entry| entry.runs.values());
        let waited = runs.filter_map(|placed| missed.get(placed.agent.as_str()).copied());
        waited.chain(unsettled).max()
    }

    /// The platform listed all machines, by a call that was sent at `sent`.
    ///
    /// A list of several pages is not made at one moment: a machine that is taken away
    /// between two of them may move another one out of both. So a worker must be missing
    /// from two such lists. A list without any machine tells nothing.
    pub(crate) fn take_list(&mut self, machines: &[Machine], pages: usize, sent: u64) {
        if machines.is_empty() {
            return;
        }
        let listed: BTreeSet<&str> = machines.iter().map(|m| m.worker.as_str()).collect();
        let unnamed: BTreeSet<String> =
            self.unnamed(&listed, sent).map(|(_, worker)| worker.id.clone()).collect();
        let before = std::mem::replace(&mut self.listing.unnamed, unnamed);
        let sure = |id: &str| pages == 1 || before.contains(id);
        let over: Vec<(String, Incarnation)> = self
            .unnamed(&listed, sent)
            .filter(|(_, worker)| sure(&worker.id))
            .map(|(name, worker)| (name.to_owned(), worker.incarnation()))
            .collect();
        for (name, worker) in over {
            self.log("worker gone", &name, format!("{worker} is not listed any more"));
            self.blame_crash(&name);
            self.over(&name, &worker, "is gone");
            self.replan = true;
        }
        if pages == 1 {
            self.settle_by_list(&listed, sent);
        }
    }

    /// Agents whose workers were missed when the list was asked for, and are not on it.
    fn unnamed<'a>(
        &'a self,
        listed: &'a BTreeSet<&str>,
        sent: u64,
    ) -> impl Iterator<Item = (&'a str, &'a Worker)> {
        let missed = move |since: Option<u64>| since.is_some_and(|since| since <= sent);
        self.agents.iter().filter_map(move |(name, agent)| {
            let worker = agent.worker.as_ref()?;
            let open = missed(agent.unresponsive_since) && !agent.worker_left;
            (open && !listed.contains(worker.id.as_str())).then_some((name.as_str(), worker))
        })
    }

    /// Nothing that a former owner started can be unknown once each worker that is listed
    /// has answered under this epoch, if the list is newer than the last lease that the
    /// former owner may have granted: what is not listed runs nothing, and what came
    /// later was given nothing.
    fn settle_by_list(&mut self, listed: &BTreeSet<&str>, sent: u64) {
        let (granted, _) = self.predecessor_grants();
        if self.settled || sent < granted {
            return;
        }
        let heard = self.agents.values().filter(|agent| agent.reconciled && !agent.worker_left);
        let heard: BTreeSet<&str> =
            heard.filter_map(|agent| agent.worker.as_ref()).map(|w| w.id.as_str()).collect();
        let open = listed.iter().filter(|id| !id.is_empty() && !heard.contains(*id));
        if open.count() == 0 {
            for agent in self.agents.values_mut() {
                agent.reconciled = true;
            }
        }
    }
}
