//! When what runs on the workers is expected to end, and what is released then.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use quincewheel_backfill::{Release, Run};
use quincewheel_job::Resources;
use quincewheel_place::WorkerState;

use crate::entry::Key;
use crate::estimator::run_time;
use crate::owner::Owner;
use crate::placement::{Phase, Placement};
use crate::snapshot::Snapshot;

/// A run whose end releases resources.
pub(crate) struct Running<'a> {
    pub id: &'a str,
    pub key: Key,
    pub placed: &'a Placement,
    /// When it is expected to end.
    end: u64,
}

impl Owner {
    /// Returns the runs on the workers of these pools, and what each worker releases when they are
    /// expected to end. Perpetual runs release nothing.
    pub(crate) fn releases(
        &self,
        snapshot: &Snapshot,
        pools: &BTreeSet<&str>,
        now: u64,
    ) -> (Vec<Running<'_>>, Vec<Vec<Release>>) {
        let workers = snapshot.workers.iter().enumerate();
        let workers = workers.filter(|(_, worker)| pools.contains(worker.pool.as_str()));
        let indexes: HashMap<&str, usize> =
            workers.map(|(index, worker)| (worker.name.as_str(), index)).collect();
        let mut running = Vec::new();
        let mut releases: Vec<Vec<Release>> = vec![Vec::new(); snapshot.workers.len()];
        for (id, entry) in &self.jobs {
            let mut step_estimate = None;
            // The members of a gang end together.
            let mut gang_ends: BTreeMap<u64, u64> = BTreeMap::new();
            let first = running.len();
            for (key, placed) in &entry.runs {
                let Some(step) = entry.step(*key).filter(|step| !step.perpetual) else { continue };
                let estimate = match step_estimate {
                    Some((number, estimate)) if number == key.1 => estimate,
                    _ => run_time(self.times.get(), entry, key.1, step),
                };
                step_estimate = Some((key.1, estimate));
                let end = self.expected_end(placed, estimate, now);
                if step.gang {
                    let gang_end = gang_ends.entry(placed.unit).or_insert(end);
                    *gang_end = end.max(*gang_end);
                }
                running.push(Running { id, key: *key, placed, end });
            }
            for (run, Running { key, placed, end, .. }) in running.iter().enumerate().skip(first) {
                let Some(step) = entry.step(*key) else { continue };
                let Some(&index) = indexes.get(placed.agent.as_str()) else { continue };
                let at = gang_ends.get(&placed.unit).copied().unwrap_or(*end);
                releases[index].push(Release { at, need: step.resources(), run });
            }
        }
        (running, releases)
    }

    /// Returns when a run is expected to end.
    fn expected_end(&self, placed: &Placement, estimate: u64, now: u64) -> u64 {
        let run = match placed.phase {
            Phase::Stopping => Run {
                started_at: placed.updated_at,
                estimate: self.settings.stop_timeout,
                ..Run::default()
            },
            Phase::Starting | Phase::Running => Run {
                started_at: placed.confirmed_at.unwrap_or(placed.started_at),
                seen_at: placed.updated_at,
                percent: placed.percent,
                estimate,
                from_scratch: placed.from_scratch,
            },
        };
        run.expected_end(now)
    }

    /// Returns what is reserved on workers for steps for which other work is being stopped there,
    /// and until when they are expected to use it.
    pub(crate) fn reserved(&self, snapshot: &Snapshot, now: u64) -> Vec<(usize, u64, Resources)> {
        let mut found = Vec::new();
        for entry in self.jobs.values() {
            for ((_, number), reservation) in &entry.reservations {
                let Some(step) = entry.job.steps.get(*number as usize) else { continue };
                let until = now + run_time(self.times.get(), entry, *number, step);
                let workers = reservation.agents.iter();
                let workers = workers.filter_map(|name| index_of(&snapshot.workers, name));
                found.extend(workers.map(|index| (index, until, step.resources())));
            }
        }
        found
    }
}

/// Returns the index of an agent's worker. The workers of a snapshot are in the order of names.
pub(crate) fn index_of(workers: &[WorkerState], agent: &str) -> Option<usize> {
    workers.binary_search_by(|worker| worker.name.as_str().cmp(agent)).ok()
}
