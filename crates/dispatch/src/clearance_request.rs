//! Requests for the clearance of steps: which is sent, and what its answer changes.
//!
//! A service outside the system decides which workers may run a step. It answers one call at a time.

use quincewheel_job::{Id, Incarnation, Step};
use quincewheel_trust::Admission;

use crate::candidate::Candidate;
use crate::cause::Cause;
use crate::clearance::Clearance;
use crate::clearance_service::{ClearanceCalls, call_timeout_ms};
use crate::entry::Key;
use crate::output::Output;
use crate::owner::Owner;
use crate::snapshot::{Exclusions, Snapshot};

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
        let took = now.saturating_sub(sent);
        self.service.pending = false;
        self.replan = true;
        let advice = self.jobs.get(&request.job).and_then(|entry| self.queues.advice(&entry.job));
        let stated = advice.unwrap_or_default().call_ms(request.workers.len());
        match answer {
            Some(_) => self.service.record_answer(),
            None => self.service.record_failure(now),
        }
        let Some(entry) = self.jobs.get_mut(&request.job) else { return };
        let clearance = entry.clearances.entry((request.occurrence, request.step)).or_default();
        let Some((tickets, valid_ms)) = answer else {
            clearance.record_failure(now);
            let retry_at = clearance.retry_at.max(self.service.retry_at);
            self.schedule_clearance(retry_at);
            self.log("not cleared", &request.job, format!("no answer after {took} ms"));
            return self.waive_tickets(&request.job);
        };
        let valid_ms = match valid_ms {
            0 => advice.map_or(0, |advice| advice.valid),
            stated => stated,
        };
        clearance.record_answer(request, (tickets, valid_ms), (took, stated), now);
        let (cleared, all) = (tickets.len(), request.workers.len());
        let detail = format!("{cleared} of {all} workers after {took} ms, for {valid_ms} ms");
        self.log("cleared", &request.job, detail);
        if tickets.is_empty() {
            self.waive_tickets(&request.job);
        }
    }

    /// Starts tasks of a job without tickets, which the service does not give, if its queue may need
    /// none.
    fn waive_tickets(&mut self, id: &str) {
        let Some(entry) = self.jobs.get(id) else { return };
        if self.queues.record_no_tickets(&entry.job) {
            let detail = format!("queue {}: the service gives no tickets", entry.job.queue.name);
            self.log("clearance waived", id, detail);
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

    /// Selects the request that the candidate's step needs as the one of this round, if its turn comes
    /// before that of the selected one. Steps for which there is room come first, and of those the one
    /// whose last request is the oldest: a step whose tickets are of no use must not keep the service
    /// busy.
    pub(crate) fn select_clearance_request(
        &mut self,
        candidate: &Candidate,
        (step, pool): (&Step, &str),
        (excluded, admission): (&Exclusions, &Admission),
        snapshot: &mut Snapshot,
    ) {
        let key = (candidate.id.clone(), candidate.occurrence, candidate.step);
        let cause = self.waits.cause(&key);
        let has_room = cause.is_some_and(|cause| !cause.is_lack_of_capacity());
        // What is reserved is requested with the reservation.
        if cause == Some(Cause::Reserved) || !self.has_clearance_turn(candidate, has_room, snapshot)
        {
            return;
        }
        let workers = match has_room {
            true => {
                self.workers_to_start_at(candidate, (step, pool), (excluded, admission), snapshot)
            }
            false => self.workers_to_prefetch(candidate, (step, pool), excluded, snapshot),
        };
        if let Some(workers) = workers {
            self.set_clearance_request(candidate, (workers, has_room), snapshot);
        }
    }

    /// Selects a request for the tickets that a candidate lacks at workers that are reserved for it.
    pub(crate) fn request_reserved_clearance(
        &mut self,
        candidate: &Candidate,
        indexes: &[usize],
        snapshot: &mut Snapshot,
    ) {
        let mut indexes = indexes.to_vec();
        indexes.sort_unstable();
        indexes.dedup();
        if self.has_clearance_turn(candidate, true, snapshot)
            && let Some(workers) = self.lacking_tickets(candidate, &indexes, true, snapshot)
        {
            self.set_clearance_request(candidate, (workers, true), snapshot);
        }
    }

    /// Returns whether a request for the candidate's step would be selected now.
    fn has_clearance_turn(
        &self,
        candidate: &Candidate,
        has_room: bool,
        snapshot: &Snapshot,
    ) -> bool {
        let requested_at = self.clearance_of(candidate).map_or(0, |known| known.requested_at);
        let selected = snapshot.clearance_request.as_ref().map(|(turn, _)| *turn);
        !self.service.pending
            && self.now >= self.service.retry_at
            && selected.is_none_or(|selected| (!has_room, requested_at) < selected)
    }

    fn set_clearance_request(
        &mut self,
        candidate: &Candidate,
        (workers, has_room): (Vec<Incarnation>, bool),
        snapshot: &mut Snapshot,
    ) {
        let Some(entry) = self.jobs.get(&candidate.id) else { return };
        let advice = self.queues.advice(&entry.job).unwrap_or_default();
        let timeout_ms = call_timeout_ms(advice, workers.len());
        let requested_at = self.clearance_of(candidate).map_or(0, |known| known.requested_at);
        let (job, occurrence, step) = (candidate.id.clone(), candidate.occurrence, candidate.step);
        let request = ClearanceRequest { job, occurrence, step, workers, timeout_ms };
        snapshot.clearance_request = Some(((!has_room, requested_at), request));
    }

    /// Ensures that the next round of planning is no later than `at`.
    pub(crate) fn schedule_clearance(&mut self, at: u64) {
        self.clearance_retry_at = Some(self.clearance_retry_at.map_or(at, |known| known.min(at)));
    }

    /// Sends the request that was noted in a round of planning.
    pub(crate) fn request_clearance(&mut self, snapshot: &mut Snapshot) {
        if let Some((_, request)) = snapshot.clearance_request.take() {
            self.service.pending = true;
            let entry = self.jobs.get_mut(&request.job);
            let step = (request.occurrence, request.step);
            if let Some(clearance) = entry.map(|entry| entry.clearances.entry(step).or_default()) {
                clearance.requested_at = self.now;
                self.service.calls.repeated += u64::from(clearance.is_repeated());
            }
            self.service.calls.sent += 1;
            self.outputs.push(Output::RequestClearance { request });
        }
    }

    /// Returns how many calls were made to the service under this owner.
    pub fn clearance_calls(&self) -> ClearanceCalls {
        self.service.calls
    }

    pub(crate) fn clearance_of(&self, candidate: &Candidate) -> Option<&Clearance> {
        let entry = self.jobs.get(&candidate.id)?;
        entry.clearances.get(&(candidate.occurrence, candidate.step))
    }
}
