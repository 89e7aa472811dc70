//! How work ended: members' reports, the outcome, its record, and lost workers.

use quincewheel_pool::JobId;
use quincewheel_wire::{Answer, Attempt, Frame, LinkId, Outcome, Report};

use crate::context::Context;
use crate::denials::Proof;
use crate::ledger::{Tag, Write};
use crate::owner::Owner;
use crate::record::{Part, Phase, Step, Stored, Why};
use crate::rows;

/// How long the outcome of a job without a row is kept for its caller.
const MEMORY: std::time::Duration = std::time::Duration::from_secs(60);

impl Owner {
    pub(crate) fn ended(
        &mut self,
        cx: &mut Context,
        link: LinkId,
        attempt: Attempt,
        report: Report,
    ) {
        let Some(worker) = self.worker_of(link) else { return };
        let Some(id) = self.attempts.get(&attempt).copied() else {
            // Recorded and forgotten here, or never started.
            cx.send(link, Frame::Forget { epoch: self.row.epoch, attempt });
            return;
        };
        let record = self.jobs.get_mut(&id).expect("attempts name records");
        match &record.phase {
            Phase::Tried(current) if current.attempt == attempt => {
                self.end_part(cx, attempt, &worker, report);
            }
            Phase::Final { outcome: Outcome::Unknown { .. }, .. }
                if record.last.as_ref().is_some_and(|(a, w)| *a == attempt && w.len() == 1)
                    && matches!(report, Report::Done { .. }) =>
            {
                // The worker was only out of reach: now the end is known.
                let outcome = outcome_of_done(&report);
                self.finish(cx, id, outcome);
            }
            Phase::Final { recorded: false, .. } => {}
            _ => cx.send(link, Frame::Forget { epoch: self.row.epoch, attempt }),
        }
    }

    /// Notes how one member's part ended.
    pub(crate) fn end_part(
        &mut self,
        cx: &mut Context,
        attempt: Attempt,
        worker: &str,
        report: Report,
    ) {
        let Some(id) = self.attempts.get(&attempt).copied() else { return };
        let record = self.jobs.get_mut(&id).expect("attempts name records");
        let (team, shape, declared) = (record.job.team.clone(), record.job.shape, record.job.run);
        let Some(current) = record.attempt_mut().filter(|t| t.attempt == attempt) else { return };
        let since = current.since;
        let Some(part) = current.parts.get_mut(worker).filter(|part| part.live()) else { return };
        match &report {
            Report::Done { .. } => {
                self.pool.record_outcome(id, worker, true);
                self.pool.record_duration(&team, &shape, declared, cx.now.saturating_sub(since));
            }
            Report::Failed { .. } => self.pool.record_outcome(id, worker, false),
            _ => {}
        }
        *part = Part::Ended(report);
        self.pool.release(id, worker);
        self.quarantine(cx, worker);
        self.dirty = true;
        self.answer_abandoned(cx, id);
        self.advance(cx, attempt);
    }

    /// Once one member has buried an attempt whose start could not be
    /// recorded, no owner can start it any more: its callers can be told,
    /// without waiting for the other members.
    fn answer_abandoned(&mut self, cx: &mut Context, id: JobId) {
        let record = &self.jobs[&id];
        let key = record.key();
        let Some(current) = record.attempt() else { return };
        if current.stopping != Some(Why::Unrecorded) || record.may_have_run() {
            return;
        }
        if current.step != Step::Started && record.job.wait {
            let outcome = self.unrecorded(cx, id);
            self.refusals.note(key, &outcome, cx.now);
            let record = self.jobs.get_mut(&id).expect("looked up above");
            let answer = Answer::Job { outcome, attempts: record.attempts };
            let proof = Proof::about(&record.job);
            for waiting in std::mem::take(&mut record.waiters) {
                self.say(cx, &waiting.waiter, answer.clone(), proof);
            }
        }
    }

    /// All members have ended: what does that make of the job?
    pub(crate) fn conclude(&mut self, cx: &mut Context, id: JobId) {
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        let Some(current) = record.attempt() else { return };
        let (step, why) = (current.step, current.stopping);
        let reports: Vec<Report> = current.reports().into_iter().cloned().collect();
        let failed = current
            .order
            .iter()
            .filter(|worker| matches!(&current.parts[*worker], Part::Ended(Report::Failed { .. })));
        let failed: Vec<String> = failed.cloned().collect();
        let idempotent = record.job.idempotent;
        let more = idempotent && record.attempts < cx.settings.max_attempts;
        if step != Step::Started {
            // Go was not said and, all members having buried it, never will be.
            self.conclude_unstarted(cx, id, why);
            return;
        }
        if reports.iter().all(|report| matches!(report, Report::Done { .. })) {
            let outcome = outcome_of_done(&reports[0]);
            self.finish(cx, id, outcome);
        } else if reports.iter().all(|report| *report == Report::Aborted) {
            // Only after a takeover: the start was recorded and then buried, so
            // its caller may have been told that it did not run.
            if why == Some(Why::Cancelled) {
                self.finish(cx, id, Outcome::CancelledNotRun);
            } else {
                let retry_after = cx.retry_after(std::time::Duration::from_secs(1));
                let outcome = Outcome::not_run("its start was given up", retry_after);
                self.finish(cx, id, outcome);
            }
        } else if why == Some(Why::Cancelled) {
            self.finish(cx, id, Outcome::CancelledStopped);
        } else if why == Some(Why::Reclaimed) && idempotent {
            // Giving way is not a failure of the job.
            record.attempts = record.attempts.saturating_sub(1);
            record.job.again = true;
            self.requeue(cx, id);
        } else if !failed.is_empty() {
            record.avoid.extend(failed);
            if more {
                self.requeue(cx, id);
            } else {
                self.finish(cx, id, Outcome::Failed { reason: first_reason(&reports) });
            }
        } else if more {
            self.requeue(cx, id);
        } else {
            self.finish(cx, id, Outcome::Unknown { reason: first_reason(&reports) });
        }
    }

    fn conclude_unstarted(&mut self, cx: &mut Context, id: JobId, why: Option<Why>) {
        match why {
            Some(Why::Cancelled) => {
                let outcome = self.jobs[&id].cancelled();
                self.finish(cx, id, outcome);
            }
            Some(Why::Late) => {
                let outcome = self.late(cx, id);
                self.finish(cx, id, outcome);
            }
            Some(Why::Unrecorded) if self.jobs[&id].job.wait => {
                let outcome = self.unrecorded(cx, id);
                self.finish(cx, id, outcome);
            }
            _ => self.requeue(cx, id),
        }
    }

    /// Back to the queue, unless nobody would want the outcome any more.
    fn requeue(&mut self, cx: &mut Context, id: JobId) {
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        record.phase = Phase::Queued;
        let promised = !record.job.wait;
        if cx.now >= record.until && !promised {
            let outcome = self.late(cx, id);
            self.finish(cx, id, outcome);
            return;
        }
        if record.stored == Some(Stored::Started) {
            // Or the next owner would take it for one that may have started.
            if promised {
                self.store_job(cx, id, &Outcome::Queued, Tag::Tidy);
            } else {
                record.stored = None;
                let key = rows::job_key(&record.job.team, &record.job.request);
                self.ledger.put(Write { tag: Tag::Tidy, key, value: None });
            }
        }
        if self.store_down(cx) && self.jobs[&id].job.recorded() {
            self.parked.insert(id);
        } else {
            self.enqueue(id);
        }
    }

    /// The outcome is known. It is told once it is recorded; what needs no
    /// record, and what cannot be recorded now, is told at once.
    pub(crate) fn finish(&mut self, cx: &mut Context, id: JobId, outcome: Outcome) {
        // Whatever still wanted to start it must not.
        self.pool.withdraw(id);
        self.parked.remove(&id);
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        let not_run = matches!(outcome, Outcome::NotRun { .. });
        self.refusals.note(record.key(), &outcome, cx.now);
        // What ended never runs again; its outcome is all that is kept.
        record.job.payload = Vec::new();
        let write = record.job.recorded() && !(not_run && record.stored.is_none());
        // A row that still says "queued" or "started" would let the next owner
        // run what the caller was told is cancelled.
        let told = match &outcome {
            Outcome::CancelledNotRun => record.stored.is_none(),
            Outcome::NotRun { .. } => record.stored != Some(Stored::Queued),
            _ => true,
        };
        record.phase =
            Phase::Final { outcome: outcome.clone(), at: cx.now, recorded: !write, told };
        if !write {
            self.answer_all(cx, id);
            self.forget_members(cx, id);
            return;
        }
        if not_run {
            // The id may be tried again, so nothing is kept of it.
            record.stored = None;
            let key = rows::job_key(&record.job.team, &record.job.request);
            self.ledger.put(Write { tag: Tag::Finish(id), key, value: None });
        } else {
            self.store_job(cx, id, &outcome, Tag::Finish(id));
        }
        if told && (not_run || self.store_down(cx)) {
            self.answer_all(cx, id);
        }
    }

    /// The outcome is recorded.
    pub(crate) fn finish_recorded(&mut self, cx: &mut Context, id: JobId) {
        let Some(record) = self.jobs.get_mut(&id) else { return };
        let Phase::Final { recorded, .. } = &mut record.phase else { return };
        *recorded = true;
        self.answer_all(cx, id);
        self.forget_members(cx, id);
    }

    pub(crate) fn answer_all(&mut self, cx: &mut Context, id: JobId) {
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        let answer = record.answer();
        if !record.outcome().terminal() {
            return;
        }
        let proof = Proof::about(&record.job);
        for waiting in std::mem::take(&mut record.waiters) {
            self.say(cx, &waiting.waiter, answer.clone(), proof);
        }
    }

    /// Lets the members drop what they keep of the last attempt.
    fn forget_members(&mut self, cx: &mut Context, id: JobId) {
        let Some((attempt, members)) = &self.jobs[&id].last else { return };
        for worker in members {
            if let Some(link) = self.agents.get(worker).and_then(|agent| agent.link) {
                cx.send(link, Frame::Forget { epoch: self.row.epoch, attempt: *attempt });
            }
        }
    }

    /// Gives a worker up: what it held is lost.
    pub(crate) fn lose(&mut self, cx: &mut Context, worker: &str) {
        log::warn!(step = "watch", peer = worker; "worker lost");
        if let Some(agent) = self.agents.remove(worker)
            && let Some(link) = agent.link
        {
            self.peers.remove(&link);
            cx.close(link, "worker lost");
        }
        for attempt in self.live_at(worker) {
            let reason = format!("worker {worker} was lost");
            self.end_part(cx, attempt, worker, Report::Lost { reason });
        }
        self.pool.remove_worker(worker);
        self.dirty = true;
    }

    /// Attempts with a live part at `worker`.
    pub(crate) fn live_at(&self, worker: &str) -> Vec<Attempt> {
        let attempts = self.jobs.values().filter_map(|record| record.attempt());
        let here = attempts.filter(|t| t.parts.get(worker).is_some_and(Part::live));
        here.map(|t| t.attempt).collect()
    }

    /// Drops outcomes that were kept long enough.
    pub(crate) fn sweep(&mut self, cx: &mut Context) {
        let now = cx.now;
        self.refusals.sweep(now);
        let old = |record: &&crate::record::Record| match &record.phase {
            Phase::Final { at, recorded: true, .. } => {
                let keep = if record.stored.is_some() { cx.settings.retention } else { MEMORY };
                now.saturating_sub(*at) >= keep
            }
            _ => false,
        };
        let ids: Vec<JobId> = self.jobs.values().filter(old).map(|record| record.id).collect();
        for id in ids {
            let record = &self.jobs[&id];
            if record.stored.is_some() {
                let key = rows::job_key(&record.job.team, &record.job.request);
                self.ledger.put(Write { tag: Tag::Tidy, key, value: None });
            }
            self.forget_record(id);
        }
    }
}

fn outcome_of_done(report: &Report) -> Outcome {
    match report {
        Report::Done { result, object, digest } => {
            Outcome::Done { result: result.clone(), object: object.clone(), digest: digest.clone() }
        }
        _ => Outcome::Unknown { reason: "no result".to_owned() },
    }
}

/// The first reason that a member gave, preferring the endpoint's own.
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
