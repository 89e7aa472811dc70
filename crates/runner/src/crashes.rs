//! Workers that broke their connections just after starts.

use quincewheel_wire::Notice;

use crate::crashed::Crashed;
use crate::runner::Runner;
use crate::session::Session;

/// For so long a crash of the worker is told to new owners, in milliseconds: an owner is
/// missed and replaced within some 2 s, and while there is none nothing starts.
const CRASHED: u64 = 10_000;

impl Runner {
    /// The worker broke the connection of a call, or takes none. Told again only where starts
    /// have come since that may be why: a connection may be reset, and the worker crash a moment
    /// later, by what it was told to start in between. True the first time, if it closed an open one.
    pub(crate) fn broke(&mut self, id: u64, closed: bool, now: u64) -> bool {
        let fresh = self.settings.crash_window;
        // The answer to a call of a former incarnation says nothing of this one.
        let made = |session: &&mut Session| session.made(id);
        let Some(session) = self.session.as_mut().filter(made) else { return false };
        let mut starts = session.suspects(closed, fresh, now);
        let first = session.broke.is_none();
        let known = session.broke.take().unwrap_or_default();
        starts.retain(|start| !known.contains(start));
        let more = !starts.is_empty();
        session.broke = Some([known, starts].concat());
        if first || more {
            self.tell_broke();
        }
        first && closed
    }

    pub(crate) fn tell_broke(&mut self) {
        let Some(session) = &self.session else { return };
        if let Some(starts) = session.broke.clone() {
            let worker = session.worker.incarnation();
            self.tell(Notice::Broke { worker, starts });
        }
    }

    /// Tells a new owner of incarnations that were crashed of late: the one before it may have had
    /// no connection then, or no time to record it. Told twice, a crash counts once.
    pub(crate) fn tell_crashed(&mut self, now: u64) {
        self.crashed.retain(|crashed| now <= crashed.at + CRASHED);
        for Crashed { worker, starts, .. } in self.crashed.clone() {
            self.tell(Notice::Broke { worker, starts });
        }
    }
}
