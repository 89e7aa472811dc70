//! Starts and stops: sending, retries, confirmation and reports to the owner.

use quincewheel_job::{Incarnation, Task};
use quincewheel_wire::{Notice, Refused};

use crate::call::{Action, Fault, Reply};
use crate::pending::Pending;
use crate::runner::{Output, Runner};
use crate::stop_report::StopReport;

impl Runner {
    /// Forwards a change of pace to the worker. It is not retried, because the owner sends another
    /// while the worker's measurements are off target.
    pub(crate) fn on_pace(&mut self, worker: &Incarnation, task: Task, run: u64, percent: u32) {
        let Some(session) =
            self.session.as_ref().filter(|session| session.worker.is_incarnation(worker))
        else {
            return;
        };
        let action = Action::Pace { task, run, percent };
        let call = session.call(self.epoch, action, self.settings.call_timeout);
        self.outputs.push(Output::Call { id: self.next_call, call });
        self.next_call += 1;
    }

    /// Queues a start for the worker. `again` says that the owner has sent the order before,
    /// `suspect` that it suspects the task of crashing workers.
    pub(crate) fn on_start(
        &mut self,
        worker: &Incarnation,
        mut action: Action,
        (again, suspect): (bool, bool),
        now: u64,
    ) {
        let Action::Start { task, run, lease_end, .. } = &mut action else { return };
        let (task, run) = (task.clone(), *run);
        let until = self.lease.end_on_worker_clock(now + self.settings.lease);
        let until = until.filter(|_| self.lease.remaining(now) > self.settings.lease / 4);
        // A worker that has sent no heartbeat yet may be up all the same; the owner sends the
        // order again once it has.
        let Some(session) = &mut self.session else { return };
        if !session.worker.is_incarnation(worker) {
            return self.notify_owner(Notice::Unstarted { task, run, why: Refused::Leaving });
        }
        if session.orders.values().any(|pending| pending.is_start_of(&task, run)) {
            return;
        }
        // Nothing new starts at a worker that leaves, whose availability zone is evacuated, or
        // that has no lease, whatever the owner knew when it sent the order. But if the order is a
        // repeated one, the first may have taken effect, so the run is stopped.
        let evacuated = self.evacuation.contains(&session.worker.zone);
        let refused = session.worker.draining || evacuated || until.is_none();
        *lease_end = until.unwrap_or(0);
        let lease_end = now + self.lease.remaining(now);
        let mut pending =
            Pending { may_take_effect: again, suspect, lease_end, ..Pending::new(action) };
        if refused {
            pending.replace_with_stop(now);
        }
        session.orders.insert(self.next_call, pending);
        self.next_call += 1;
    }

    /// Queues a stop for the worker.
    pub(crate) fn on_stop(&mut self, worker: &Incarnation, task: Task, run: u64) {
        let Some(session) =
            self.session.as_mut().filter(|session| session.worker.is_incarnation(worker))
        else {
            return;
        };
        // A start that is still being retried must not be sent again after its stop.
        session.orders.retain(|_, pending| !pending.is_start_of(&task, run));
        session.orders.insert(self.next_call, Pending::new(Action::Stop { task, run }));
        self.next_call += 1;
    }

    /// Records that the worker accepts no connections.
    ///
    /// Either its process has ended, and all its runs with it, or only its port is closed, and its
    /// runs go on until the lease ends. A restart takes only a moment. As the agent can't tell
    /// which, nothing starts there until the worker or another incarnation of it replies to a
    /// poll: the worker counts as not fenced under this epoch.
    pub(crate) fn mark_unreachable(&mut self, now: u64) {
        let Some(session) = &mut self.session else { return };
        session.changed = true;
        if session.fenced > 0 {
            session.fenced = 0;
            self.send_status(now);
        }
    }

    /// Handles the reply to a start or a stop.
    pub(crate) fn on_order_reply(&mut self, id: u64, reply: Result<Reply, Fault>, now: u64) {
        let Some(session) = &mut self.session else { return };
        let Some(pending) = session.orders.get_mut(&id) else { return };
        let start = pending.is_start();
        if reply.is_err() {
            session.no_failed_calls = false;
        }
        match reply {
            Ok(Reply::Done { clock } | Reply::Held { clock, .. }) => {
                session.changed = true;
                session.next_poll = now;
                if start {
                    let run = pending.run();
                    session.confirm_start(&run, clock, now);
                }
                self.lease.set_worker_clock(clock, now);
                self.finish_order(id, None);
            }
            Err(Fault::Unsent { .. }) if start && !pending.may_take_effect => {
                // The status goes first, so that the owner orders nothing else there.
                self.mark_unreachable(now);
                self.finish_order(id, Some(Refused::Unreachable));
            }
            Err(Fault::Unsent { .. }) => {
                self.retry_order(id, now);
                self.mark_unreachable(now);
            }
            Ok(Reply::Refused(Refused::Busy)) => self.retry_order(id, now),
            Err(Fault::Unclear { .. }) => {
                pending.may_take_effect = true;
                if start {
                    let (task, run) = pending.run();
                    self.unanswered.insert(&session.worker.id, task, run, now);
                }
                self.retry_order(id, now);
            }
            // An earlier attempt without a reply may still take effect, and a run that is refused
            // as old may have run.
            Ok(Reply::Refused(why))
                if start && (pending.may_take_effect || why == Refused::Old) =>
            {
                pending.replace_with_stop(now);
            }
            Ok(Reply::Refused(why)) => self.finish_order(id, Some(why)),
        }
    }

    /// Removes an order that needs no more attempts, and reports its outcome. A refused stop counts
    /// as confirmed, because the worker then has nothing of the run.
    fn finish_order(&mut self, id: u64, refused: Option<Refused>) {
        let Some(pending) = self.session.as_mut().and_then(|session| session.orders.remove(&id))
        else {
            return;
        };
        let (task, run) = pending.run();
        let start = pending.is_start();
        match refused {
            None if start => self.notify_owner(Notice::Started { task, run }),
            Some(why) if start => self.notify_owner(Notice::Unstarted { task, run, why }),
            _ if pending.replaces_start => {
                self.defer_stop_report(Notice::Unstarted { task, run, why: Refused::Silent });
            }
            _ => self.defer_stop_report(Notice::Stopped { task, run }),
        }
    }

    /// Holds the report of a stop back until a poll that is sent from now on shows that the run has
    /// ended.
    fn defer_stop_report(&mut self, notice: Notice) {
        let min_poll = self.next_call;
        if let Some(session) = &mut self.session {
            session.stop_reports.push(StopReport { notice, min_poll });
            // The poll in flight was sent before the stop, and its reply may be held back long.
            session.poll = None;
        }
    }

    /// Schedules another attempt of an order that was refused or got no reply, or gives up.
    ///
    /// Repeating an order is harmless, since a run starts at most once. After the last attempt, a
    /// start that the worker refused each time has not taken effect and no longer can. One that
    /// got no reply may take effect seconds later, so its run is stopped: the worker refuses a
    /// start that arrives after its stop, and the task can safely start elsewhere.
    fn retry_order(&mut self, id: u64, now: u64) {
        let delay = self.settings.retry_delay;
        let Some(session) = &mut self.session else { return };
        let evacuated = self.evacuation.contains(&session.worker.zone);
        let max_attempts = if evacuated { 1 } else { self.settings.max_start_attempts };
        let Some(pending) = session.orders.get_mut(&id) else { return };
        pending.attempts += 1;
        let start = pending.is_start();
        if start && pending.attempts < max_attempts {
            pending.retry_at = Some(now);
        } else if start && !pending.may_take_effect {
            self.finish_order(id, Some(Refused::Busy));
        } else if start {
            pending.replace_with_stop(now);
        } else {
            pending.retry_at = Some(now + delay);
        }
    }
}
