//! Batches of state that the owner records in the table.
//!
//! Workers may forget the ends of their runs only after the progress of the jobs is recorded.
//! Batches also hold checkpoints, learned state, waves of maintenance and departed agents.

use std::collections::BTreeSet;

use quincewheel_store::Put;
use quincewheel_wire::Order;
use serde::Serialize;

use crate::agent::Agent;
use crate::batch::{AcknowledgedEnds, Batch};
use crate::entry::Entry;
use crate::learned::Learned;
use crate::owner::Owner;
use crate::room::Room;
use crate::rows::{self, QUEUES_KEY, SPEED_KEY, TIMES_KEY, TRUST_KEY, USAGE_KEY};

/// Most rows of progress in one transaction.
const MAX_BATCH_PROGRESS_ROWS: usize = 50;
/// Most jobs whose checkpoints are in one transaction.
const MAX_BATCH_CHECKPOINT_JOBS: usize = 15;
/// Most departed agents whose rows one transaction deletes.
const MAX_BATCH_DEPARTED_AGENTS: usize = 8;

impl Owner {
    /// Returns the next batch to record, which fits in one transaction; none while one is in flight.
    /// [`Owner::on_recorded`] must follow.
    ///
    /// What does not fit is left for the next batch. The table would refuse a larger one each time,
    /// from each owner, and nothing would be recorded for any job.
    pub fn next_batch(&mut self) -> Option<Batch> {
        if self.record_in_flight {
            return None;
        }
        let mut batch = Batch::default();
        let mut room = Room::of(&self.settings.limits);
        self.add_progress(&mut batch, &mut room);
        self.dirty_urgent &= !self.dirty.is_empty();
        batch.departed =
            self.departed_agents().into_iter().take(MAX_BATCH_DEPARTED_AGENTS).collect();
        self.set_removal_pending(&batch.departed, true);
        self.add_learned(&mut batch, &mut room);
        self.add_waves(&mut batch, &mut room);
        self.add_checkpoints(&mut batch, &mut room);
        self.record_in_flight = true;
        Some(batch)
    }

    /// Adds changed parts of the progress of jobs, and the ends that workers may forget with them.
    ///
    /// What has changed is recorded in rounds, each of which takes as many batches as it needs. Without
    /// them, a few busy jobs could fill each batch, and the others would never be recorded.
    fn add_progress(&mut self, batch: &mut Batch, room: &mut Room) {
        if self.round.is_empty() {
            self.begin_round();
        }
        while let Some((id, part)) = self.round.next() {
            let Some(entry) = self.jobs.get_mut(&id) else {
                self.round.remove(&id, part);
                continue;
            };
            let progress = entry.progress.part(&entry.layout, part);
            let row = row(rows::progress_part_key(&id, part), &progress);
            if batch.jobs.len() >= MAX_BATCH_PROGRESS_ROWS || !room.try_take(&row) {
                return;
            }
            self.round.remove(&id, part);
            entry.set_recorded(part);
            if entry.is_recorded() {
                self.dirty.remove(&id);
            }
            batch.rows.push(row);
            batch.jobs.push((id, progress));
        }
        batch.acknowledged = self.round.take_ends();
    }

    /// Begins a round with all that has changed, and the ends that have led to it.
    fn begin_round(&mut self) {
        let jobs = &mut self.jobs;
        self.dirty.retain(|id| jobs.contains_key(id));
        for id in &self.dirty {
            let Some(entry) = jobs.get_mut(id) else { continue };
            entry.collect_unrecorded();
            entry.unrecorded.iter().for_each(|part| self.round.add(id, *part));
        }
        let ended = self.agents.iter().filter(|(_, a)| a.last_end > a.acknowledged_end);
        let ends = ended.filter_map(|(name, agent)| {
            let worker = agent.worker.as_ref()?.incarnation();
            Some(AcknowledgedEnds { agent: name.clone(), worker, number: agent.last_end })
        });
        self.round.set_ends(ends.collect());
    }

    /// Adds learned state that is due. It only improves decisions, so a part that is too large for a
    /// row is left out.
    fn add_learned(&mut self, batch: &mut Batch, room: &mut Room) {
        let mut learned = self.due_learned();
        let mut found = Vec::new();
        found.extend(learned.times.iter().map(|times| row(TIMES_KEY.to_owned(), times)));
        found.extend(learned.trust.iter().map(|trust| row(TRUST_KEY.to_owned(), trust)));
        found.extend(learned.speed.iter().map(|speed| row(SPEED_KEY.to_owned(), speed)));
        found.extend(learned.usage.iter().map(|usage| row(USAGE_KEY.to_owned(), usage)));
        found.extend(learned.queues.iter().map(|queues| row(QUEUES_KEY.to_owned(), queues)));
        let limit = self.settings.limits.row_bytes;
        for row in &found {
            if row.value.len() > limit {
                let detail = format!("{} bytes, a row takes {limit}", row.value.len());
                self.log("row too large", &row.key, detail);
            }
        }
        found.retain(|row| row.value.len() <= limit);
        let mut fitting = *room;
        if found.iter().all(|row| fitting.try_take(row)) {
            *room = fitting;
            batch.rows.append(&mut found);
        } else {
            self.retry_learned(&learned);
            learned = Learned::default();
        }
        batch.learned = learned;
    }

    /// Adds waves that are new or complete.
    fn add_waves(&mut self, batch: &mut Batch, room: &mut Room) {
        for (number, wave) in self.unrecorded_waves() {
            let row = row(rows::wave_key(number), &wave);
            if room.try_take(&row) {
                batch.rows.push(row);
                batch.waves.push((number, wave));
            } else {
                self.mark_unrecorded(number);
            }
        }
    }

    /// Adds the checkpoints that are due: each job's are recorded at most once per
    /// `checkpoint_interval`, along with other changes.
    fn add_checkpoints(&mut self, batch: &mut Batch, room: &mut Room) {
        let (now, interval) = (self.now, self.settings.checkpoint_interval);
        let limit = self.settings.limits.row_bytes;
        let due = |entry: &&mut Entry| {
            !entry.unrecorded_checkpoints.is_empty()
                && now >= entry.checkpoints_recorded_at + interval
        };
        let jobs = self.jobs.iter_mut();
        for (id, entry) in jobs.filter(|(_, entry)| due(entry)).take(MAX_BATCH_CHECKPOINT_JOBS) {
            while let Some(&part) = entry.unrecorded_checkpoints.first() {
                let checkpoints = entry.open_checkpoints(id, part, limit);
                let row = row(rows::checkpoints_part_key(id, part), &checkpoints);
                if !room.try_take(&row) {
                    return;
                }
                entry.unrecorded_checkpoints.remove(&part);
                batch.rows.push(row);
                batch.checkpoints.push((id.clone(), checkpoints));
            }
            entry.checkpoints_recorded_at = now;
        }
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
            for (id, progress) in &batch.jobs {
                self.dirty.insert(id.clone());
                if let Some(entry) = self.jobs.get_mut(id) {
                    entry.unrecorded.insert(progress.part);
                }
                self.round.add(id, progress.part);
            }
            self.dirty_urgent = true;
            self.retry_learned(&batch.learned);
            for (number, _) in &batch.waves {
                self.mark_unrecorded(*number);
            }
            for (id, checkpoints) in &batch.checkpoints {
                if let Some(entry) = self.jobs.get_mut(id) {
                    entry.unrecorded_checkpoints.insert(checkpoints.part());
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

fn row(key: String, value: &impl Serialize) -> Put {
    let value = serde_json::to_string(value).expect("rows are plain data");
    Put { key, value }
}
