//! Runs recorded as active at workers that answer but do not list them.

use quincewheel_job::Id;

use crate::entry::Key;
use crate::owner::{Owner, task};
use crate::placement::{Phase, Placement};

/// Shortest time between two scans for such runs. Each scan covers all runs.
const RUN_SCAN_INTERVAL_MS: u64 = 1000;

impl Owner {
    /// Returns the number of such runs that have not been listed for more than a second.
    pub fn unlisted_runs(&self) -> usize {
        self.not_listed_for(self.now, RUN_SCAN_INTERVAL_MS, Phase::Running).len()
    }

    /// Stops runs that have not been listed for `missing_timeout`.
    ///
    /// Such a run would hold its worker's resources, and the rest of its gang, indefinitely. The list
    /// may be older than the run, so it does not show that the run is over. A worker that received a
    /// stop never starts the run, so its task may start elsewhere once the stop is confirmed and the
    /// next poll does not list the run. A stop whose confirmation is overdue is sent again.
    pub(crate) fn stop_unlisted(&mut self, now: u64) {
        if now < self.unlisted_checked_at + RUN_SCAN_INTERVAL_MS {
            return;
        }
        self.unlisted_checked_at = now;
        let bound = self.settings.missing_timeout;
        for (id, key) in self.not_listed_for(now, bound, Phase::Stopping) {
            self.repeat_stop(&id, key, now);
        }
        for (id, key) in self.not_listed_for(now, bound, Phase::Running) {
            self.log("run missing", &id, format!("{key:?} is not listed, and is stopped"));
            self.stop_run(&id, key, now);
        }
    }

    /// Returns the runs in this phase that their responsive workers have not listed for at least
    /// `bound`.
    fn not_listed_for(&self, now: u64, bound: u64, phase: Phase) -> Vec<(Id, Key)> {
        let overdue =
            |placed: &Placement| placed.phase == phase && now >= placed.updated_at + bound;
        let runs = self.jobs.iter().flat_map(|(id, entry)| entry.runs.iter().map(move |r| (id, r)));
        let missing = runs
            .filter(|(id, (key, placed))| overdue(placed) && self.is_unlisted(id, **key, placed));
        missing.map(|(id, (key, _))| (id.clone(), *key)).collect()
    }

    /// Returns whether the run's worker answers, and has listed its runs without this one since the
    /// last sign of it. A list that an agent sends again may be older than the run, and of a run that is
    /// missing from a truncated one the worker may yet list the end.
    fn is_unlisted(&self, id: &str, key: Key, placed: &Placement) -> bool {
        let Some(agent) = self.agents.get(&placed.agent) else { return false };
        let current =
            agent.worker.as_ref().is_some_and(|worker| worker.is_incarnation(&placed.worker));
        let run = (task(id, key), placed.run);
        let listed_since = agent.fenced && placed.updated_at <= agent.listed_at;
        let complete = listed_since && !agent.list_truncated;
        current && agent.link.is_some() && complete && !agent.listed_runs.contains(&run)
    }
}
