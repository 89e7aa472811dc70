//! Placing and starting: prepare, record, go.

use std::time::Duration;

use quincewheel_pool::{Decision, JobId, Placement};
use quincewheel_wire::{Attempt, Frame, LinkId, Outcome, Report, Task};

use crate::context::Context;
use crate::ledger::Tag;
use crate::owner::Owner;
use crate::record::{Part, Phase, Step, Stored, Try, Why};

/// An unacknowledged request to stop is repeated after this time.
const REPEAT: Duration = Duration::from_secs(2);

/// A worker that declined is left alone for this time. It tells anew what it
/// holds when it declines, but a reason that stays would otherwise make the
/// same attempt fail as fast as frames travel.
const PAUSE: Duration = Duration::from_millis(500);

impl Owner {
    /// Carries out what the pool decides.
    pub(crate) fn decide(&mut self, cx: &mut Context) {
        for decision in self.pool.decide(cx.now) {
            match decision {
                Decision::Start { job, placement, .. } => self.prepare(cx, job, placement),
                Decision::Reclaim { job, .. } => self.stop(cx, job, Why::Reclaimed),
            }
        }
    }

    /// Asks every member to grant its accelerators. Nothing starts yet.
    fn prepare(&mut self, cx: &mut Context, id: JobId, placement: Placement) {
        let attempt = Attempt::new(self.row.epoch, self.next_attempt);
        self.next_attempt += 1;
        let mut members: Vec<(String, String)> = Vec::new();
        for (worker, _) in &placement {
            if !members.iter().any(|(name, _)| name == worker) {
                let address = self.agents.get(worker).map_or("", |a| &a.member.address);
                members.push((worker.clone(), address.to_owned()));
            }
        }
        let order: Vec<String> = members.iter().map(|(worker, _)| worker.clone()).collect();
        let record = self.jobs.get_mut(&id).expect("the pool holds known jobs");
        record.phase = Phase::Tried(Try::new(attempt, Step::Preparing, cx.now, order.clone()));
        record.last = Some((attempt, order.clone()));
        self.attempts.insert(attempt, id);
        let job = &record.job;
        for worker in order {
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
                deadline: record.until.saturating_sub(cx.now),
                payload: job.payload.clone(),
            };
            let link = self.agents.get(&worker).and_then(|agent| agent.link);
            if let Some(link) = link {
                cx.send(link, Frame::Prepare { epoch: self.row.epoch, task });
            }
        }
    }

    pub(crate) fn prepared(&mut self, cx: &mut Context, link: LinkId, attempt: Attempt) {
        let Some(worker) = self.worker_of(link) else { return };
        match self.part_mut(attempt, &worker) {
            Some(part) if *part == Part::Unknown => {
                *part = Part::Prepared;
                self.advance(cx, attempt);
            }
            Some(_) => {}
            // Nobody here wants this attempt any more.
            None => self.send_stop(cx, &worker, attempt, Duration::ZERO),
        }
    }

    pub(crate) fn declined(
        &mut self,
        cx: &mut Context,
        link: LinkId,
        attempt: Attempt,
        reason: &str,
    ) {
        let Some(worker) = self.worker_of(link) else { return };
        log::info!(step = "prepare", peer = worker.as_str(), attempt:% = attempt; "declined: {reason}");
        if let Some(agent) = self.agents.get_mut(&worker) {
            agent.pause = cx.now + PAUSE;
        }
        self.refresh_condition(cx, &worker);
        // A worker that has granted did not decline, whatever comes late.
        let known = self.attempts.get(&attempt).and_then(|id| self.jobs[id].attempt());
        let asked = known.is_some_and(|t| {
            t.step == Step::Preparing && t.parts.get(&worker) == Some(&Part::Unknown)
        });
        if asked {
            self.end_part(cx, attempt, &worker, Report::Aborted);
        }
    }

    /// An agent has held a grant for a while and asks what is to become of it.
    pub(crate) fn unsure(&mut self, cx: &mut Context, link: LinkId, attempt: Attempt) {
        let Some(worker) = self.worker_of(link) else { return };
        let known = self.attempts.get(&attempt).and_then(|id| self.jobs[id].attempt());
        let current = known.filter(|known| known.attempt == attempt);
        let current = current.filter(|current| current.stopping.is_none());
        match current.and_then(|current| current.parts.get(&worker)) {
            // Go was said and got lost. That the start is recorded is not
            // enough: another member may have buried it under an earlier owner.
            Some(Part::Running) => cx.send(link, Frame::Go { epoch: self.row.epoch, attempt }),
            Some(_) => self.prepared(cx, link, attempt),
            None => self.send_stop(cx, &worker, attempt, Duration::ZERO),
        }
    }

    /// Moves an attempt on after something was learnt of a member.
    pub(crate) fn advance(&mut self, cx: &mut Context, attempt: Attempt) {
        let Some(id) = self.attempts.get(&attempt).copied() else { return };
        let record = self.jobs.get_mut(&id).expect("attempts name records");
        let recorded = record.job.recorded();
        let Some(current) = record.attempt_mut().filter(|t| t.attempt == attempt) else { return };
        if current.ended() {
            self.conclude(cx, id);
            return;
        }
        if current.stopping.is_some() {
            return;
        }
        let broken = |part: &Part| matches!(part, Part::Ended(report) if !matches!(report, Report::Done { .. }));
        if current.any(broken) {
            self.stop(cx, id, Why::Broken);
            return;
        }
        match current.step {
            Step::Preparing if current.all(|part| *part == Part::Prepared) => {
                if recorded {
                    current.step = Step::Committing;
                    self.store_job(cx, id, &Outcome::Started, Tag::Start(id, attempt));
                } else {
                    self.go(cx, id);
                }
            }
            // After a takeover: the start is recorded, all members hold on.
            Step::Started if current.any(|part| *part == Part::Prepared) => {
                if current.all(|part| *part != Part::Unknown) {
                    self.go(cx, id);
                }
            }
            _ => {}
        }
    }

    /// The start is recorded: members may go, unless it was given up meanwhile.
    pub(crate) fn start_recorded(&mut self, cx: &mut Context, id: JobId, attempt: Attempt) {
        let Some(record) = self.jobs.get(&id) else { return };
        let Some(current) = record.attempt().filter(|t| t.attempt == attempt) else { return };
        if current.step == Step::Committing && current.stopping.is_none() {
            self.go(cx, id);
        }
    }

    /// From here on the job may run. Called only when nothing that could stop
    /// it from starting is undecided.
    fn go(&mut self, cx: &mut Context, id: JobId) {
        let record = self.jobs.get_mut(&id).expect("callers look it up");
        let Phase::Tried(current) = &mut record.phase else { return };
        if current.step != Step::Started {
            record.attempts += 1;
        }
        current.step = Step::Started;
        current.since = cx.now;
        let attempt = current.attempt;
        let mut links = Vec::new();
        for (worker, part) in &mut current.parts {
            if *part == Part::Prepared {
                *part = Part::Running;
                links.extend(self.agents.get(worker).and_then(|agent| agent.link));
            }
        }
        for link in links {
            cx.send(link, Frame::Go { epoch: self.row.epoch, attempt });
        }
    }

    /// Asks all members that may hold the attempt to end it.
    pub(crate) fn stop(&mut self, cx: &mut Context, id: JobId, why: Why) {
        let now = cx.now;
        let grace = match why {
            Why::Reclaimed | Why::Cancelled => cx.settings.stop_grace,
            _ => Duration::ZERO,
        };
        let Some(record) = self.jobs.get_mut(&id) else { return };
        let Some(current) = record.attempt_mut() else { return };
        current.stopping.get_or_insert(why);
        current.repeat = now + REPEAT;
        let attempt = current.attempt;
        let live = current.parts.iter().filter(|(_, part)| part.live());
        let workers: Vec<String> = live.map(|(worker, _)| worker.clone()).collect();
        // A start that is not in flight can be taken back: then it certainly
        // is not recorded.
        if self.ledger.withdraw(&Tag::Start(id, attempt)) {
            let record = self.jobs.get_mut(&id).expect("looked up above");
            record.stored = if record.job.wait { None } else { Some(Stored::Queued) };
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

    /// Gives up members that do not grant in time, and repeats stops that may
    /// have been lost.
    pub(crate) fn check_attempts(&mut self, cx: &mut Context) {
        let now = cx.now;
        let mut slow = Vec::new();
        let mut repeat = Vec::new();
        for (id, record) in &self.jobs {
            let Some(current) = record.attempt() else { continue };
            let waiting = now.saturating_sub(current.since) >= cx.settings.prepare_timeout;
            if current.step == Step::Preparing && current.stopping.is_none() && waiting {
                slow.push(*id);
            }
            if current.stopping.is_some() && now >= current.repeat {
                repeat.push((*id, current.stopping));
            }
        }
        for id in slow {
            self.stop(cx, id, Why::Broken);
        }
        for (id, why) in repeat {
            self.stop(cx, id, why.expect("listed as stopping"));
        }
    }

    /// While the table is down: gives up what cannot be recorded and tells the
    /// callers so at once. Nobody can say when the table will be back.
    pub(crate) fn give_up_unrecorded(&mut self, cx: &mut Context) {
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            let record = &self.jobs[&id];
            match &record.phase {
                Phase::Tried(t) if t.step == Step::Committing && t.stopping.is_none() => {
                    self.stop(cx, id, Why::Unrecorded);
                }
                Phase::Queued if record.job.recorded() && record.stored.is_none() => {
                    let outcome = self.unrecorded(cx, id);
                    self.finish(cx, id, outcome);
                }
                Phase::Queued if record.job.recorded() => {
                    if self.pool.withdraw(id) {
                        self.parked.insert(id);
                    }
                }
                Phase::Accepting if self.ledger.withdraw(&Tag::Accept(id)) => {
                    self.jobs.get_mut(&id).expect("listed above").stored = None;
                    let outcome = self.unrecorded(cx, id);
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
                Phase::Final { recorded: false, .. } => self.answer_all(cx, id),
                _ => {}
            }
        }
        self.give_up_changes(cx);
        self.give_up_denials(cx);
    }

    fn part_mut(&mut self, attempt: Attempt, worker: &str) -> Option<&mut Part> {
        let id = self.attempts.get(&attempt)?;
        let current = self.jobs.get_mut(id)?.attempt_mut()?;
        if current.attempt != attempt || current.stopping.is_some() {
            return None;
        }
        current.parts.get_mut(worker)
    }
}
