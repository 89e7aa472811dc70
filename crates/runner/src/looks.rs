//! What the worker answers when it is looked at.

use quincewheel_wire::Refused;

use crate::call::{Fault, Reply};
use crate::runner::Runner;
use crate::stopped::Stopped;

impl Runner {
    /// The worker answered a look.
    pub(crate) fn held(&mut self, id: u64, epoch: u64, answer: Result<Reply, Fault>, now: u64) {
        let Some(session) = &mut self.session else { return };
        session.hold = None;
        match answer {
            Ok(Reply::Held { born, .. }) if born != session.worker.born => {
                self.met_another(born, now)
            }
            Ok(Reply::Held { clock, running, ended, .. }) => {
                session.sure = true;
                session.fenced = session.fenced.max(epoch);
                session.told = session.told.max(session.asked);
                session.running = running;
                session.ended = ended;
                let seen = session.seen;
                session.ended.retain(|end| end.number > seen);
                session.rest =
                    if session.ended.is_empty() { now } else { now + self.settings.retry_delay };
                session.reported = now;
                session.proven = true;
                session.broke = None;
                let stopped = std::mem::take(&mut session.stopped);
                let (told, kept) = stopped
                    .into_iter()
                    .partition(|stop| stop.look <= id && !stop.goes_on(&session.running));
                session.stopped = kept;
                if let Some(late) = self.rival.take() {
                    self.bury(late.worker.incarnation());
                }
                self.lease.set_worker_clock(clock, now);
                self.tell_status(now);
                let told: Vec<Stopped> = told;
                for stop in told {
                    self.tell(stop.notice);
                }
            }
            Ok(Reply::Refused(Refused::Leaving)) => self.change_session(now),
            Err(Fault::Unsent { .. }) if self.rival.is_some() => self.change_session(now),
            answer => {
                session.sure = false;
                session.changed = true;
                session.rest = now + self.settings.retry_delay;
                if matches!(answer, Err(Fault::Unsent { .. })) {
                    self.unreachable(now);
                }
            }
        }
    }
}
