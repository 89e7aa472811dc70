//! Which incarnation of the worker is there: by its reports, its answers, and its last word.

use quincewheel_job::{Incarnation, Worker};
use quincewheel_wire::Notice;

use crate::call::Action;
use crate::crashed::Crashed;
use crate::heartbeat::Heartbeat;
use crate::pending::Pending;
use crate::rival::Rival;
use crate::runner::Runner;
use crate::session::Session;

/// Incarnations that are remembered as over. A report is held up for seconds, and a worker
/// that crashes again and again takes about a second for each.
const PAST: usize = 32;

impl Runner {
    /// The worker reported itself.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat<'_>, now: u64) {
        let Heartbeat { worker, address, clock, number } = *heartbeat;
        // An incarnation that was replaced does not come back; a report of it was held up
        // on its way. Believed, all that runs on the incarnation that is there would be
        // taken for lost, and would start elsewhere beside itself.
        if self.past.contains(&worker.incarnation()) {
            return;
        }
        self.reports += 1;
        match &mut self.session {
            // An incarnation stays in its pool: this report is another writer's.
            Some(session) if session.is(worker) && session.worker.pool != worker.pool => {}
            // It was held up on its way, and another has come since.
            Some(session) if session.is(worker) && number <= session.number => {}
            Some(session) if session.is(worker) => {
                session.number = number;
                // An idle worker is not looked at, so nothing else would tell its owner.
                let drains = session.worker.draining != worker.draining;
                let cooled = session.worker.cold == 0 && worker.cold > 0;
                let changed = drains || cooled || session.worker.eligibility_differs(worker);
                session.worker = worker.clone();
                session.reported = now;
                address.clone_into(&mut session.address);
                self.lease.set_worker_clock(clock, now);
                if changed {
                    self.tell_status(now);
                }
            }
            // Which of the two is there, only a look tells; or a second report, where
            // the one that was does not answer: what is held up comes once.
            Some(session) if session.proven && self.epoch > 0 => {
                let rival = self.rival.as_ref();
                let again =
                    rival.is_some_and(|rival| rival.worker.is_incarnation(&worker.incarnation()));
                if again && now > session.reported + self.settings.heartbeat_timeout {
                    self.change_session(now);
                    return self.step(now);
                }
                session.hold = None;
                session.changed = true;
                session.rest = now;
                let (worker, address) = (worker.clone(), address.to_owned());
                self.rival = Some(Rival { worker, address, number });
            }
            _ => {
                self.replace(worker, address, number, now);
                self.lease.set_worker_clock(clock, now);
                self.tell_status(now);
            }
        }
        self.step(now);
    }

    /// Another incarnation of the worker is there.
    pub(crate) fn replace(&mut self, worker: &Worker, address: &str, number: u64, now: u64) {
        self.lease.clear_worker_clock();
        self.incarnations += 1;
        self.left = None;
        let mut session = Session::open(worker, address, now);
        session.number = number;
        for (task, run) in self.unanswered.of(&worker.id, now) {
            session.orders.insert(self.next_call, Pending::open(Action::Stop { task, run }));
            self.next_call += 1;
        }
        self.session = Some(session);
    }

    /// The incarnation that was there is over, as its worker's process showed. One that has
    /// reported since then takes its place.
    pub(crate) fn change_session(&mut self, now: u64) {
        self.end_session(now);
        if let Some(Rival { worker, address, number }) = self.rival.take() {
            self.replace(&worker, &address, number, now);
        }
        self.tell_status(now);
    }

    /// The worker reported that it ends; `worker` says which incarnation, or its id alone.
    ///
    /// Where ids are kept, the id alone may be a former incarnation's, whose report was held up.
    /// It is believed of one that has said that it drains, as each does before a planned end.
    pub fn on_leave(&mut self, worker: &Incarnation, now: u64) {
        let ends = |known: &Worker| {
            let told = known.is_incarnation(worker) || (worker.born == 0 && known.draining);
            known.id == worker.id && told
        };
        if let Some(rival) = self.rival.take_if(|rival| ends(&rival.worker)) {
            self.bury(rival.worker.incarnation());
        }
        if let Some(session) = self.session.as_mut().filter(|session| ends(&session.worker)) {
            // It ends in good order, and its connections with it.
            session.broke = None;
            let worker = session.worker.incarnation();
            self.end_session(now);
            self.left = Some(worker.clone());
            self.tell(Notice::Left { worker });
            self.tell_status(now);
        }
    }

    /// Another incarnation answered a look, under the id of the one that is known.
    pub(crate) fn met_another(&mut self, born: u64, now: u64) {
        let Some(session) = &mut self.session else { return };
        // A list that does not say which start it is of is another writer's.
        if born == 0 {
            session.changed = true;
            session.rest = now + self.settings.retry_delay;
            return;
        }
        let met = Incarnation { id: session.worker.id.clone(), born };
        self.rival.take_if(|rival| !rival.worker.is_incarnation(&met));
        self.change_session(now);
    }

    /// The incarnation that was there is over.
    fn end_session(&mut self, now: u64) {
        let Some(session) = self.session.take() else { return };
        for (task, run) in session.unanswered() {
            self.unanswered.note(&session.worker.id, task, run, now);
        }
        let starts = session.broke.filter(|starts| !starts.is_empty() && !session.worker.draining);
        if let Some(starts) = starts {
            let worker = session.worker.incarnation();
            self.crashed.push(Crashed { worker, starts, at: now });
        }
        self.bury(session.worker.incarnation());
    }

    /// No report of this incarnation is believed any more.
    pub(crate) fn bury(&mut self, worker: Incarnation) {
        self.past.push_back(worker);
        if self.past.len() > PAST {
            self.past.pop_front();
        }
    }
}
