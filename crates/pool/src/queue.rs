//! The order in which waiting jobs are considered.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::JobId;
use crate::demand::Demand;
use crate::pool::Pool;
use crate::shape::Shape;

/// Added to the wait of each job in its score, in seconds. The smaller it is, the more the order
/// is that of arrival.
const WAIT_OFFSET_S: f64 = 60.0;

impl Pool {
    /// Returns the waiting jobs: guaranteed before other ones, urgent before other ones, then by the
    /// expected work divided by the wait. Small jobs first shorten the mean completion time; the
    /// wait raises large jobs, so that none starves.
    pub(crate) fn order(&self, now: Duration) -> Vec<JobId> {
        let open = self.open_shares();
        let mut held: BTreeMap<&str, u32> = BTreeMap::new();
        for holding in self.holdings.values() {
            *held.entry(&holding.team).or_default() += holding.shape.total_accelerators();
        }
        let all: u32 = self.workers.values().map(|worker| worker.accelerators).sum();
        let key = |(job, demand): (&JobId, &Demand)| {
            let covered = self.claims.get(job).is_some_and(|claim| claim.share.is_some())
                || open
                    .get(demand.team.as_str())
                    .is_some_and(|shapes| shapes.iter().any(|shape| shape.covers(&demand.shape)));
            let rank = match (covered, demand.urgent) {
                (true, true) => 0,
                (true, false) => 1,
                (false, true) => 2,
                (false, false) => 3,
            };
            let share = f64::from(held.get(demand.team.as_str()).copied().unwrap_or(0))
                / f64::from(all.max(1));
            (rank, Score(self.score(demand, now) * (1.0 + share)), *job)
        };
        let mut keys: Vec<_> = self.waiting.iter().map(key).collect();
        keys.sort();
        keys.into_iter().map(|(_, _, job)| job).collect()
    }

    /// Expected work divided by the wait. The higher the weight of fragmentation, the less the width
    /// counts, so that wide jobs go first while there is capacity for them.
    fn score(&self, demand: &Demand, now: Duration) -> f64 {
        let waited = now.saturating_sub(demand.arrived_at).as_secs_f64();
        let run = self.estimates.expected_duration(demand).as_secs_f64();
        let width = f64::from(demand.shape.total_accelerators());
        let exponent = 1.0 - 1.5 * f64::from(self.limits.fragmentation_weight.min(100)) / 100.0;
        (run + 1.0) * width.powf(exponent) / (waited + WAIT_OFFSET_S)
    }

    /// Guaranteed shapes that are not used up, by team.
    fn open_shares(&self) -> BTreeMap<&str, Vec<Shape>> {
        let mut used: BTreeMap<(&str, Shape), u32> = BTreeMap::new();
        for holding in self.holdings.values() {
            if let Some(share) = holding.share {
                *used.entry((&holding.team, share)).or_default() += 1;
            }
        }
        let mut open = BTreeMap::new();
        for (name, team) in &self.teams {
            let used = |shape| used.get(&(name.as_str(), shape)).copied().unwrap_or(0);
            let left = team.shares.iter().filter(|share| used(share.shape) < share.count);
            open.insert(name.as_str(), left.map(|share| share.shape).collect());
        }
        open
    }
}

/// A score with a total order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Score(f64);

impl Eq for Score {}

impl PartialOrd for Score {
    fn partial_cmp(&self, other: &Score) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Score {
    fn cmp(&self, other: &Score) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}
