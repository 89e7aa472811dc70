//! Clearance of steps for workers.
//!
//! An external service decides which workers may run a step. It answers one call at a time, and a
//! call's time grows with its number of workers. So a step requests clearance for a few workers,
//! those with the most free capacity first, and for more only while tasks have no worker. A refusal
//! is final, and an expired ticket is requested again.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Id, Incarnation, Step};
use quincewheel_place::WorkerState;

use crate::candidate::Candidate;
use crate::entry::Key;
use crate::output::Output;
use crate::owner::Owner;
use crate::snapshot::Snapshot;

/// The clearance of one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Clearance {
    /// Workers that may not run the step.
    barred: BTreeSet<Incarnation>,
    /// Tickets by worker. A ticket is valid only for the incarnation that it was issued for.
    tickets: BTreeMap<Incarnation, Ticket>,
    /// No request is sent before this time.
    retry_at: u64,
    /// When clearance was last requested; 0 if it never was.
    requested_at: u64,
}

#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    expires_at: u64,
}

/// A request to the service: which of these workers may run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClearanceRequest {
    /// The job.
    pub job: Id,
    /// The occurrence of a scheduled job.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The workers.
    pub workers: Vec<Incarnation>,
    /// Time limit for the call, in milliseconds.
    pub timeout_ms: u64,
}

/// Most workers in one request. Enough for most steps; a call's time grows with each worker.
const MAX_REQUESTED_WORKERS: usize = 12;
/// Shortest remaining validity of a ticket that is used. A start may be tried three times, 400 ms
/// apart.
const MIN_TICKET_VALIDITY_MS: u64 = 1300;
/// Time limit for a request beyond the time that the service states for its answer.
const EXTRA_TIMEOUT_MS: u64 = 1500;
/// Delay before the next request after one that got no answer.
const REQUEST_RETRY_DELAY_MS: u64 = 300;

impl Clearance {
    /// Returns the ticket for a worker, if it is valid for long enough.
    pub fn ticket(&self, worker: &Incarnation, now: u64) -> Option<&str> {
        let held = self
            .tickets
            .get(worker)
            .filter(|ticket| ticket.expires_at >= now + MIN_TICKET_VALIDITY_MS);
        held.map(|ticket| ticket.text.as_str())
    }

    /// Returns the number of workers that may not run the step, and of those with a usable ticket.
    pub fn counts(&self, now: u64) -> (usize, usize) {
        let held = self.tickets.keys().filter(|worker| self.ticket(worker, now).is_some());
        (self.barred.len(), held.count())
    }

    /// Drops a ticket that its worker refused.
    pub fn drop_ticket(&mut self, worker: &Incarnation) {
        self.tickets.remove(worker);
    }

    /// Returns whether clearance for the worker may be requested now.
    fn needs_request(&self, worker: &Incarnation, now: u64) -> bool {
        now >= self.retry_at && !self.barred.contains(worker) && self.ticket(worker, now).is_none()
    }

    /// Records the answer to a request. `tickets` are pairs of a worker's id and its ticket; the
    /// other workers of the request may not run the step.
    fn record_answer(
        &mut self,
        request: &ClearanceRequest,
        tickets: &[(String, String)],
        expires_at: u64,
    ) {
        for worker in &request.workers {
            match tickets.iter().find(|(id, _)| *id == worker.id) {
                Some((_, text)) => {
                    let ticket = Ticket { text: text.clone(), expires_at };
                    self.tickets.insert(worker.clone(), ticket);
                }
                None => {
                    self.barred.insert(worker.clone());
                }
            }
        }
    }
}

impl Owner {
    /// Handles the answer to a request that was sent at `sent`: tickets by worker id, and for how
    /// many milliseconds they are valid; none if no answer arrived.
    pub fn on_clearance(
        &mut self,
        request: &ClearanceRequest,
        answer: Option<(&[(String, String)], u64)>,
        sent: u64,
        now: u64,
    ) {
        self.clearance_pending = false;
        self.replan = true;
        let Some(entry) = self.jobs.get_mut(&request.job) else { return };
        let clearance = entry.clearances.entry((request.occurrence, request.step)).or_default();
        match answer {
            Some((tickets, valid)) => {
                let job = &entry.job;
                if tickets.is_empty() && self.queues.record_no_tickets(job) {
                    self.log(
                        "clearance waived",
                        &request.job,
                        "the service clears no worker".to_owned(),
                    );
                    return;
                }
                clearance.record_answer(request, tickets, sent + valid);
                let detail = format!("{} of {} workers", tickets.len(), request.workers.len());
                self.log("cleared", &request.job, detail);
            }
            None => {
                clearance.retry_at = now + REQUEST_RETRY_DELAY_MS;
                self.clearance_retry_at = Some(now + REQUEST_RETRY_DELAY_MS);
                let waived = self.queues.record_no_tickets(&entry.job);
                self.log("not cleared", &request.job, "no answer".to_owned());
                if waived {
                    self.log(
                        "clearance waived",
                        &request.job,
                        "the queue may need none".to_owned(),
                    );
                }
            }
        }
    }

    /// Handles a start that its worker refused for want of a ticket.
    pub(crate) fn on_ticket_refused(&mut self, id: &str, key: Key, worker: &Incarnation) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        if let Some(clearance) = entry.clearances.get_mut(&(key.0, key.1)) {
            clearance.drop_ticket(worker);
        }
        if self.queues.record_demand(&entry.job) {
            let detail = format!("queue {}: a worker demands a ticket", entry.job.queue.name);
            self.log("clearance demanded", id, detail);
        }
    }

    /// Selects the request that the candidate's step needs, for workers at these indexes, as the one
    /// of this round if its turn comes before that of the selected one. Steps for which there is room
    /// come first, and of those the one whose last request is the oldest: a gang may need clearance
    /// for more workers than can be requested before its first tickets expire, and no other step
    /// would ever be cleared.
    pub(crate) fn select_clearance_request(
        &self,
        candidate: &Candidate,
        indexes: &[usize],
        (step, pool): (&Step, &str),
        snapshot: &mut Snapshot,
    ) {
        let key = (candidate.id.clone(), candidate.occurrence, candidate.step);
        let has_room = self.waits.cause(&key).is_some_and(|cause| !cause.is_lack_of_capacity());
        let Some(entry) = self.jobs.get(&candidate.id) else { return };
        let clearance = entry.clearances.get(&(candidate.occurrence, candidate.step));
        let turn = (!has_room, clearance.map_or(0, |clearance| clearance.requested_at));
        let selected = snapshot.clearance_request.as_ref().map(|(turn, _)| *turn);
        if self.clearance_pending || selected.is_some_and(|selected| selected <= turn) {
            return;
        }
        let needs_request = |worker: &Incarnation| {
            clearance.is_none_or(|clearance| clearance.needs_request(worker, self.now))
        };
        // The workers with the most free capacity come first.
        let workers = most_free(indexes, snapshot, pool, &step.label).into_iter();
        let workers: Vec<Incarnation> =
            workers.filter(needs_request).take(MAX_REQUESTED_WORKERS).collect();
        if !workers.is_empty() {
            let (job, occurrence, step) = key;
            let advice = self.queues.advice(&entry.job).unwrap_or_default();
            let timeout_ms = advice.call_ms(workers.len()) + EXTRA_TIMEOUT_MS;
            let request = ClearanceRequest { job, occurrence, step, workers, timeout_ms };
            snapshot.clearance_request = Some((turn, request));
        }
    }

    /// Sends the request that was noted in a round of planning.
    pub(crate) fn request_clearance(&mut self, snapshot: &mut Snapshot) {
        if let Some((_, request)) = snapshot.clearance_request.take() {
            self.clearance_pending = true;
            let entry = self.jobs.get_mut(&request.job);
            let step = (request.occurrence, request.step);
            if let Some(clearance) = entry.map(|entry| entry.clearances.entry(step).or_default()) {
                clearance.requested_at = self.now;
            }
            self.outputs.push(Output::RequestClearance { request });
        }
    }

    /// Returns the indexes of workers that the step is not cleared for. Empty on a queue that needs
    /// no clearance.
    pub(crate) fn uncleared(
        &self,
        candidate: &Candidate,
        snapshot: &Snapshot,
        now: u64,
    ) -> Vec<usize> {
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        if !self.queues.needs_tickets(&entry.job) {
            return Vec::new();
        }
        let key = (candidate.occurrence, candidate.step, 0);
        let cleared = |worker: &WorkerState| entry.ticket(key, &worker.incarnation, now).is_some();
        let workers = snapshot.workers.iter().enumerate();
        workers.filter(|(_, worker)| !cleared(worker)).map(|(index, _)| index).collect()
    }
}

/// Returns the workers at these indexes that could run a step, those with the most free
/// accelerators first.
fn most_free(
    indexes: &[usize],
    snapshot: &Snapshot,
    pool: &str,
    label: &String,
) -> Vec<Incarnation> {
    let fits = |worker: &&WorkerState| {
        worker.pool == pool && (label.is_empty() || worker.labels.contains(label))
    };
    let mut workers: Vec<&WorkerState> =
        indexes.iter().map(|&index| &snapshot.workers[index]).filter(fits).collect();
    workers.sort_by_key(|worker| std::cmp::Reverse(worker.free.accelerators));
    workers.into_iter().map(|worker| worker.incarnation.clone()).collect()
}
