//! Runs that are believed to go on at workers that answer and do not list them.

use quincewheel_job::Id;

use crate::entry::{Key, Phase, Placement};
use crate::owner::{Owner, task};

/// Time between two looks for such runs, in milliseconds: each goes through all runs.
const SEEK: u64 = 1000;

impl Owner {
    /// How many there are, of those that were listed more than a second ago.
    pub fn unlisted_runs(&self) -> usize {
        self.not_listed_for(self.now, SEEK).len()
    }

    /// Stops runs that have not been listed for long.
    ///
    /// The agent of an idle worker has nothing to report, so no report of it shows that a run
    /// is missing. Such a run held its worker's room, and the rest of its gang back, for good.
    /// A worker that was told to stop a run does not begin it any more, so that its task
    /// may start elsewhere once the stop is confirmed and a look does not list it.
    pub(crate) fn stop_unlisted(&mut self, now: u64) {
        if now < self.unlisted_checked_at + SEEK {
            return;
        }
        self.unlisted_checked_at = now;
        for (id, key) in self.not_listed_for(now, self.settings.missing) {
            self.log("run missing", &id, format!("{key:?} is not listed, and is stopped"));
            self.stop_run(&id, key, now);
        }
    }

    fn not_listed_for(&self, now: u64, bound: u64) -> Vec<(Id, Key)> {
        let old =
            |placed: &Placement| placed.phase == Phase::Running && now >= placed.updated_at + bound;
        let runs = self.jobs.iter().flat_map(|(id, entry)| entry.runs.iter().map(move |r| (id, r)));
        let missing =
            runs.filter(|(id, (key, placed))| old(placed) && self.omits(id, **key, placed));
        missing.map(|(id, (key, _))| (id.clone(), *key)).collect()
    }

    /// True if the run's worker answers, and has not listed it last.
    fn omits(&self, id: &str, key: Key, placed: &Placement) -> bool {
        let Some(agent) = self.agents.get(&placed.agent) else { return false };
        let there = agent.worker.as_ref().is_some_and(|worker| worker.is(&placed.worker));
        let run = (task(id, key), placed.run);
        there && agent.fenced && agent.link.is_some() && !agent.listed_runs.contains(&run)
    }
}
