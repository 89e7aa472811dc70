//! Stops of runs, and their removal from the owner's state.

use quincewheel_job::Id;
use quincewheel_wire::Order;

use crate::entry::Key;
use crate::owner::{Owner, task};
use crate::placement::{Phase, Placement};

impl Owner {
    /// Orders a run's worker to stop it, unless a stop was ordered before.
    pub(crate) fn stop_run(&mut self, id: &str, key: Key, now: u64) {
        let Some(placed) = self.jobs.get_mut(id).and_then(|entry| entry.runs.get_mut(&key)) else {
            return;
        };
        if placed.phase == Phase::Stopping {
            return;
        }
        placed.phase = Phase::Stopping;
        self.repeat_stop(id, key, now);
    }

    /// Sends the order to stop a run again.
    pub(crate) fn repeat_stop(&mut self, id: &str, key: Key, now: u64) {
        let Some(placed) = self.jobs.get_mut(id).and_then(|entry| entry.runs.get_mut(&key)) else {
            return;
        };
        placed.updated_at = now;
        let (name, worker, run) = (placed.agent.clone(), placed.worker.clone(), placed.run);
        self.send_to_agent(&name, Order::Stop { worker, task: task(id, key), run });
    }

    /// Removes a run that is taken for over without a word of its worker or its agent.
    ///
    /// If another entry has taken over, the agent may have reported to that one since: its worker's
    /// lease may have been renewed, and the run may be done. An owner that the table does not answer
    /// and whose connection to the agent is lost would not know. So the task waits until the table
    /// has confirmed that there was no other owner up to now.
    pub(crate) fn assume_over(&mut self, id: &str, key: Key, now: u64) {
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.assumed_over_at = now;
            self.assumed_over_at = now;
        }
        self.remove_run(id, key);
    }

    /// Removes a run that no longer exists.
    pub(crate) fn remove_run(&mut self, id: &str, key: Key) {
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.remove_run(&key, self.now);
        }
        self.on_run_removed(id);
    }

    /// Plans again after a run was removed, and marks its ended job for a record if it was the last.
    pub(crate) fn on_run_removed(&mut self, id: &str) {
        if let Some(entry) = self.jobs.get(id) {
            self.replan = true;
            if entry.progress.state.is_final() && entry.runs.is_empty() && !self.dirty.contains(id)
            {
                self.mark_dirty(id, false);
            }
        }
    }

    /// Returns the runs of all jobs for which `wanted` returns true.
    pub(crate) fn runs_where(&self, wanted: impl Fn(&Placement) -> bool) -> Vec<(Id, Key)> {
        let runs = self
            .jobs
            .iter()
            .flat_map(|(id, entry)| entry.runs.iter().map(move |(key, placed)| (id, *key, placed)));
        runs.filter(|(_, _, placed)| wanted(placed)).map(|(id, key, _)| (id.clone(), key)).collect()
    }
}
