//! What must be in the table: jobs' progress before workers may forget their
//! ends, checkpoints, learned run times, and who is a member no more.

use std::collections::BTreeSet;

use quincewheel_job::Id;
use quincewheel_wire::Order;

use crate::agent::Agent;
use crate::batch::{Batch, Seen};
use crate::entry::Entry;
use crate::owner::Owner;
use crate::saved::Saved;

/// Most jobs in one transaction. The table takes 100 rows; the rest is for the
/// owner's own, checkpoints, and rows that are dropped.
const BATCH: usize = 50;
/// Most jobs whose checkpoints are in one transaction.
const SAVED: usize = 15;
/// Most members that one transaction drops.
const GONE: usize = 8;

impl Owner {
    /// What is to be recorded now; none if a record is under way.
    pub fn record(&mut self) -> Option<Batch> {
        if self.record_in_flight {
            return None;
        }
        let ids: Vec<Id> = self.dirty.iter().take(BATCH).cloned().collect();
        let mut batch =
            Batch { times: self.times_changed.then(|| self.times.clone()), ..Batch::default() };
        self.times_changed = false;
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
                batch.seen.push(Seen { agent, worker, number });
            }
            self.dirty_urgent = false;
        }
        batch.gone = self.gone().into_iter().take(GONE).collect();
        self.begin_dismissal(&batch.gone, true);
        batch.saved = self.unsaved();
        batch.waves = self.new_waves();
        self.record_in_flight = true;
        Some(batch)
    }

    /// Checkpoints that are to be recorded: one record a job in a while, along
    /// with what is written anyway.
    fn unsaved(&mut self) -> Vec<(Id, Saved)> {
        let (now, keep) = (self.now, self.settings.keep);
        let due = |entry: &&mut Entry| {
            entry.checkpoints_dirty && now >= entry.checkpoints_recorded_at + keep
        };
        let mut found = Vec::new();
        for (id, entry) in self.jobs.iter_mut() {
            if found.len() < SAVED && due(&entry) {
                entry.checkpoints_dirty = false;
                entry.checkpoints_recorded_at = now;
                found.push((id.clone(), entry.open_checkpoints(id)));
            }
        }
        found
    }

    /// Agents that are no members any more: gone, or without a worker, for so
    /// long that nothing runs there, or whose worker said that it ends.
    ///
    /// A new owner waits for all members before it starts older jobs. Without
    /// this it would wait a whole lease for each machine that was ever taken
    /// away: 6 s in which work stood still after every change of owner.
    fn gone(&self) -> Vec<String> {
        let bound = self.settings.lease + self.settings.margin + self.settings.absence;
        let gone = |agent: &Agent| {
            let absent = agent.absent_since.is_some_and(|since| self.now >= since + bound);
            self.settled && (agent.worker_left || absent)
        };
        let runs: BTreeSet<&str> = self
            .jobs
            .values()
            .flat_map(|entry| entry.runs.values().map(|placed| placed.agent.as_str()))
            .collect();
        let names =
            self.agents.iter().filter(|(name, agent)| gone(agent) && !runs.contains(name.as_str()));
        names.map(|(name, _)| name.clone()).collect()
    }

    /// True if callers wait for what is to be recorded.
    pub fn urgent(&self) -> bool {
        self.dirty_urgent
    }

    /// True if something is to be recorded.
    pub fn unrecorded(&self) -> bool {
        !self.dirty.is_empty()
            || self.agents.values().any(|agent| agent.last_end > agent.acknowledged_end)
    }

    /// A batch was recorded, or was not.
    pub fn recorded(&mut self, batch: &Batch, done: bool) {
        self.record_in_flight = false;
        if !done {
            self.begin_dismissal(&batch.gone, false);
            for (id, _) in &batch.jobs {
                self.dirty.insert(id.clone());
            }
            self.dirty_urgent = true;
            self.times_changed |= batch.times.is_some();
            for (number, _) in &batch.waves {
                self.unrecord(*number);
            }
            for (id, _) in &batch.saved {
                if let Some(entry) = self.jobs.get_mut(id) {
                    entry.checkpoints_dirty = true;
                    entry.checkpoints_recorded_at = 0;
                }
            }
            return;
        }
        for seen in &batch.seen {
            self.forget(seen);
        }
        for name in &batch.gone {
            // One that has announced itself since then is a member again.
            if self.agents.get(name).is_some_and(|agent| agent.removal_pending) {
                self.dismiss(name);
            }
        }
        for (id, progress) in &batch.jobs {
            self.note_recorded(id);
            let idle = self.jobs.get(id).is_some_and(|entry| entry.runs.is_empty());
            if progress.state.ended() && idle && !self.dirty.contains(id) {
                self.close_job(id);
            }
        }
    }

    fn forget(&mut self, seen: &Seen) {
        let Some(agent) = self.agents.get_mut(&seen.agent) else { return };
        if agent.worker.as_ref().is_some_and(|worker| worker.is(&seen.worker)) {
            agent.acknowledged_end = agent.acknowledged_end.max(seen.number);
            if let Some(link) = agent.link {
                let (worker, number) = (seen.worker.clone(), seen.number);
                self.send(link, Order::Seen { worker, number });
            }
        }
    }
}
