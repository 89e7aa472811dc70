//! Ends of attempts: members' reports, the outcome and its row, and lost workers.

use quincewheel_pool::JobId;
use quincewheel_wire::{Answer, Attempt, Frame, LinkId, Outcome, Report};

use crate::context::Context;
use crate::denials::Basis;
use crate::ledger::{Tag, Write};
use crate::owner::Owner;
use crate::record::{MemberState, Phase, RowState, Step, StopReason};
use crate::rows;

/// How long the outcome of a job without a row is retained for its caller.
const UNRECORDED_RETENTION: std::time::Duration = std::time::Duration::from_secs(60);

impl Owner {
    pub(crate) fn on_ended(
        &mut self,
        cx: &mut Context,
        link: LinkId,
        attempt: Attempt,
        report: Report,
    ) {
        let Some(worker) = self.worker_of(link) else { return };
        let Some(id) = self.jobs_by_attempt.get(&attempt).copied() else {
            // Its outcome is recorded and removed here, or it never started.
            cx.send(link, Frame::Forget { epoch: self.row.epoch, attempt });
            return;
        };
        let record = self.jobs.get_mut(&id).expect("attempts name records");
        match &record.phase {
            Phase::Attempted(current) if current.attempt == attempt => {
                self.record_member_end(cx, attempt, &worker, report);
            }
            Phase::Final { outcome: Outcome::Unknown { .. }, .. }
                if record
                    .last_attempt
                    .as_ref()
                    .is_some_and(|(a, w)| *a == attempt && w.len() == 1)
                    && matches!(report, Report::Done { .. }) =>
            {
                // The worker was only unreachable: now the outcome is known.
                let outcome = done_outcome(&report);
                self.finish(cx, id, outcome);
            }
            Phase::Final { recorded: false, .. } => {}
            _ => cx.send(link, Frame::Forget { epoch: self.row.epoch, attempt }),
        }
    }

    /// Records how one member's part of the attempt ended.
    pub(crate) fn record_member_end(
        &mut self,
        cx: &mut Context,
        attempt: Attempt,
        worker: &str,
        report: Report,
    ) {
        let Some(id) = self.jobs_by_attempt.get(&attempt).copied() else { return };
        let record = self.jobs.get_mut(&id).expect("attempts name records");
        let (team, shape, declared) = (record.job.team.clone(), record.job.shape, record.job.run);
        let Some(current) = record.attempt_mut().filter(|t| t.attempt == attempt) else { return };
        let updated_at = current.updated_at;
        let Some(state) = current.members.get_mut(worker).filter(|s| s.is_live()) else { return };
        match &report {
            Report::Done { .. } => {
                self.pool.record_outcome(id, worker, true);
                self.pool.record_duration(
                    &team,
                    &shape,
                    declared,
                    cx.now.saturating_sub(updated_at),
                );
            }
            Report::Failed { .. } => self.pool.record_outcome(id, worker, false),
            _ => {}
        }
        *state = MemberState::Ended(report);
        self.pool.release(id, worker);
        self.record_quarantine(cx, worker);
        self.dirty = true;
        self.answer_abandoned(cx, id);
        self.advance(cx, attempt);
    }

    /// Answers the callers of a job whose start could not be recorded, without waiting
    /// for all members: once one member has aborted the attempt, no owner can start it.
    fn answer_abandoned(&mut self, cx: &mut Context, id: JobId) {
        let record = &self.jobs[&id];
        let key = record.key();
        let Some(current) = record.attempt() else { return };
        if current.stop_reason != Some(StopReason::Unrecorded) || record.may_have_run() {
            return;
        }
        if current.step != Step::Started && record.job.wait {
            let outcome = self.unrecorded_outcome(cx, id);
            self.refusals.record(key, &outcome, cx.now);
            let record = self.jobs.get_mut(&id).expect("looked up above");
            let answer = Answer::Job { outcome, attempts: record.attempts };
            let basis = Basis::of(&record.job);
            for waiting in std::mem::take(&mut record.waiters) {
                self.reply(cx, &waiting.waiter, answer.clone(), basis);
            }
        }
    }

    /// Derives the job's next phase or its outcome once all members have ended.
    pub(crate) fn conclude(&mut self, cx: &mut Context, id: JobId) {
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        let Some(current) = record.attempt() else { return };
        let (step, stop_reason) = (current.step, current.stop_reason);
        let reports: Vec<Report> = current.reports().into_iter().cloned().collect();
        let failed = current.workers_by_rank.iter().filter(|worker| {
            matches!(&current.members[*worker], MemberState::Ended(Report::Failed { .. }))
        });
        let failed: Vec<String> = failed.cloned().collect();
        let idempotent = record.job.idempotent;
        let may_retry = idempotent && record.attempts < cx.settings.max_attempts;
        if step != Step::Started {
            // Go was not sent and never will be, since all members have ended.
            self.conclude_unstarted(cx, id, stop_reason);
            return;
        }
        if reports.iter().all(|report| matches!(report, Report::Done { .. })) {
            let outcome = done_outcome(&reports[0]);
            self.finish(cx, id, outcome);
        } else if reports.iter().all(|report| *report == Report::Aborted) {
            // Only after a takeover: the start was recorded and then all members aborted, so
            // its caller may have been told that it did not run.
            if stop_reason == Some(StopReason::Cancelled) {
                self.finish(cx, id, Outcome::CancelledNotRun);
            } else {
                let retry_after = cx.retry_after(std::time::Duration::from_secs(1));
                let outcome = Outcome::not_run("its start was given up", retry_after);
                self.finish(cx, id, outcome);
            }
        } else if stop_reason == Some(StopReason::Cancelled) {
            self.finish(cx, id, Outcome::CancelledStopped);
        } else if stop_reason == Some(StopReason::Reclaimed) && idempotent {
            // Preemption does not count as a failed attempt.
            record.attempts = record.attempts.saturating_sub(1);
            record.job.again = true;
            self.requeue(cx, id);
        } else if !failed.is_empty() {
            record.avoided_workers.extend(failed);
            if may_retry {
                self.requeue(cx, id);
            } else {
                self.finish(cx, id, Outcome::Failed { reason: first_reason(&reports) });
            }
        } else if may_retry {
            self.requeue(cx, id);
        } else {
            self.finish(cx, id, Outcome::Unknown { reason: first_reason(&reports) });
        }
    }

    fn conclude_unstarted(&mut self, cx: &mut Context, id: JobId, stop_reason: Option<StopReason>) {
        match stop_reason {
            Some(StopReason::Cancelled) => {
                let outcome = self.jobs[&id].cancelled_outcome();
                self.finish(cx, id, outcome);
            }
            Some(StopReason::Expired) => {
                let outcome = self.expired_outcome(cx, id);
                self.finish(cx, id, outcome);
            }
            Some(StopReason::Unrecorded) if self.jobs[&id].job.wait => {
                let outcome = self.unrecorded_outcome(cx, id);
                self.finish(cx, id, outcome);
            }
            _ => self.requeue(cx, id),
        }
    }

    /// Queues the job again, unless its deadline has passed.
    fn requeue(&mut self, cx: &mut Context, id: JobId) {
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        record.phase = Phase::Queued;
        let is_detached = !record.job.wait;
        if cx.now >= record.expires_at && !is_detached {
            let outcome = self.expired_outcome(cx, id);
            self.finish(cx, id, outcome);
            return;
        }
        if record.row_state == Some(RowState::Started) {
            // Otherwise the next owner would take it for a job that may have started.
            if is_detached {
                self.write_job_row(cx, id, &Outcome::Queued, Tag::Cleanup);
            } else {
                record.row_state = None;
                let key = rows::job_key(&record.job.team, &record.job.request);
                self.ledger.put(Write { tag: Tag::Cleanup, key, value: None });
            }
        }
        if self.is_store_down(cx) && self.jobs[&id].job.recorded() {
            self.parked.insert(id);
        } else {
            self.enqueue(id);
        }
    }

    /// Sets the job's outcome. Callers are answered once it is recorded, or at once if
    /// it needs no record or cannot be recorded now.
    pub(crate) fn finish(&mut self, cx: &mut Context, id: JobId, outcome: Outcome) {
        // Nothing may start it any more.
        self.pool.withdraw(id);
        self.parked.remove(&id);
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        let not_run = matches!(outcome, Outcome::NotRun { .. });
        self.refusals.record(record.key(), &outcome, cx.now);
        // An ended job never runs again, so its payload is not needed.
        record.job.payload = Vec::new();
        let needs_record = record.job.recorded() && !(not_run && record.row_state.is_none());
        // A row that still has the state queued or started would let the next owner run a
        // job that was reported as cancelled.
        let reportable = match &outcome {
            Outcome::CancelledNotRun => record.row_state.is_none(),
            Outcome::NotRun { .. } => record.row_state != Some(RowState::Queued),
            _ => true,
        };
        record.phase = Phase::Final {
            outcome: outcome.clone(),
            ended_at: cx.now,
            recorded: !needs_record,
            reportable,
        };
        if !needs_record {
            self.answer_waiters(cx, id);
            self.send_forget(cx, id);
            return;
        }
        if not_run {
            // The request id may be submitted again, so its row is deleted.
            record.row_state = None;
            let key = rows::job_key(&record.job.team, &record.job.request);
            self.ledger.put(Write { tag: Tag::Finish(id), key, value: None });
        } else {
            self.write_job_row(cx, id, &outcome, Tag::Finish(id));
        }
        if reportable && (not_run || self.is_store_down(cx)) {
            self.answer_waiters(cx, id);
        }
    }

    /// Answers the callers once the outcome is recorded.
    pub(crate) fn on_finish_recorded(&mut self, cx: &mut Context, id: JobId) {
        let Some(record) = self.jobs.get_mut(&id) else { return };
        let Phase::Final { recorded, .. } = &mut record.phase else { return };
        *recorded = true;
        self.answer_waiters(cx, id);
        self.send_forget(cx, id);
    }

    pub(crate) fn answer_waiters(&mut self, cx: &mut Context, id: JobId) {
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        let answer = record.answer();
        if !record.outcome().terminal() {
            return;
        }
        let basis = Basis::of(&record.job);
        for waiting in std::mem::take(&mut record.waiters) {
            self.reply(cx, &waiting.waiter, answer.clone(), basis);
        }
    }

    /// Sends Forget to the members of the last attempt, so that they drop their state
    /// of it.
    fn send_forget(&mut self, cx: &mut Context, id: JobId) {
        let Some((attempt, members)) = &self.jobs[&id].last_attempt else { return };
        for worker in members {
            if let Some(link) = self.agents.get(worker).and_then(|agent| agent.link) {
                cx.send(link, Frame::Forget { epoch: self.row.epoch, attempt: *attempt });
            }
        }
    }

    /// Removes an unreachable worker; all that it held counts as lost.
    pub(crate) fn remove_lost_worker(&mut self, cx: &mut Context, worker: &str) {
        log::warn!(step = "watch", peer = worker; "worker lost");
        if let Some(agent) = self.agents.remove(worker)
            && let Some(link) = agent.link
        {
            self.peers.remove(&link);
            cx.close(link, "worker lost");
        }
        for attempt in self.live_attempts(worker) {
            let reason = format!("worker {worker} was lost");
            self.record_member_end(cx, attempt, worker, Report::Lost { reason });
        }
        self.pool.remove_worker(worker);
        self.dirty = true;
    }

    /// Returns the attempts of which `worker` has a part that has not ended.
    pub(crate) fn live_attempts(&self, worker: &str) -> Vec<Attempt> {
        let attempts = self.jobs.values().filter_map(|record| record.attempt());
        let live = attempts.filter(|t| t.members.get(worker).is_some_and(MemberState::is_live));
        live.map(|t| t.attempt).collect()
    }

    /// Removes outcomes and refusals whose retention has passed.
    pub(crate) fn remove_expired(&mut self, cx: &mut Context) {
        let now = cx.now;
        self.refusals.remove_expired(now);
        let is_expired = |record: &&crate::record::Record| match &record.phase {
            Phase::Final { ended_at, recorded: true, .. } => {
                let retention = if record.row_state.is_some() {
                    cx.settings.retention
                } else {
                    UNRECORDED_RETENTION
                };
                now.saturating_sub(*ended_at) >= retention
            }
            _ => false,
        };
        let ids: Vec<JobId> =
            self.jobs.values().filter(is_expired).map(|record| record.id).collect();
        for id in ids {
            let record = &self.jobs[&id];
            if record.row_state.is_some() {
                let key = rows::job_key(&record.job.team, &record.job.request);
                self.ledger.put(Write { tag: Tag::Cleanup, key, value: None });
            }
            self.remove_job(id);
        }
    }
}

fn done_outcome(report: &Report) -> Outcome {
    match report {
        Report::Done { result, object, digest } => {
            Outcome::Done { result: result.clone(), object: object.clone(), digest: digest.clone() }
        }
        _ => Outcome::Unknown { reason: "no result".to_owned() },
    }
}

/// Returns the first reason that a member reported, by preference that of a failed
/// task.
fn first_reason(reports: &[Report]) -> String {
    let failed = reports.iter().find_map(|report| match report {
        Report::Failed { reason } => Some(reason),
        _ => None,
    });
    let other = || {
        reports.iter().find_map(|report| match report {
            Report::Stopped { reason } | Report::Lost { reason } => Some(reason),
            _ => None,
        })
    };
    failed.or_else(other).cloned().unwrap_or_else(|| "a member never started".to_owned())
}
