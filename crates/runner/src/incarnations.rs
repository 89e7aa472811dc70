//! Which incarnation of the worker is current, by its heartbeats, its replies, and its notice of
//! leaving.

use quincewheel_job::{Incarnation, Run, Worker};
use quincewheel_wire::Notice;

use crate::call::Action;
use crate::candidate::Candidate;
use crate::heartbeat::Heartbeat;
use crate::pending::Pending;
use crate::runner::Runner;
use crate::session::Session;

/// How many ended incarnations are remembered. A heartbeat may be delayed by seconds, and a
/// worker that crashes repeatedly takes about a second for each incarnation.
const MAX_ENDED_INCARNATIONS: usize = 32;

impl Runner {
    /// Handles a heartbeat of the worker.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat<'_>, now: u64) {
        let Heartbeat { worker, address, clock, number } = *heartbeat;
        // An incarnation that was replaced does not come back, so this heartbeat was delayed. If
        // it were accepted, all runs of the current incarnation would be taken for lost and
        // start a second time elsewhere.
        if self.ended_incarnations.contains(&worker.incarnation()) {
            return;
        }
        self.heartbeat_count += 1;
        match &mut self.session {
            // An incarnation stays in its pool, so another writer sent this heartbeat.
            Some(session) if session.is(worker) && session.worker.pool != worker.pool => {}
            // Delayed: a newer one has been received.
            Some(session) if session.is(worker) && number <= session.heartbeat => {}
            Some(session) if session.is(worker) => {
                session.heartbeat = number;
                // An idle worker is not polled, so the owner would not learn of these changes.
                let drains = session.worker.draining != worker.draining;
                let cooled = session.worker.cold == 0 && worker.cold > 0;
                let changed = drains || cooled || session.worker.eligibility_differs(worker);
                session.worker = worker.clone();
                session.last_seen = now;
                session.last_sign = now;
                address.clone_into(&mut session.address);
                self.lease.set_worker_clock(clock, now);
                if changed {
                    self.send_status(now);
                }
            }
            // Which of the two incarnations is current is decided by a poll, or by a second
            // heartbeat if the known one does not reply: a delayed heartbeat arrives once.
            Some(session) if session.verified && self.epoch > 0 => {
                let candidate = self.candidate.as_ref();
                let again = candidate.is_some_and(|candidate| {
                    candidate.worker.is_incarnation(&worker.incarnation())
                });
                if again && now > session.last_seen + self.settings.heartbeat_timeout {
                    self.switch_session(now);
                    return self.send_due_calls(now);
                }
                session.poll = None;
                session.changed = true;
                session.next_poll = now;
                session.presumed_gone_since = Some(self.next_call);
                let (worker, address) = (worker.clone(), address.to_owned());
                self.candidate = Some(Candidate { worker, address, number });
            }
            _ => {
                self.open_session(worker, address, number, now);
                self.lease.set_worker_clock(clock, now);
                self.send_status(now);
            }
        }
        self.send_due_calls(now);
    }

    /// Makes an incarnation the current one. Stops the runs that its predecessors may have been
    /// ordered to start without a reply.
    pub(crate) fn open_session(&mut self, worker: &Worker, address: &str, number: u64, now: u64) {
        self.lease.clear_worker_clock();
        self.incarnation_count += 1;
        self.departed = None;
        let mut session = Session::new(worker, address, now);
        session.heartbeat = number;
        for (task, run) in self.unanswered.starts_at(&worker.id, now) {
            session.orders.insert(self.next_call, Pending::new(Action::Stop { task, run }));
            self.next_call += 1;
        }
        self.session = Some(session);
    }

    /// Ends the current incarnation, whose process has ended, and replaces it by the candidate if
    /// there is one.
    pub(crate) fn switch_session(&mut self, now: u64) {
        self.record_crash(now);
        self.end_session(now);
        if let Some(Candidate { worker, address, number }) = self.candidate.take() {
            self.open_session(&worker, &address, number, now);
        }
        self.send_status(now);
    }

    /// Handles the worker's notice that it leaves; `worker` is the incarnation, or the id alone.
    ///
    /// On platforms where ids are kept, a notice with the id alone may be a delayed one of a former
    /// incarnation. It is accepted only for an incarnation that has reported that it drains, which
    /// each does before a planned end.
    pub fn on_leave(&mut self, worker: &Incarnation, now: u64) {
        let ends = |known: &Worker| {
            let meant = known.is_incarnation(worker) || (worker.born == 0 && known.draining);
            known.id == worker.id && meant
        };
        if let Some(candidate) = self.candidate.take_if(|candidate| ends(&candidate.worker)) {
            self.mark_ended(candidate.worker.incarnation());
        }
        if let Some(session) = self.session.as_mut().filter(|session| ends(&session.worker)) {
            let worker = session.worker.incarnation();
            self.end_session(now);
            self.departed = Some(worker.clone());
            self.notify_owner(Notice::Left { worker });
            self.send_status(now);
        }
    }

    /// Handles a reply to a poll by a process that has the known id, but was started at another
    /// time. Starts that it lists have reached it instead of the known one.
    pub(crate) fn on_other_incarnation(&mut self, born: u64, running: &[Run], now: u64) {
        let Some(session) = &mut self.session else { return };
        // A reply that does not name its incarnation comes from another program.
        if born == 0 {
            session.changed = true;
            session.next_poll = now + self.settings.retry_delay;
            return;
        }
        let replied = Incarnation { id: session.worker.id.clone(), born };
        let mut corrected = false;
        for run in running {
            corrected |= session.forget_start_at_next(&(run.task.clone(), run.number));
        }
        if corrected {
            self.send_broke();
        }
        self.candidate.take_if(|candidate| !candidate.worker.is_incarnation(&replied));
        self.switch_session(now);
    }

    /// Closes the session of the current incarnation, and keeps its unanswered starts.
    fn end_session(&mut self, now: u64) {
        let Some(session) = self.session.take() else { return };
        for (task, run) in session.unanswered() {
            self.unanswered.insert(&session.worker.id, task, run, now);
        }
        self.mark_ended(session.worker.incarnation());
    }

    /// Ignores heartbeats of this incarnation from now on.
    pub(crate) fn mark_ended(&mut self, worker: Incarnation) {
        self.ended_incarnations.push_back(worker);
        if self.ended_incarnations.len() > MAX_ENDED_INCARNATIONS {
            self.ended_incarnations.pop_front();
        }
    }
}
