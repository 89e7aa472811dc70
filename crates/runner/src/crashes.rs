//! Detection and reports of workers that broke their connections, or ended, just after starts.

use quincewheel_job::Incarnation;
use quincewheel_wire::Notice;

use crate::crash::{Causes, Crash};
use crate::runner::Runner;
use crate::session::Session;

/// How long a crash is reported to new owners. An owner is missed and replaced within about
/// 2 s, and nothing starts while there is none.
const CRASH_RETENTION_MS: u64 = 10_000;

impl Runner {
    /// Records that the worker broke the connection of a call (`closed`), or accepts none.
    ///
    /// A repeated break is reported only if it adds starts that may have caused it: a connection
    /// may be reset, and the worker crash a moment later because of a start in between. Returns
    /// true for the first break, if it closed an open connection.
    pub(crate) fn on_connection_broken(&mut self, id: u64, closed: bool, now: u64) -> bool {
        // A failed call to a former incarnation shows nothing about this one.
        let shows_break = |session: &&mut Session| session.shows_break(id);
        let Some(session) = self.session.as_mut().filter(shows_break) else { return false };
        let causes = session.crash_causes(closed, now);
        session.presumed_gone_since = Some(self.next_call);
        let first = session.broken.is_none();
        let more = session.broken.get_or_insert_default().add(causes);
        if first || more {
            self.send_broke();
        }
        first && closed
    }

    /// Reports broken connections to the owner, if the worker has not replied since.
    pub(crate) fn send_broke(&mut self) {
        let Some(session) = &self.session else { return };
        if let Some(causes) = session.broken.clone() {
            let worker = session.worker.incarnation();
            self.report_causes(worker, causes);
        }
    }

    /// Records the end of the current incarnation without notice as a crash, if it had not survived
    /// its last starts. Its connections may have broken without a call that showed it.
    pub(crate) fn record_crash(&mut self, now: u64) {
        let Some(session) = self.session.as_mut().filter(|session| !session.worker.draining) else {
            return;
        };
        let unseen = session.crash_causes(false, now);
        let mut causes = session.broken.take().unwrap_or_default();
        let more = causes.add(unseen);
        if causes.is_empty() {
            return;
        }
        let worker = session.worker.incarnation();
        self.crashes.push(Crash { worker: worker.clone(), causes: causes.clone(), at: now });
        if more {
            self.report_causes(worker, causes);
        }
    }

    /// Reports recent crashes to a new owner, since the former one may have had no connection at
    /// the time, or may not have recorded them. Owners count a crash once, however often it is
    /// reported.
    pub(crate) fn send_crashes(&mut self, now: u64) {
        self.crashes.retain(|crash| now <= crash.at + CRASH_RETENTION_MS);
        for Crash { worker, causes, .. } in self.crashes.clone() {
            self.report_causes(worker, causes);
        }
    }

    fn report_causes(&mut self, worker: Incarnation, causes: Causes) {
        let Causes { likely: starts, possible } = causes;
        self.notify_owner(Notice::Broke { worker, starts, possible });
    }
}
