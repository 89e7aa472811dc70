//! Placement and starts: prepare the members, record the start, let them go.

use std::time::Duration;

use quincewheel_pool::{Decision, JobId, Placement};
use quincewheel_wire::{Attempt, Frame, LinkId, Outcome, Report, Task};

use crate::context::Context;
use crate::ledger::Tag;
use crate::owner::Owner;
use crate::record::{AttemptState, MemberState, Phase, RowState, Step, StopReason};

/// Interval at which an unacknowledged request to stop is sent again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a worker that declined gets nothing new. It announces its
/// inventory again when it declines, but if the reason persists, the same attempt
/// would fail as fast as frames travel.
const DECLINE_BACKOFF: Duration = Duration::from_millis(500);

impl Owner {
    /// Carries out the pool's decisions.
    pub(crate) fn schedule(&mut self, cx: &mut Context) {
        for decision in self.pool.decide(cx.now) {
            match decision {
                Decision::Start { job, placement, .. } => self.prepare(cx, job, placement),
                Decision::Reclaim { job, .. } => self.stop_attempt(cx, job, StopReason::Reclaimed),
            }
        }
    }

    /// Asks every member to grant its accelerators. No task starts yet.
    fn prepare(&mut self, cx: &mut Context, id: JobId, placement: Placement) {
        let attempt = Attempt::new(self.row.epoch, self.next_attempt_number);
        self.next_attempt_number += 1;
        let mut members: Vec<(String, String)> = Vec::new();
        for (worker, _) in &placement {
            if !members.iter().any(|(name, _)| name == worker) {
                let address = self.agents.get(worker).map_or("", |a| &a.member.address);
                members.push((worker.clone(), address.to_owned()));
            }
        }
        let workers_by_rank: Vec<String> =
            members.iter().map(|(worker, _)| worker.clone()).collect();
        let record = self.jobs.get_mut(&id).expect("the pool holds known jobs");
        record.phase = Phase::Attempted(AttemptState::new(
            attempt,
            Step::Preparing,
            cx.now,
            workers_by_rank.clone(),
        ));
        record.last_attempt = Some((attempt, workers_by_rank.clone()));
        self.jobs_by_attempt.insert(attempt, id);
        let job = &record.job;
        for worker in workers_by_rank {
            let ranks = placement.iter().enumerate().filter(|(_, (name, _))| *name == worker);
            let task = Task {
                attempt,
                team: job.team.clone(),
                request: job.request.clone(),
                digest: job.digest.clone(),
                idempotent: job.idempotent,
                shape: job.shape,
                ranks: ranks.map(|(rank, (_, mask))| (rank as u32, *mask)).collect(),
                members: members.clone(),
                deadline: record.expires_at.saturating_sub(cx.now),
                payload: job.payload.clone(),
            };
            let link = self.agents.get(&worker).and_then(|agent| agent.link);
            if let Some(link) = link {
                cx.send(link, Frame::Prepare { epoch: self.row.epoch, task });
            }
        }
    }

    pub(crate) fn on_prepared(&mut self, cx: &mut Context, link: LinkId, attempt: Attempt) {
        let Some(worker) = self.worker_of(link) else { return };
        match self.member_state_mut(attempt, &worker) {
            Some(state) if *state == MemberState::Unknown => {
                *state = MemberState::Prepared;
                self.advance(cx, attempt);
            }
            Some(_) => {}
            // The attempt is unknown here, has ended, or is being stopped.
            None => self.send_stop(cx, &worker, attempt, Duration::ZERO),
        }
    }

    pub(crate) fn on_declined(
        &mut self,
        cx: &mut Context,
        link: LinkId,
        attempt: Attempt,
        reason: &str,
    ) {
        let Some(worker) = self.worker_of(link) else { return };
        log::info!(step = "prepare", peer = worker.as_str(), attempt:% = attempt; "declined: {reason}");
        if let Some(agent) = self.agents.get_mut(&worker) {
            agent.backoff_until = cx.now + DECLINE_BACKOFF;
        }
        self.refresh_condition(cx, &worker);
        // A worker that has granted did not decline: the frame is late.
        let known = self.jobs_by_attempt.get(&attempt).and_then(|id| self.jobs[id].attempt());
        let awaits_grant = known.is_some_and(|t| {
            t.step == Step::Preparing && t.members.get(&worker) == Some(&MemberState::Unknown)
        });
        if awaits_grant {
            self.record_member_end(cx, attempt, &worker, Report::Aborted);
        }
    }

    /// Handles an agent's query about a grant that it has held for a while without a
    /// decision.
    pub(crate) fn on_unsure(&mut self, cx: &mut Context, link: LinkId, attempt: Attempt) {
        let Some(worker) = self.worker_of(link) else { return };
        let known = self.jobs_by_attempt.get(&attempt).and_then(|id| self.jobs[id].attempt());
        let current = known.filter(|known| known.attempt == attempt);
        let current = current.filter(|current| current.stop_reason.is_none());
        match current.and_then(|current| current.members.get(&worker)) {
            // The Go frame was sent and lost. A recorded start alone does not allow another: a
            // member may have aborted the attempt under an earlier owner.
            Some(MemberState::Running) => {
                cx.send(link, Frame::Go { epoch: self.row.epoch, attempt })
            }
            Some(_) => self.on_prepared(cx, link, attempt),
            None => self.send_stop(cx, &worker, attempt, Duration::ZERO),
        }
    }

    /// Moves an attempt on after a member's state changed.
    pub(crate) fn advance(&mut self, cx: &mut Context, attempt: Attempt) {
        let Some(id) = self.jobs_by_attempt.get(&attempt).copied() else { return };
        let record = self.jobs.get_mut(&id).expect("attempts name records");
        let recorded = record.job.recorded();
        let Some(current) = record.attempt_mut().filter(|t| t.attempt == attempt) else { return };
        if current.has_ended() {
            self.conclude(cx, id);
            return;
        }
        if current.stop_reason.is_some() {
            return;
        }
        let has_failed = |state: &MemberState| matches!(state, MemberState::Ended(report) if !matches!(report, Report::Done { .. }));
        if current.any(has_failed) {
            self.stop_attempt(cx, id, StopReason::Incomplete);
            return;
        }
        match current.step {
            Step::Preparing if current.all(|state| *state == MemberState::Prepared) => {
                if recorded {
                    current.step = Step::Committing;
                    self.write_job_row(cx, id, &Outcome::Started, Tag::Start(id, attempt));
                } else {
                    self.start_members(cx, id);
                }
            }
            // After a takeover: the start is recorded and all members still hold their grants.
            Step::Started if current.any(|state| *state == MemberState::Prepared) => {
                if current.all(|state| *state != MemberState::Unknown) {
                    self.start_members(cx, id);
                }
            }
            _ => {}
        }
    }

    /// Lets the members go once the start is recorded, unless the attempt is being
    /// stopped.
    pub(crate) fn on_start_recorded(&mut self, cx: &mut Context, id: JobId, attempt: Attempt) {
        let Some(record) = self.jobs.get(&id) else { return };
        let Some(current) = record.attempt().filter(|t| t.attempt == attempt) else { return };
        if current.step == Step::Committing && current.stop_reason.is_none() {
            self.start_members(cx, id);
        }
    }

    /// Sends Go to all members that have granted. From here on the job may run, so this
    /// is called only when the start can no longer fail.
    fn start_members(&mut self, cx: &mut Context, id: JobId) {
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        let Phase::Attempted(current) = &mut record.phase else { return };
        if current.step != Step::Started {
            record.attempts += 1;
        }
        current.step = Step::Started;
        current.updated_at = cx.now;
        let attempt = current.attempt;
        let mut links = Vec::new();
        for (worker, state) in &mut current.members {
            if *state == MemberState::Prepared {
                *state = MemberState::Running;
                links.extend(self.agents.get(worker).and_then(|agent| agent.link));
            }
        }
        for link in links {
            cx.send(link, Frame::Go { epoch: self.row.epoch, attempt });
        }
    }

    /// Asks all members that may hold the attempt to end it.
    pub(crate) fn stop_attempt(&mut self, cx: &mut Context, id: JobId, reason: StopReason) {
        let now = cx.now;
        let grace = match reason {
            StopReason::Reclaimed | StopReason::Cancelled => cx.settings.stop_grace,
            _ => Duration::ZERO,
        };
        let Some(record) = self.jobs.get_mut(&id) else { return };
        let Some(current) = record.attempt_mut() else { return };
        current.stop_reason.get_or_insert(reason);
        current.stop_retry_at = now + STOP_RETRY_INTERVAL;
        let attempt = current.attempt;
        let live_members = current.members.iter().filter(|(_, state)| state.is_live());
        let workers: Vec<String> = live_members.map(|(worker, _)| worker.clone()).collect();
        // A start that is not in flight can be withdrawn, so it is certain not to be
        // recorded.
        if self.ledger.withdraw(&Tag::Start(id, attempt)) {
            let record = self.jobs.get_mut(&id).expect("looked up above");
            record.row_state = if record.job.wait { None } else { Some(RowState::Queued) };
            if let Some(current) = record.attempt_mut() {
                current.step = Step::Preparing;
            }
        }
        for worker in workers {
            self.send_stop(cx, &worker, attempt, grace);
        }
    }

    pub(crate) fn send_stop(
        &mut self,
        cx: &mut Context,
        worker: &str,
        attempt: Attempt,
        grace: Duration,
    ) {
        if let Some(link) = self.link_of(worker) {
            let grace_ms = grace.as_millis() as u64;
            cx.send(link, Frame::Stop { epoch: self.row.epoch, attempt, grace_ms });
        }
    }

    /// Stops attempts whose members do not grant in time, and repeats requests to stop
    /// that may have been lost.
    pub(crate) fn check_attempts(&mut self, cx: &mut Context) {
        let now = cx.now;
        let mut overdue = Vec::new();
        let mut to_repeat = Vec::new();
        for (id, record) in &self.jobs {
            let Some(current) = record.attempt() else { continue };
            let is_overdue = now.saturating_sub(current.updated_at) >= cx.settings.prepare_timeout;
            if current.step == Step::Preparing && current.stop_reason.is_none() && is_overdue {
                overdue.push(*id);
            }
            if current.stop_reason.is_some() && now >= current.stop_retry_at {
                to_repeat.push((*id, current.stop_reason));
            }
        }
        for id in overdue {
            self.stop_attempt(cx, id, StopReason::Incomplete);
        }
        for (id, reason) in to_repeat {
            self.stop_attempt(cx, id, reason.expect("listed as stopping"));
        }
    }

    /// While the table is down: gives up what cannot be recorded and answers the
    /// callers at once, since the end of the outage cannot be predicted.
    pub(crate) fn abandon_unrecorded(&mut self, cx: &mut Context) {
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            let record = &self.jobs[&id];
            match &record.phase {
                Phase::Attempted(t) if t.step == Step::Committing && t.stop_reason.is_none() => {
                    self.stop_attempt(cx, id, StopReason::Unrecorded);
                }
                Phase::Queued if record.job.recorded() && record.row_state.is_none() => {
                    let outcome = self.unrecorded_outcome(cx, id);
                    self.finish(cx, id, outcome);
                }
                Phase::Queued if record.job.recorded() => {
                    if self.pool.withdraw(id) {
                        self.parked.insert(id);
                    }
                }
                Phase::Accepting if self.ledger.withdraw(&Tag::Accept(id)) => {
                    self.jobs.get_mut(&id).expect("listed above").row_state = None;
                    let outcome = self.unrecorded_outcome(cx, id);
                    self.finish(cx, id, outcome);
                }
                Phase::Accepting => {
                    let text = "the table service did not answer whether the job is recorded; \
                                ask again with the same request id";
                    let record = self.jobs.get_mut(&id).expect("listed above");
                    for waiting in std::mem::take(&mut record.waiters) {
                        cx.unavailable(&waiting.waiter, text);
                    }
                }
                Phase::Final { recorded: false, .. } => self.answer_waiters(cx, id),
                _ => {}
            }
        }
        self.abandon_changes(cx);
        self.abandon_denials(cx);
    }

    fn member_state_mut(&mut self, attempt: Attempt, worker: &str) -> Option<&mut MemberState> {
        let id = self.jobs_by_attempt.get(&attempt)?;
        let current = self.jobs.get_mut(id)?.attempt_mut()?;
        if current.attempt != attempt || current.stop_reason.is_some() {
            return None;
        }
        current.members.get_mut(worker)
    }
}
