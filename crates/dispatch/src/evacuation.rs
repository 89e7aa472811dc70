//! Availability zones that operators evacuate.
//!
//! Nothing new starts in an evacuated zone once the owner has read the evacuation. Runs there
//! continue to their end: a stop would discard their work, and tasks cut off when the zone goes
//! dark start elsewhere as after any loss. Room for waiting work, guaranteed or not, is made in the
//! other zones as if the evacuated ones did not exist, so guarantees hold as long as the other
//! zones can satisfy them. Gangs start only in the other zones. If an evacuated zone refuses
//! members of a gang that is being started, the gang's other members are stopped.
//!
//! The owner closes the workers of the zone and notifies all agents, which refuse starts that are
//! still in flight. An owner that has not read the operators' rows for almost as long as an
//! evacuation may take to be in force starts nothing anywhere, since any zone may be evacuated.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::Evacuation;
use quincewheel_wire::{LinkId, Order};

use crate::owner::Owner;

/// Shortest time between two checks whether evacuated zones are empty. Each check scans all runs.
const ZONE_CHECK_INTERVAL_MS: u64 = 250;

/// How long before the evacuation deadline an owner that cannot read the operators' rows stops
/// ordering starts: an agent tries a start three times, 400 ms apart. At most a third of the
/// deadline is used.
const START_CUTOFF_MS: u64 = 1300;

/// The evacuated zones, and what was logged and sent about them.
#[derive(Debug, Default)]
pub(crate) struct EvacuationState {
    /// The availability zones that are evacuated now.
    zones: Evacuation,
    /// When the operators' rows were last known to name exactly these zones.
    last_read: u64,
    /// Whether the operators' rows were not read for too long, as was logged.
    unreachable: bool,
    /// Whether this owner has read of an evacuation at any time and may have notified agents of it.
    ever_evacuated: bool,
    /// The evacuated zones that were logged as empty.
    empty: BTreeSet<String>,
    /// When the zones were last checked for runs.
    last_checked: u64,
}

impl EvacuationState {
    /// Returns whether nothing may start in the availability zone.
    pub fn covers(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }
}

impl Owner {
    /// Sets the availability zones that operators evacuate, as read by a call sent at `sent`.
    pub fn set_evacuation(&mut self, zones: &Evacuation, sent: u64) {
        self.evacuation.last_read = self.evacuation.last_read.max(sent);
        if self.evacuation.zones == *zones {
            return;
        }
        let previous_zones = std::mem::replace(&mut self.evacuation.zones, zones.clone());
        self.evacuation.ever_evacuated = true;
        for agent in self.agents.values_mut() {
            agent.zone_evacuated = agent.worker.as_ref().is_some_and(|w| zones.contains(&w.zone));
        }
        for zone in zones.difference(&previous_zones) {
            self.log_evacuation_begun(zone);
        }
        for zone in previous_zones.difference(zones) {
            self.evacuation.empty.remove(zone);
            self.log("evacuation over", zone, "its workers take work again".to_owned());
        }
        for link in self.links() {
            self.send_evacuation(link);
        }
        self.replan = true;
    }

    /// Returns whether the operators' rows were not read for so long that any zone may be evacuated
    /// by now. Logs when that begins and ends.
    pub(crate) fn operators_unreachable(&mut self, now: u64) -> bool {
        if self.settings.evacuation_deadline.is_none() {
            return false;
        }
        let silent = now.saturating_sub(self.evacuation.last_read);
        let unreachable = self.operators_overdue(now).is_some();
        if unreachable != self.evacuation.unreachable {
            self.evacuation.unreachable = unreachable;
            match unreachable {
                true => self.log("operators not heard", "", format!("for {silent} ms")),
                false => self.log("operators heard", "", "again".to_owned()),
            }
        }
        unreachable
    }

    /// Returns for how long the operators' rows were not read, in milliseconds, if that is so long
    /// that any zone may be evacuated by now.
    pub(crate) fn operators_overdue(&self, now: u64) -> Option<u64> {
        let bound = self.settings.evacuation_deadline?;
        let silent = now.saturating_sub(self.evacuation.last_read);
        (silent + START_CUTOFF_MS.min(bound / 3) > bound).then_some(silent)
    }

    /// Returns the number of evacuated availability zones, and of those that may not be empty yet.
    pub fn evacuation_counts(&self) -> (usize, usize) {
        let zones = self.evacuation.zones.zones().count();
        (zones, zones - self.evacuation.empty.len())
    }

    /// Sends the evacuated zones to an agent, unless there never were any.
    pub(crate) fn send_evacuation(&mut self, link: LinkId) {
        if self.evacuation.ever_evacuated {
            let zones = self.evacuation.zones.clone();
            self.send(link, Order::Evacuate { zones });
        }
    }

    /// Logs once for each evacuated zone when nothing runs there any more, so that it may be
    /// switched off.
    pub(crate) fn check_evacuated_zones(&mut self, now: u64) {
        if self.evacuation.zones.is_empty()
            || now < self.evacuation.last_checked + ZONE_CHECK_INTERVAL_MS
        {
            return;
        }
        self.evacuation.last_checked = now;
        // Runs started by a previous owner may be unknown until then.
        if !self.settled {
            return;
        }
        let busy = self.evacuated_runs();
        let zones: Vec<String> = self.evacuation.zones.zones().map(str::to_owned).collect();
        for zone in zones {
            if busy.contains_key(&zone) {
                self.evacuation.empty.remove(&zone);
            } else if self.evacuation.empty.insert(zone.clone()) {
                self.log("zone empty", &zone, "nothing runs there".to_owned());
            }
        }
    }

    /// Logs that a zone's evacuation has begun.
    fn log_evacuation_begun(&mut self, zone: &str) {
        let known = self.agents.values().filter_map(|agent| agent.worker.as_ref());
        let workers = known.filter(|worker| worker.zone == zone).count();
        let runs = self.evacuated_runs().remove(zone).unwrap_or(0);
        let caveat = if self.settled { "" } else { ", as far as is known yet" };
        let detail = format!("{workers} workers take nothing new, {runs} runs go on{caveat}");
        self.log("zone evacuated", zone, detail);
    }

    /// Returns the number of runs in each evacuated zone that has any: recorded runs, and stray
    /// runs that are being stopped.
    fn evacuated_runs(&self) -> BTreeMap<String, usize> {
        let zone = |name: &str| {
            let agent = self.agents.get(name).filter(|agent| agent.zone_evacuated)?;
            agent.worker.as_ref().map(|worker| worker.zone.as_str())
        };
        let placed = self.jobs.values().flat_map(|entry| entry.runs.values());
        let placed = placed.filter_map(|placed| zone(&placed.agent));
        let strays = self.agents.iter().filter_map(|(name, agent)| {
            let zone = zone(name)?;
            Some(agent.strays.iter().map(move |_| zone))
        });
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for zone in placed.chain(strays.flatten()) {
            *runs.entry(zone.to_owned()).or_default() += 1;
        }
        runs
    }
}
