use std::collections::BTreeMap;

use quincewheel_job::Resources;

use crate::demand::Demand;

/// A pool as an owner sees it at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Total resources of its workers.
    pub capacity: Resources,
    /// What its teams use and wait for.
    pub teams: BTreeMap<String, Demand>,
}

impl Pool {
    /// Returns a team's demand for a change.
    pub fn team(&mut self, name: &str) -> &mut Demand {
        if !self.teams.contains_key(name) {
            self.teams.insert(name.to_owned(), Demand::default());
        }
        self.teams.get_mut(name).expect("it was inserted above")
    }

    /// Returns the largest fraction of any of the pool's resources that `used` takes.
    pub fn dominant_fraction(&self, used: &Resources) -> f64 {
        let (used, all) = (used, &self.capacity);
        let pairs =
            [(used.accelerators, all.accelerators), (used.cpu, all.cpu), (used.memory, all.memory)];
        let fractions = pairs.map(|(used, all)| used as f64 / all.max(1) as f64);
        // A pool that has lost workers may be used beyond its capacity.
        fractions.into_iter().fold(0.0, f64::max).min(1.0)
    }

    /// Returns the usage of a team that runs now.
    pub fn running(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(0.0, |demand| self.dominant_fraction(&demand.used))
    }

    /// Returns a team's share: its weight among those of the teams with demand, itself included.
    pub fn share(&self, team: &str, weight: impl Fn(&str) -> u64) -> f64 {
        let others = self.teams.iter().filter(|(name, demand)| *name != team && demand.is_any());
        let others: f64 = others.map(|(name, _)| weight(name) as f64).sum();
        let own = weight(team) as f64;
        own / (own + others)
    }
}
