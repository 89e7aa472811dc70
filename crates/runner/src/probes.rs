//! Probes: calls that list the worker's runs soon after a start, to see whether it survived.
//!
//! The reply to a poll is held back while the worker's runs go on, so it shows too late which
//! starts a worker had survived before it crashed.

use quincewheel_job::Run;
use quincewheel_wire::Notice;

use crate::call::{Action, Fault, Reply};
use crate::runner::{Output, Runner};

/// Delay before another probe if one showed too little, in milliseconds.
const REPEAT_DELAY_MS: u64 = 20;

impl Runner {
    /// Sends the probe that is due, if none is in flight.
    pub(crate) fn send_due_probe(&mut self, now: u64) {
        let Some(session) = &mut self.session else { return };
        if session.next_probe().is_none_or(|at| now < at) {
            return;
        }
        let call = session.call(self.epoch, Action::List, self.settings.call_timeout);
        let id = self.next_call;
        self.next_call += 1;
        session.probe = Some(id);
        self.outputs.push(Output::Call { id, call });
    }

    /// Handles the reply to a probe.
    pub(crate) fn on_probe_reply(&mut self, reply: Result<Reply, Fault>, now: u64) {
        let delay = self.settings.retry_delay;
        let Some(session) = &mut self.session else { return };
        session.probe = None;
        match reply {
            Ok(Reply::Held { born, clock, running, .. }) if born == session.worker.born => {
                session.probe_not_before = now + REPEAT_DELAY_MS;
                self.weigh_starts((&running, false), clock, now);
            }
            _ => session.probe_not_before = now + delay,
        }
    }

    /// Weighs what a list of the worker's runs shows about recent starts, and reports suspects that
    /// have survived theirs. `polled` says that the list is the reply to a poll.
    pub(crate) fn weigh_starts(&mut self, (running, polled): (&[Run], bool), clock: u64, now: u64) {
        let Some(session) = &mut self.session else { return };
        for (task, run) in session.weigh_starts((running, polled), clock, now) {
            self.notify_owner(Notice::Survived { task, run });
        }
    }
}
