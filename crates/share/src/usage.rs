use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::pool::Pool;
use crate::row::Row;

/// What each team used lately beyond its guarantee: the mean of its dominant fraction of a pool, in
/// which the weight of the past halves with each half-life. Usage that stays the same for long is
/// counted at its value.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "Row", into = "Row")]
pub struct Usage {
    /// Time of day up to which usage is counted, in milliseconds since 1970.
    pub(crate) counted_until: u64,
    /// Usage by pool and team.
    pub(crate) pools: BTreeMap<String, BTreeMap<String, f64>>,
}

/// Usage below this changes no level.
pub(crate) const MIN_USAGE: f64 = 0.001;

impl Usage {
    /// Returns the recent usage of a team.
    pub fn recent(&self, pool: &str, team: &str) -> f64 {
        self.pools.get(pool).and_then(|teams| teams.get(team)).copied().unwrap_or(0.0)
    }

    /// Returns whether no team has used anything lately.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Decays the usage that a previous owner recorded. A record from the future counts as one from
    /// now, since clocks of machines differ.
    pub(crate) fn resume(&mut self, half_life: u64, wall: u64) {
        let elapsed = wall.saturating_sub(self.counted_until);
        self.advance(&BTreeMap::new(), elapsed, half_life);
    }

    /// Counts what ran during the last `elapsed` milliseconds. Equal results follow from one long
    /// interval and from several short ones.
    pub(crate) fn advance(&mut self, held: &BTreeMap<String, Pool>, elapsed: u64, half_life: u64) {
        if elapsed == 0 {
            return;
        }
        let kept = (-(elapsed as f64) / half_life as f64).exp2();
        for usage in self.pools.values_mut().flat_map(BTreeMap::values_mut) {
            *usage *= kept;
        }
        let mut running = Vec::new();
        for (name, pool) in held {
            let teams = pool.teams.iter().map(|(team, demand)| (team, &demand.used));
            running.extend(teams.map(|(team, used)| (name, team, pool.dominant_fraction(used))));
        }
        for (pool, team, fraction) in running.into_iter().filter(|(.., fraction)| *fraction > 0.0) {
            let teams = self.pools.entry(pool.clone()).or_default();
            *teams.entry(team.clone()).or_default() += fraction * (1.0 - kept);
        }
        // Usage that has just begun may still be small.
        let runs = |pool: &str, team: &str| held.get(pool).is_some_and(|p| p.running(team) > 0.0);
        self.retain(|pool, team, usage| usage >= MIN_USAGE || runs(pool, team));
    }

    /// Keeps the usage for which `kept` returns true, given pool, team and usage.
    pub(crate) fn retain(&mut self, kept: impl Fn(&str, &str, f64) -> bool) {
        for (pool, teams) in &mut self.pools {
            teams.retain(|team, usage| kept(pool, team, *usage));
        }
        self.pools.retain(|_, teams| !teams.is_empty());
    }
}
