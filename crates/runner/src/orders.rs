//! Starts and stops: given to the worker, repeated, made sure of, and told.

use quincewheel_job::{Incarnation, Task};
use quincewheel_wire::{Notice, Refused};

use crate::call::{Action, Fault, Reply};
use crate::pending::Pending;
use crate::runner::{Output, Runner};
use crate::stopped::Stopped;

impl Runner {
    /// Passes a pace on. It is not tried again: the owner gives another as long
    /// as the worker's figures are not what they should be.
    pub(crate) fn pace(&mut self, worker: &Incarnation, task: Task, run: u64, percent: u32) {
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

    pub(crate) fn start(
        &mut self,
        worker: &Incarnation,
        mut action: Action,
        again: bool,
        now: u64,
    ) {
        let Action::Start { task, run, lease_end: lease, .. } = &mut action else { return };
        let (task, run) = (task.clone(), *run);
        let until = self.lease.end_on_worker_clock(now + self.settings.lease);
        let until = until.filter(|_| self.lease.remaining(now) > self.settings.lease / 4);
        // A worker that has not reported yet may run all the same; the owner
        // asks again once it has.
        let Some(session) = &mut self.session else { return };
        if !session.worker.is_incarnation(worker) {
            return self.tell(Notice::Unstarted { task, run, why: Refused::Leaving });
        }
        if session.orders.values().any(|pending| pending.starts(&task, run)) {
            return;
        }
        // A worker that leaves, or whose zone is evacuated, takes nothing new, whatever the
        // owner knew when it gave the order; nor does one without a lease. But the
        // order may be a repeated one, and the first may have taken effect.
        let evacuated = self.evacuation.contains(&session.worker.zone);
        let refused = session.worker.draining || evacuated || until.is_none();
        *lease = until.unwrap_or(0);
        let mut pending = Pending { doubtful: again, ..Pending::open(action) };
        if refused {
            pending.settle(now);
        }
        session.orders.insert(self.next_call, pending);
        self.next_call += 1;
    }

    pub(crate) fn stop(&mut self, worker: &Incarnation, task: Task, run: u64) {
        let Some(session) =
            self.session.as_mut().filter(|session| session.worker.is_incarnation(worker))
        else {
            return;
        };
        // A start that is still being tried must not be repeated after its stop.
        session.orders.retain(|_, pending| !pending.starts(&task, run));
        session.orders.insert(self.next_call, Pending::open(Action::Stop { task, run }));
        self.next_call += 1;
    }

    /// The worker takes no connections. Its process is gone, and what ran there
    /// with it, or only its port is shut, and what runs there goes on until its
    /// lease ends; a restart takes a moment. Nothing tells which, so nothing new
    /// goes there until it answers a look, or another incarnation of it does: the worker
    /// counts as one that has not answered under this epoch.
    pub(crate) fn unreachable(&mut self, now: u64) {
        let Some(session) = &mut self.session else { return };
        session.changed = true;
        if session.fenced > 0 {
            session.fenced = 0;
            self.tell_status(now);
        }
    }

    /// The worker answered a start or a stop.
    pub(crate) fn ordered(&mut self, id: u64, answer: Result<Reply, Fault>, now: u64) {
        let Some(session) = &mut self.session else { return };
        let Some(pending) = session.orders.get_mut(&id) else { return };
        let start = pending.is_start();
        if answer.is_err() {
            session.sure = false;
        }
        match answer {
            Ok(Reply::Done { clock } | Reply::Held { clock, .. }) => {
                session.changed = true;
                session.rest = now;
                if start {
                    let (task, run) = pending.run();
                    session.note_start(task, run, self.settings.crash_window, now);
                }
                self.lease.set_worker_clock(clock, now);
                self.close(id, None);
            }
            Err(Fault::Unsent { .. }) if start && !pending.doubtful => {
                // First the status: nothing else may be ordered there.
                self.unreachable(now);
                self.close(id, Some(Refused::Unreachable));
            }
            Err(Fault::Unsent { .. }) => {
                self.retry(id, now);
                self.unreachable(now);
            }
            Ok(Reply::Refused(Refused::Busy)) => self.retry(id, now),
            Err(Fault::Unclear { .. }) => {
                pending.doubtful = true;
                if start {
                    let (task, run) = pending.run();
                    self.unanswered.note(&session.worker.id, task, run, now);
                }
                self.retry(id, now);
            }
            // An earlier try without an answer may still take effect, and what is
            // refused as old may have run.
            Ok(Reply::Refused(why)) if start && (pending.doubtful || why == Refused::Old) => {
                pending.settle(now);
            }
            Ok(Reply::Refused(why)) => self.close(id, Some(why)),
        }
    }

    /// Tells what became of an order that needs no more tries. A stop that was
    /// refused is through as well: nothing of the run is there.
    fn close(&mut self, id: u64, refused: Option<Refused>) {
        let Some(pending) = self.session.as_mut().and_then(|session| session.orders.remove(&id))
        else {
            return;
        };
        let (task, run) = pending.run();
        let start = pending.is_start();
        match refused {
            None if start => self.tell(Notice::Started { task, run }),
            Some(why) if start => self.tell(Notice::Unstarted { task, run, why }),
            _ if pending.unclear => {
                self.stopped(Notice::Unstarted { task, run, why: Refused::Silent });
            }
            _ => self.stopped(Notice::Stopped { task, run }),
        }
    }

    fn stopped(&mut self, notice: Notice) {
        let look = self.next_call;
        if let Some(session) = &mut self.session {
            session.stopped.push(Stopped { notice, look });
            // A look that is under way began before, and may wait for long.
            session.hold = None;
        }
    }

    /// An order was not carried out, or got no answer. The same order again is
    /// harmless, since a run starts once. After the last try, a start that the
    /// worker refused each time has not taken effect and cannot any more. One that
    /// once got no answer may still, seconds later: it is stopped, and a worker
    /// refuses a start that comes after its stop, so that the task can then safely
    /// start elsewhere.
    fn retry(&mut self, id: u64, now: u64) {
        let pause = self.settings.retry_delay;
        let Some(session) = &mut self.session else { return };
        let evacuated = self.evacuation.contains(&session.worker.zone);
        let tries = if evacuated { 1 } else { self.settings.max_start_attempts };
        let Some(pending) = session.orders.get_mut(&id) else { return };
        pending.tries += 1;
        let start = pending.is_start();
        if start && pending.tries < tries {
            pending.again = Some(now);
        } else if start && !pending.doubtful {
            self.close(id, Some(Refused::Busy));
        } else if start {
            pending.settle(now);
        } else {
            pending.again = Some(now + pause);
        }
    }
}
