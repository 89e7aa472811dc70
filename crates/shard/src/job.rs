//! Client calls: submit, wait, get and cancel.

use std::time::Duration;

use quincewheel_pool::{Demand, JobId};
use quincewheel_wire::{Answer, Ask, Job, Outcome, Refusal};

use crate::context::{Context, Waiter};
use crate::denials::Basis;
use crate::ledger::{Tag, Write};
use crate::owner::Owner;
use crate::record::{JobWaiter, Phase, Record, RowState, Step, StopReason};
use crate::rows;

/// Base of the retry-after while the table is down.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Base of the retry-after when a queue is full.
const QUEUE_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Base of the retry-after when the deadline passed in the queue.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Owner {
    /// Handles a call. The owner has read all rows.
    pub(crate) fn handle_call(&mut self, cx: &mut Context, waiter: Waiter, ask: Ask) {
        match ask {
            Ask::Submit(job) => self.submit(cx, waiter, job),
            Ask::Wait { team, request, deadline } => {
                let expires_at = cx.now + deadline;
                match self.find(&team, &request) {
                    Some(id) => self.wait(cx, id, waiter, expires_at),
                    None => self.reply(cx, &waiter, job_not_found(&team, &request), Basis::Record),
                }
            }
            Ask::Get { team, request } => match self.find(&team, &request) {
                Some(id) => self.reply_with_job(cx, id, &waiter),
                None => self.reply(cx, &waiter, job_not_found(&team, &request), Basis::Record),
            },
            Ask::Cancel { team, request } => match self.find(&team, &request) {
                Some(id) => self.cancel(cx, id, waiter),
                None => self.reply(cx, &waiter, job_not_found(&team, &request), Basis::Record),
            },
            Ask::PutTeam { .. } | Ask::PutGuarantee { .. } | Ask::PutDrain { .. } => {
                self.change(cx, waiter, ask);
            }
            Ask::Pool => cx.answer(&waiter, self.pool_view(cx)),
            Ask::Configuration => cx.answer(&waiter, self.configuration_view(cx)),
        }
    }

    fn find(&self, team: &str, request: &str) -> Option<JobId> {
        self.jobs_by_request.get(&(team.to_owned(), request.to_owned())).copied()
    }

    fn submit(&mut self, cx: &mut Context, waiter: Waiter, job: Job) {
        let expires_at = cx.now + job.deadline;
        if let Some(id) = self.find(&job.team, &job.request) {
            let record = self.jobs.get_mut(&id).expect("keys name records");
            if record.job.digest != job.digest {
                let message = "this request id was used with another body; choose a new id";
                let refusal = Refusal::Conflict {
                    field: "request_id".to_owned(),
                    message: message.to_owned(),
                    current: 0,
                };
                cx.refuse(&waiter, refusal);
                return;
            }
            record.job.again |= job.again;
            record.job.first = false;
            let did_not_run =
                matches!(&record.phase, Phase::Final { outcome: Outcome::NotRun { .. }, .. });
            if !did_not_run {
                if job.wait {
                    self.wait(cx, id, waiter, expires_at);
                } else {
                    self.answer_detached(cx, id, waiter, expires_at);
                }
                return;
            }
            // The job did not run, so the same request id may be submitted again.
            self.remove_job(id);
        }
        if let Some(outcome) = self.check_admission(cx, &job) {
            let basis = Basis::of(&job);
            self.refusals.record((job.team, job.request), &outcome, cx.now);
            self.reply(cx, &waiter, Answer::Job { outcome, attempts: 0 }, basis);
            return;
        }
        self.admit(cx, waiter, job, expires_at);
    }

    /// Returns the outcome of a new job that is refused, `None` if it is admitted.
    fn check_admission(&mut self, cx: &mut Context, job: &Job) -> Option<Outcome> {
        let key = (job.team.clone(), job.request.clone());
        if let Some(outcome) = self.refusals.find(&key, cx.now).filter(|_| !job.again) {
            return Some(outcome);
        }
        let workers_known =
            cx.now.saturating_sub(self.activated_at) >= cx.settings.worker_lost_after;
        let (reason, base) = if job.recorded() && self.is_store_down(cx) {
            ("the table service does not answer, so this job cannot be recorded", STORE_RETRY_AFTER)
        } else if self.pool.is_queue_full(&job.team) {
            ("the team's queue is full", QUEUE_RETRY_AFTER)
        } else if workers_known && !self.pool.can_ever_fit(&job.shape) {
            ("no worker, rack or zone is large enough for this shape", Duration::from_secs(600))
        } else {
            return None;
        };
        let retry_after = cx.retry_after(base);
        if job.again {
            // An earlier owner may have started it.
            let reason = format!("an earlier owner may have started it; now {reason}");
            return Some(Outcome::Unknown { reason });
        }
        Some(Outcome::not_run(reason, retry_after))
    }

    fn admit(&mut self, cx: &mut Context, waiter: Waiter, job: Job, expires_at: Duration) {
        let id = self.next_job_id;
        self.next_job_id += 1;
        let detached = !job.wait;
        let record = Record {
            id,
            arrived_at: cx.now,
            expires_at,
            phase: if detached { Phase::Accepting } else { Phase::Queued },
            attempts: 0,
            avoided_workers: Vec::new(),
            row_state: None,
            waiters: vec![JobWaiter { waiter, expires_at }],
            last_attempt: None,
            job,
        };
        self.jobs_by_request.insert(record.key(), id);
        self.jobs.insert(id, record);
        if detached {
            self.write_job_row(cx, id, &Outcome::Queued, Tag::Accept(id));
        } else {
            self.enqueue(id);
        }
    }

    /// Answers the caller of a job that does not wait, now that its row is written.
    pub(crate) fn on_accepted(&mut self, cx: &mut Context, id: JobId) {
        let Some(record) = self.jobs.get_mut(&id) else { return };
        if !matches!(record.phase, Phase::Accepting) {
            return;
        }
        record.phase = Phase::Queued;
        let answer = record.answer();
        for waiting in std::mem::take(&mut record.waiters) {
            cx.answer(&waiting.waiter, answer.clone());
        }
        self.enqueue(id);
    }

    /// Adds the job to its team's queue.
    pub(crate) fn enqueue(&mut self, id: JobId) {
        let record = &self.jobs[&id];
        let demand = Demand {
            team: record.job.team.clone(),
            shape: record.job.shape,
            urgent: record.job.urgent,
            restartable: record.job.idempotent,
            arrived_at: record.arrived_at,
            declared_duration: record.job.run,
            avoided_workers: record.avoided_workers.clone(),
        };
        self.pool.enqueue(id, demand);
        self.dirty = true;
    }

    fn wait(&mut self, cx: &mut Context, id: JobId, waiter: Waiter, expires_at: Duration) {
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        if record.outcome().terminal() {
            self.reply_with_job(cx, id, &waiter);
            return;
        }
        record.expires_at = record.expires_at.max(expires_at);
        record.waiters.retain(|waiting| waiting.waiter != waiter);
        record.waiters.push(JobWaiter { waiter, expires_at });
    }

    /// Answers a repeated submission whose caller does not wait: at once, unless the
    /// job's row is still being written.
    fn answer_detached(
        &mut self,
        cx: &mut Context,
        id: JobId,
        waiter: Waiter,
        expires_at: Duration,
    ) {
        match self.jobs[&id].phase {
            Phase::Accepting => self.wait(cx, id, waiter, expires_at),
            _ => self.reply_with_job(cx, id, &waiter),
        }
    }

    /// Handles a caller that disconnected. A job that only this caller waited for and
    /// that has not started is dropped, since nobody could receive its outcome.
    pub(crate) fn on_hangup(&mut self, cx: &mut Context, waiter: &Waiter) {
        self.backlog.retain(|(queued, _)| queued != waiter);
        let has_waiter = |record: &Record| record.waiters.iter().any(|w| w.waiter == *waiter);
        let Some((id, record)) = self.jobs.iter_mut().find(|(_, record)| has_waiter(record)) else {
            return;
        };
        let id = *id;
        record.waiters.retain(|waiting| waiting.waiter != *waiter);
        if record.waiters.is_empty()
            && record.row_state.is_none()
            && matches!(record.phase, Phase::Queued)
        {
            let outcome =
                Outcome::not_run("its caller was gone before it started", EXPIRED_RETRY_AFTER);
            self.finish(cx, id, outcome);
        }
    }

    fn cancel(&mut self, cx: &mut Context, id: JobId, waiter: Waiter) {
        let expires_at = cx.now + cx.settings.failover_timeout;
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        match &mut record.phase {
            Phase::Final { .. } => self.wait(cx, id, waiter, expires_at),
            Phase::Accepting | Phase::Queued => {
                record.waiters.push(JobWaiter { waiter, expires_at });
                let outcome = record.cancelled_outcome();
                self.finish(cx, id, outcome);
            }
            Phase::Attempted(_) => {
                record.waiters.push(JobWaiter { waiter, expires_at });
                self.stop_attempt(cx, id, StopReason::Cancelled);
            }
        }
    }

    /// Answers callers whose deadline has passed, and gives up jobs that have not
    /// started by theirs.
    pub(crate) fn check_deadlines(&mut self, cx: &mut Context) {
        let now = cx.now;
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            let record = self.jobs.get_mut(&id).expect("listed above");
            let is_expired = now >= record.expires_at;
            match &record.phase {
                // A job that was accepted from a caller that does not wait stays queued.
                Phase::Queued if is_expired && record.row_state.is_none() => {
                    let outcome = self.expired_outcome(cx, id);
                    self.finish(cx, id, outcome);
                }
                Phase::Attempted(attempt)
                    if is_expired
                        && attempt.step == Step::Preparing
                        && record.row_state.is_none() =>
                {
                    self.stop_attempt(cx, id, StopReason::Expired);
                }
                Phase::Final { .. } => {}
                _ => self.answer_expired(cx, id),
            }
        }
    }

    /// Answers callers whose own deadline has passed with the job's present state.
    fn answer_expired(&mut self, cx: &mut Context, id: JobId) {
        let now = cx.now;
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        let answer = record.answer();
        record.waiters.retain(|waiting| {
            let is_expired = now >= waiting.expires_at;
            if is_expired {
                cx.answer(&waiting.waiter, answer.clone());
            }
            !is_expired
        });
    }

    /// Returns the outcome of a job whose deadline passed before an attempt succeeded.
    pub(crate) fn expired_outcome(&mut self, cx: &mut Context, id: JobId) -> Outcome {
        if self.jobs[&id].may_have_run() {
            let reason = "the deadline passed after an attempt whose end is not known";
            return Outcome::Unknown { reason: reason.to_owned() };
        }
        let retry_after = cx.retry_after(EXPIRED_RETRY_AFTER);
        Outcome::not_run("the deadline passed before it could start", retry_after)
    }

    /// Returns the outcome of a job that could not be recorded.
    pub(crate) fn unrecorded_outcome(&mut self, cx: &mut Context, id: JobId) -> Outcome {
        if self.jobs[&id].may_have_run() {
            let reason = "an earlier attempt may have run, and no other can be recorded";
            return Outcome::Unknown { reason: reason.to_owned() };
        }
        let retry_after = cx.retry_after(STORE_RETRY_AFTER);
        let reason = "the table service does not answer, so the start could not be recorded";
        Outcome::not_run(reason, retry_after)
    }

    /// Queues a write of the job's row.
    pub(crate) fn write_job_row(&mut self, cx: &Context, id: JobId, outcome: &Outcome, tag: Tag) {
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        let mut row = rows::job_to_row(&record.job, outcome, record.attempts);
        if let Phase::Attempted(attempt) = &record.phase {
            row.attempt = attempt.attempt.0;
            row.members = attempt.workers_by_rank.clone();
        }
        if outcome.terminal() {
            row.expires_unix_ms = cx.unix_ms() + cx.settings.retention.as_millis() as u64;
        }
        record.row_state = Some(match outcome {
            Outcome::Queued => RowState::Queued,
            Outcome::Started => RowState::Started,
            _ => RowState::Final,
        });
        let key = rows::job_key(&record.job.team, &record.job.request);
        let value = serde_json::to_string(&row).expect("rows are plain data");
        self.ledger.put(Write { tag, key, value: Some(value) });
    }

    /// Removes a job from all of the owner's state.
    pub(crate) fn remove_job(&mut self, id: JobId) {
        let Some(record) = self.jobs.remove(&id) else { return };
        let key = record.key();
        if self.jobs_by_request.get(&key) == Some(&id) {
            self.jobs_by_request.remove(&key);
        }
        if let Some((attempt, _)) = record.last_attempt {
            self.jobs_by_attempt.remove(&attempt);
        }
        self.parked.remove(&id);
        self.pool.withdraw(id);
    }
}

fn job_not_found(team: &str, request: &str) -> Answer {
    Answer::Refused(Refusal::NotFound {
        field: "request_id".to_owned(),
        message: format!("team {team:?} has no job {request:?} here, or it was forgotten"),
    })
}
