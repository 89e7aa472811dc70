//! Availability zones that operators evacuate.
//!
//! Nothing new starts there from the moment at which an owner knows. What runs there runs on to
//! its end: operators ask that nothing more be sent, and a stop would throw its work away, while
//! what is cut off when the zone goes dark starts elsewhere as after any loss. Room for work that
//! waits, guaranteed or not, is made in the other zones as if there were no others: guarantees are
//! kept as long as what is left holds them. A gang begins whole in the others; of one that is half
//! started the members that were refused call the others back.
//!
//! The owner closes the workers, and tells the agents, which refuse what is on its way. An owner
//! that has not heard of the operators for nearly as long as an evacuation may take to be in force
//! starts nothing anywhere: each zone may be evacuated by then.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::Evacuation;
use quincewheel_wire::{LinkId, Order};

use crate::owner::Owner;

/// Time between two looks at whether an evacuated zone is empty, in milliseconds: each goes
/// through all runs.
const LOOK: u64 = 250;

/// How much sooner than an evacuation must be in force an owner that has not heard of the operators
/// stops ordering, in milliseconds: an agent tries a start three times, 400 apart. A third of the
/// bound at the most.
const AHEAD: u64 = 1300;

/// What the owner knows of evacuations, and what it has told of them.
#[derive(Debug, Default)]
pub(crate) struct Evacuated {
    /// The availability zones.
    zones: Evacuation,
    /// When the operators' rows were last known to say so.
    heard: u64,
    /// Not heard of for too long, as was told.
    deaf: bool,
    /// There was one under this owner: agents may have been told.
    ever: bool,
    /// Those of which it was told that they are empty.
    empty: BTreeSet<String>,
    /// When work was last looked for there.
    looked: u64,
}

impl Evacuated {
    /// True if nothing may start in the availability zone.
    pub fn covers(&self, zone: &str) -> bool {
        self.zones.covers(zone)
    }
}

impl Owner {
    /// Operators evacuate these availability zones, and no others, by a call that was sent at
    /// `heard`.
    pub fn evacuate(&mut self, zones: &Evacuation, heard: u64) {
        self.evacuated.heard = self.evacuated.heard.max(heard);
        if self.evacuated.zones == *zones {
            return;
        }
        let former = std::mem::replace(&mut self.evacuated.zones, zones.clone());
        self.evacuated.ever = true;
        for agent in self.agents.values_mut() {
            agent.zone_evacuated = agent.worker.as_ref().is_some_and(|w| zones.covers(&w.zone));
        }
        for zone in zones.beyond(&former) {
            self.tell_begun(zone);
        }
        for zone in former.beyond(zones) {
            self.evacuated.empty.remove(zone);
            self.log("evacuation over", zone, "its workers take work again".to_owned());
        }
        for link in self.links() {
            self.tell_evacuation(link);
        }
        self.replan = true;
    }

    /// True if operators may have evacuated any zone unheard. Told when it begins and ends.
    pub(crate) fn is_deaf(&mut self, now: u64) -> bool {
        let Some(bound) = self.settings.evacuation else { return false };
        let silent = now.saturating_sub(self.evacuated.heard);
        let deaf = silent + AHEAD.min(bound / 3) > bound;
        if deaf != self.evacuated.deaf {
            self.evacuated.deaf = deaf;
            match deaf {
                true => self.log("operators not heard", "", format!("for {silent} ms")),
                false => self.log("operators heard", "", "again".to_owned()),
            }
        }
        deaf
    }

    /// How many availability zones are evacuated, and how many of them may not be empty yet.
    pub fn evacuated(&self) -> (usize, usize) {
        let zones = self.evacuated.zones.zones().count();
        (zones, zones - self.evacuated.empty.len())
    }

    /// Tells an agent of evacuations, unless there never was one: then it knows of none.
    pub(crate) fn tell_evacuation(&mut self, link: LinkId) {
        if self.evacuated.ever {
            let zones = self.evacuated.zones.clone();
            self.send(link, Order::Evacuate { zones });
        }
    }

    /// Tells once of each evacuated zone that nothing runs there any more: it may be switched off.
    pub(crate) fn look_at_evacuated(&mut self, now: u64) {
        if self.evacuated.zones.is_empty() || now < self.evacuated.looked + LOOK {
            return;
        }
        self.evacuated.looked = now;
        // What a former owner started there is not known before.
        if !self.settled {
            return;
        }
        let busy = self.evacuated_runs();
        let zones: Vec<String> = self.evacuated.zones.zones().map(str::to_owned).collect();
        for zone in zones {
            if busy.contains_key(&zone) {
                self.evacuated.empty.remove(&zone);
            } else if self.evacuated.empty.insert(zone.clone()) {
                self.log("zone empty", &zone, "nothing runs there".to_owned());
            }
        }
    }

    fn tell_begun(&mut self, zone: &str) {
        let known = self.agents.values().filter_map(|agent| agent.worker.as_ref());
        let workers = known.filter(|worker| worker.zone == zone).count();
        let runs = self.evacuated_runs().remove(zone).unwrap_or(0);
        let unsure = if self.settled { "" } else { ", as far as is known yet" };
        let detail = format!("{workers} workers take nothing new, {runs} runs go on{unsure}");
        self.log("zone evacuated", zone, detail);
    }

    /// Runs that go on in each evacuated zone that has any: those that are believed to, and those
    /// that nobody waits for and that are being stopped.
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
