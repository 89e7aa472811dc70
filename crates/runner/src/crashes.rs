//! Detection and reports of workers that broke their connections just after starts.

use quincewheel_wire::Notice;

use crate::crash::Crash;
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
        let window = self.settings.crash_window;
        // A failed call to a former incarnation shows nothing about this one.
        let awaits = |session: &&mut Session| session.awaits_reply(id);
        let Some(session) = self.session.as_mut().filter(awaits) else { return false };
        let mut starts = session.crash_suspects(closed, window, now);
        let first = session.broken.is_none();
        let known = session.broken.take().unwrap_or_default();
        starts.retain(|start| !known.contains(start));
        let more = !starts.is_empty();
        session.broken = Some([known, starts].concat());
        if first || more {
            self.send_broke();
        }
        first && closed
    }

    /// Reports broken connections to the owner, if the worker has not replied since.
    pub(crate) fn send_broke(&mut self) {
        let Some(session) = &self.session else { return };
        if let Some(starts) = session.broken.clone() {
            let worker = session.worker.incarnation();
            self.notify_owner(Notice::Broke { worker, starts });
        }
    }

    /// Reports recent crashes to a new owner, since the former one may have had no connection at
    /// the time, or may not have recorded them. Owners count a crash once, however often it is
    /// reported.
    pub(crate) fn send_crashes(&mut self, now: u64) {
        self.crashes.retain(|crash| now <= crash.at + CRASH_RETENTION_MS);
        for Crash { worker, starts, .. } in self.crashes.clone() {
            self.notify_owner(Notice::Broke { worker, starts });
        }
    }
}
