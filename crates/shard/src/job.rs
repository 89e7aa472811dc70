//! Callers' wishes: submit, wait, cancel, look.

use std::time::Duration;

use quincewheel_pool::{Demand, JobId};
use quincewheel_wire::{Answer, Ask, Job, Outcome, Refusal};

use crate::context::{Context, Waiter};
use crate::denials::Proof;
use crate::ledger::{Tag, Write};
use crate::owner::Owner;
use crate::record::{Phase, Record, Step, Stored, Waiting, Why};
use crate::rows;

/// Base of the retry-after while the table is down.
const STORE_RETRY: Duration = Duration::from_secs(5);
/// Base of the retry-after when a queue is full.
const QUEUE_RETRY: Duration = Duration::from_secs(10);
/// Base of the retry-after when the deadline passed in the queue.
const LATE_RETRY: Duration = Duration::from_secs(1);

impl Owner {
    /// Serves a call; the owner is active and sure of its ownership.
    pub(crate) fn serve(&mut self, cx: &mut Context, waiter: Waiter, ask: Ask) {
        match ask {
            Ask::Submit(job) => self.submit(cx, waiter, job),
            Ask::Wait { team, request, deadline } => {
                let until = cx.now + deadline;
                match self.find(&team, &request) {
                    Some(id) => self.wait(cx, id, waiter, until),
                    None => self.say(cx, &waiter, no_job(&team, &request), Proof::Record),
                }
            }
            Ask::Get { team, request } => match self.find(&team, &request) {
                Some(id) => self.say_job(cx, id, &waiter),
                None => self.say(cx, &waiter, no_job(&team, &request), Proof::Record),
            },
            Ask::Cancel { team, request } => match self.find(&team, &request) {
                Some(id) => self.cancel(cx, id, waiter),
                None => self.say(cx, &waiter, no_job(&team, &request), Proof::Record),
            },
            Ask::PutTeam { .. } | Ask::PutGuarantee { .. } | Ask::PutDrain { .. } => {
                self.change(cx, waiter, ask);
            }
            Ask::Pool => cx.answer(&waiter, self.pool_view(cx)),
            Ask::Configuration => cx.answer(&waiter, self.configuration_view(cx)),
        }
    }

    fn find(&self, team: &str, request: &str) -> Option<JobId> {
        self.keys.get(&(team.to_owned(), request.to_owned())).copied()
    }

    fn submit(&mut self, cx: &mut Context, waiter: Waiter, job: Job) {
        let until = cx.now + job.deadline;
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
            let refused =
                matches!(&record.phase, Phase::Final { outcome: Outcome::NotRun { .. }, .. });
            if !refused {
                if job.wait {
                    self.wait(cx, id, waiter, until);
                } else {
                    self.promise(cx, id, waiter, until);
                }
                return;
            }
            // It truly did not run, so the same id may be tried anew.
            self.forget_record(id);
        }
        if let Some(outcome) = self.refusal(cx, &job) {
            let proof = Proof::about(&job);
            self.refusals.note((job.team, job.request), &outcome, cx.now);
            self.say(cx, &waiter, Answer::Job { outcome, attempts: 0 }, proof);
            return;
        }
        self.admit(cx, waiter, job, until);
    }

    /// Why a new job is not taken up, if it is not.
    fn refusal(&mut self, cx: &mut Context, job: &Job) -> Option<Outcome> {
        let key = (job.team.clone(), job.request.clone());
        if let Some(outcome) = self.refusals.find(&key, cx.now).filter(|_| !job.again) {
            return Some(outcome);
        }
        let settled = cx.now.saturating_sub(self.active_since) >= cx.settings.worker_lost_after;
        let (reason, base) = if job.recorded() && self.store_down(cx) {
            ("the table service does not answer, so this job cannot be recorded", STORE_RETRY)
        } else if self.pool.is_queue_full(&job.team) {
            ("the team's queue is full", QUEUE_RETRY)
        } else if settled && !self.pool.can_ever_fit(&job.shape) {
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

    fn admit(&mut self, cx: &mut Context, waiter: Waiter, job: Job, until: Duration) {
        let id = self.next_job;
        self.next_job += 1;
        let detached = !job.wait;
        let record = Record {
            id,
            arrived: cx.now,
            until,
            phase: if detached { Phase::Accepting } else { Phase::Queued },
            attempts: 0,
            avoid: Vec::new(),
            stored: None,
            waiters: vec![Waiting { waiter, until }],
            last: None,
            job,
        };
        self.keys.insert(record.key(), id);
        self.jobs.insert(id, record);
        if detached {
            self.store_job(cx, id, &Outcome::Queued, Tag::Accept(id));
        } else {
            self.enqueue(id);
        }
    }

    /// The job's row is written: its caller can be told so.
    pub(crate) fn accepted(&mut self, cx: &mut Context, id: JobId) {
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

    /// Puts the job into its team's queue.
    pub(crate) fn enqueue(&mut self, id: JobId) {
        let record = &self.jobs[&id];
        let demand = Demand {
            team: record.job.team.clone(),
            shape: record.job.shape,
            urgent: record.job.urgent,
            restartable: record.job.idempotent,
            arrived_at: record.arrived,
            declared_duration: record.job.run,
            avoided_workers: record.avoid.clone(),
        };
        self.pool.enqueue(id, demand);
        self.dirty = true;
    }

    fn wait(&mut self, cx: &mut Context, id: JobId, waiter: Waiter, until: Duration) {
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        if record.outcome().terminal() {
            self.say_job(cx, id, &waiter);
            return;
        }
        record.until = record.until.max(until);
        record.waiters.retain(|waiting| waiting.waiter != waiter);
        record.waiters.push(Waiting { waiter, until });
    }

    /// Answers a repeated submission whose caller does not wait: at once,
    /// unless the row that carries the promise is still being written.
    fn promise(&mut self, cx: &mut Context, id: JobId, waiter: Waiter, until: Duration) {
        match self.jobs[&id].phase {
            Phase::Accepting => self.wait(cx, id, waiter, until),
            _ => self.say_job(cx, id, &waiter),
        }
    }

    /// A caller is gone. Work that only it waited for and that did not start
    /// is dropped, since nobody could learn its outcome.
    pub(crate) fn hangup(&mut self, cx: &mut Context, waiter: &Waiter) {
        self.backlog.retain(|(kept, _)| kept != waiter);
        let waits = |record: &Record| record.waiters.iter().any(|w| w.waiter == *waiter);
        let Some((id, record)) = self.jobs.iter_mut().find(|(_, record)| waits(record)) else {
            return;
        };
        let id = *id;
        record.waiters.retain(|waiting| waiting.waiter != *waiter);
        if record.waiters.is_empty()
            && record.stored.is_none()
            && matches!(record.phase, Phase::Queued)
        {
            let outcome = Outcome::not_run("its caller was gone before it started", LATE_RETRY);
            self.finish(cx, id, outcome);
        }
    }

    fn cancel(&mut self, cx: &mut Context, id: JobId, waiter: Waiter) {
        let until = cx.now + cx.settings.failover_timeout;
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        match &mut record.phase {
            Phase::Final { .. } => self.wait(cx, id, waiter, until),
            Phase::Accepting | Phase::Queued => {
                record.waiters.push(Waiting { waiter, until });
                let outcome = record.cancelled();
                self.finish(cx, id, outcome);
            }
            Phase::Tried(_) => {
                record.waiters.push(Waiting { waiter, until });
                self.stop(cx, id, Why::Cancelled);
            }
        }
    }

    /// Answers callers whose time is up, and gives up jobs that nobody wants
    /// any more before they started.
    pub(crate) fn check_deadlines(&mut self, cx: &mut Context) {
        let now = cx.now;
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            let record = self.jobs.get_mut(&id).expect("listed above");
            let late = now >= record.until;
            match &record.phase {
                // What was promised to a caller that does not wait stays.
                Phase::Queued if late && record.stored.is_none() => {
                    let outcome = self.late(cx, id);
                    self.finish(cx, id, outcome);
                }
                Phase::Tried(attempt)
                    if late && attempt.step == Step::Preparing && record.stored.is_none() =>
                {
                    self.stop(cx, id, Why::Late);
                }
                Phase::Final { .. } => {}
                _ => self.answer_late(cx, id),
            }
        }
    }

    /// Tells callers whose own time is up where the job stands.
    fn answer_late(&mut self, cx: &mut Context, id: JobId) {
        let now = cx.now;
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        let answer = record.answer();
        record.waiters.retain(|waiting| {
            let late = now >= waiting.until;
            if late {
                cx.answer(&waiting.waiter, answer.clone());
            }
            !late
        });
    }

    /// The outcome of a job whose deadline passed before an attempt succeeded.
    pub(crate) fn late(&mut self, cx: &mut Context, id: JobId) -> Outcome {
        if self.jobs[&id].may_have_run() {
            let reason = "the deadline passed after an attempt whose end is not known";
            return Outcome::Unknown { reason: reason.to_owned() };
        }
        let retry_after = cx.retry_after(LATE_RETRY);
        Outcome::not_run("the deadline passed before it could start", retry_after)
    }

    /// The outcome of a job that could not be recorded.
    pub(crate) fn unrecorded(&mut self, cx: &mut Context, id: JobId) -> Outcome {
        if self.jobs[&id].may_have_run() {
            let reason = "an earlier attempt may have run, and no other can be recorded";
            return Outcome::Unknown { reason: reason.to_owned() };
        }
        let retry_after = cx.retry_after(STORE_RETRY);
        let reason = "the table service does not answer, so the start could not be recorded";
        Outcome::not_run(reason, retry_after)
    }

    /// Writes the job's row.
    pub(crate) fn store_job(&mut self, cx: &Context, id: JobId, outcome: &Outcome, tag: Tag) {
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        let mut row = rows::job_to_row(&record.job, outcome, record.attempts);
        if let Phase::Tried(attempt) = &record.phase {
            row.attempt = attempt.attempt.0;
            row.members = attempt.order.clone();
        }
        if outcome.terminal() {
            row.expires_unix_ms = cx.unix_ms() + cx.settings.retention.as_millis() as u64;
        }
        record.stored = Some(match outcome {
            Outcome::Queued => Stored::Queued,
            Outcome::Started => Stored::Started,
            _ => Stored::Final,
        });
        let key = rows::job_key(&record.job.team, &record.job.request);
        let value = serde_json::to_string(&row).expect("rows are plain data");
        self.ledger.put(Write { tag, key, value: Some(value) });
    }

    /// Drops all memory of a job.
    pub(crate) fn forget_record(&mut self, id: JobId) {
        let Some(record) = self.jobs.remove(&id) else { return };
        let key = record.key();
        if self.keys.get(&key) == Some(&id) {
            self.keys.remove(&key);
        }
        if let Some((attempt, _)) = record.last {
            self.attempts.remove(&attempt);
        }
        self.parked.remove(&id);
        self.pool.withdraw(id);
    }
}

fn no_job(team: &str, request: &str) -> Answer {
    Answer::Refused(Refusal::NotFound {
        field: "request_id".to_owned(),
        message: format!("team {team:?} has no job {request:?} here, or it was forgotten"),
    })
}
