//! Batches of state that the owner records in the table.
//!
//! Workers may forget the ends of their runs only after the progress of the jobs is recorded.
//! Batches also hold checkpoints, learned state, waves of maintenance and departed agents.

use std::collections::BTreeSet;

use quincewheel_job::Id;
use quincewheel_wire::Order;

use crate::agent::Agent;
use crate::batch::{AcknowledgedEnds, Batch};
use crate::checkpoints::Checkpoints;
use crate::entry::Entry;
use crate::owner::Owner;

/// Most jobs in one transaction. The table accepts 100 rows; the others are for the owner's row,
/// checkpoints and deleted rows.
const MAX_BATCH_JOBS: usize = 50;
/// Most jobs whose checkpoints are in one transaction.
const MAX_BATCH_CHECKPOINT_JOBS: usize = 15;
/// Most departed agents whose rows one transaction deletes.
const MAX_BATCH_DEPARTED_AGENTS: usize = 8;

impl Owner {
    /// Returns the next batch to record; none while one is in flight. [`Owner::on_recorded`] must
    /// follow.
    pub fn next_batch(&mut self) -> Option<Batch> {
        if self.record_in_flight {
            return None;
        }
        let ids: Vec<Id> = self.dirty.iter().take(MAX_BATCH_JOBS).cloned().collect();
        let mut batch = Batch { learned: self.due_learned(), ..Batch::default() };
        for id in ids {
            self.dirty.remove(&id);
            if let Some(entry) = self.jobs.get(&id) {
                batch.jobs.push((id, entry.progress.clone()));
            }
        }
        if self.dirty.is_empty() {
            for (name, agent) in
                self.agents.iter().filter(|(_, agent)| agent.last_end > agent.acknowledged_end)
            {
                let Some(worker) = &agent.worker else { continue };
                let (agent, worker, number) = (name.clone(), worker.incarnation(), agent.last_end);
                batch.acknowledged.push(AcknowledgedEnds { agent, worker, number });
            }
            self.dirty_urgent = false;
        }
        batch.departed =
            self.departed_agents().into_iter().take(MAX_BATCH_DEPARTED_AGENTS).collect();
        self.set_removal_pending(&batch.departed, true);
        batch.checkpoints = self.due_checkpoints();
        batch.waves = self.unrecorded_waves();
        self.record_in_flight = true;
        Some(batch)
    }

    /// Returns the checkpoints that are due: each job's are recorded at most once per
    /// `checkpoint_interval`, along with other changes.
    fn due_checkpoints(&mut self) -> Vec<(Id, Checkpoints)> {
        let (now, interval) = (self.now, self.settings.checkpoint_interval);
        let due = |entry: &&mut Entry| {
            entry.checkpoints_dirty && now >= entry.checkpoints_recorded_at + interval
        };
        let mut found = Vec::new();
        for (id, entry) in self.jobs.iter_mut() {
            if found.len() < MAX_BATCH_CHECKPOINT_JOBS && due(&entry) {
                entry.checkpoints_dirty = false;
                entry.checkpoints_recorded_at = now;
                found.push((id.clone(), entry.open_checkpoints(id)));
            }
        }
        found
    }

    /// Returns the agents whose rows are to be deleted: their worker has shut down, or there has
    /// been no connection or no worker for longer than any lease, and no run is recorded there.
    ///
    /// A new owner waits for all members before it starts older jobs. Without this it would wait
    /// for the lease of every machine that was ever removed, which delays work by 6 s after each
    /// change of owner.
    fn departed_agents(&self) -> Vec<String> {
        let bound =
            self.settings.lease + self.settings.lease_margin + self.settings.absence_timeout;
        let departed = |agent: &Agent| {
            let absent = agent.absent_since.is_some_and(|since| self.now >= since + bound);
            self.settled && (agent.worker_left || absent)
        };
        let runs: BTreeSet<&str> = self
            .jobs
            .values()
            .flat_map(|entry| entry.runs.values().map(|placed| placed.agent.as_str()))
            .collect();
        let names = self
            .agents
            .iter()
            .filter(|(name, agent)| departed(agent) && !runs.contains(name.as_str()));
        names.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether clients wait for a change that is not recorded yet.
    pub fn has_urgent_changes(&self) -> bool {
        self.dirty_urgent
    }

    /// Returns whether there are unrecorded changes or unacknowledged ends.
    pub fn has_unrecorded(&self) -> bool {
        !self.dirty.is_empty()
            || self.agents.values().any(|agent| agent.last_end > agent.acknowledged_end)
    }

    /// Handles the result of recording a batch. If it is not `done`, its content becomes due again.
    pub fn on_recorded(&mut self, batch: &Batch, done: bool) {
        self.record_in_flight = false;
        if !done {
            self.set_removal_pending(&batch.departed, false);
            for (id, _) in &batch.jobs {
                self.dirty.insert(id.clone());
            }
            self.dirty_urgent = true;
            self.retry_learned(&batch.learned);
            for (number, _) in &batch.waves {
                self.mark_unrecorded(*number);
            }
            for (id, _) in &batch.checkpoints {
                if let Some(entry) = self.jobs.get_mut(id) {
                    entry.checkpoints_dirty = true;
                    entry.checkpoints_recorded_at = 0;
                }
            }
            return;
        }
        for ends in &batch.acknowledged {
            self.acknowledge(ends);
        }
        for name in &batch.departed {
            // An agent that has announced itself since then is a member again.
            if self.agents.get(name).is_some_and(|agent| agent.removal_pending) {
                self.dismiss(name);
            }
        }
        for (id, progress) in &batch.jobs {
            self.on_progress_recorded(id);
            let idle = self.jobs.get(id).is_some_and(|entry| entry.runs.is_empty());
            if progress.state.is_final() && idle && !self.dirty.contains(id) {
                self.close_job(id);
            }
        }
    }

    /// Notifies the worker that its ends up to a number are recorded and may be forgotten.
    fn acknowledge(&mut self, ends: &AcknowledgedEnds) {
        let Some(agent) = self.agents.get_mut(&ends.agent) else { return };
        if agent.worker.as_ref().is_some_and(|worker| worker.is_incarnation(&ends.worker)) {
            agent.acknowledged_end = agent.acknowledged_end.max(ends.number);
            if let Some(link) = agent.link {
                let (worker, number) = (ends.worker.clone(), ends.number);
                self.send(link, Order::Seen { worker, number });
            }
        }
    }
}
