//! Orders to start tasks.

use quincewheel_job::{Id, Incarnation, Step};
use quincewheel_wire::Order;

use crate::candidate::Candidate;
use crate::entry::{Entry, Key};
use crate::owner::{Owner, task};
use crate::placement::Placement;
use crate::snapshot::Snapshot;
use crate::suspects::RecentStart;

/// Run numbers available to each epoch for one task. An owner numbers runs from a base derived
/// from its epoch, so that they increase across takeovers without a record of each start. No task
/// starts this often under one owner.
pub(crate) const RUNS_PER_EPOCH: u64 = 1000;

impl Owner {
    /// Orders the start of tasks on the chosen workers. `pairs` holds the index of each task and
    /// that of its worker in the snapshot.
    pub(crate) fn start_tasks(
        &mut self,
        candidate: &Candidate,
        step: &Step,
        pairs: &[(u32, usize)],
        snapshot: &mut Snapshot,
        now: u64,
    ) {
        let gang_unit = self.next_unit;
        for &(index, worker_index) in pairs {
            let name = take_room(candidate, step, worker_index, snapshot);
            let Some(worker) = self.agents.get(&name).and_then(|agent| agent.worker.as_ref())
            else {
                continue;
            };
            let worker = worker.incarnation();
            let key = (candidate.occurrence, candidate.step, index);
            let unit = if step.gang { gang_unit } else { self.next_unit };
            self.next_unit = self.next_unit.max(unit) + 1;
            // The members of a gang share the number of the first.
            let is_numbered = !step.gang || pairs.first().is_some_and(|pair| pair.0 == index);
            let base = (self.epoch - 1) * RUNS_PER_EPOCH;
            let Some(entry) = self.jobs.get_mut(&candidate.id) else { return };
            let run = entry.next_run(key, base, is_numbered);
            let order = start_order(
                (&candidate.id, entry),
                key,
                (&worker, run),
                (false, candidate.suspect),
                now,
            );
            let from_scratch = !entry.checkpoints.contains_key(&entry.slot(key));
            let placed = Placement::starting(&name, &worker, (run, unit), now);
            entry.runs.insert(key, Placement { from_scratch, ..placed });
            let task = task(&candidate.id, key);
            self.log("start", &candidate.id, format!("{task} run {run} at {name}"));
            self.send_to_agent(&name, order);
        }
    }
}

/// Takes the room for a task out of the snapshot, and returns the name of its worker's agent.
fn take_room(
    candidate: &Candidate,
    step: &Step,
    worker_index: usize,
    snapshot: &mut Snapshot,
) -> String {
    let need = step.resources();
    let state = &mut snapshot.workers[worker_index];
    state.free.subtract(&need);
    let name = state.name.clone();
    snapshot.actual_free[worker_index].subtract(&need);
    snapshot.record_use(worker_index, &need);
    let recent_start = if candidate.suspect { RecentStart::Suspect } else { RecentStart::Any };
    recent_start.record(&mut snapshot.recent_starts, worker_index);
    snapshot.record_trial(worker_index);
    name
}

/// Returns the order to start a task's run at a worker. `again` says that it was sent before, `suspect`
/// that the task may crash the worker.
pub(crate) fn start_order(
    (id, entry): (&Id, &Entry),
    key: Key,
    (worker, run): (&Incarnation, u64),
    (again, suspect): (bool, bool),
    now: u64,
) -> Order {
    Order::Start {
        worker: worker.clone(),
        task: task(id, key),
        run,
        spec: entry.job.spec.clone(),
        saved: entry.checkpoints.get(&entry.slot(key)).cloned().unwrap_or_default(),
        ticket: entry.ticket(key, worker, now).unwrap_or_default().to_owned(),
        again,
        suspect,
    }
}
