//! Replies to polls of the worker.

use quincewheel_wire::Refused;

use crate::call::{Fault, Reply};
use crate::runner::Runner;
use crate::stop_report::StopReport;

impl Runner {
    /// Handles the reply to the poll with call id `id`, which was sent under `epoch`.
    pub(crate) fn on_poll_reply(
        &mut self,
        id: u64,
        epoch: u64,
        reply: Result<Reply, Fault>,
        now: u64,
    ) {
        let Some(session) = &mut self.session else { return };
        session.poll = None;
        match reply {
            Ok(Reply::Held { born, running, .. }) if born != session.worker.born => {
                self.on_other_incarnation(born, &running, now)
            }
            Ok(Reply::Held { clock, running, ended, truncated, .. }) => {
                session.no_failed_calls = true;
                session.fenced = session.fenced.max(epoch);
                session.acknowledged = session.acknowledged.max(session.sent_acknowledgement);
                session.listed_at = Some(now);
                session.running = running;
                session.ended = ended;
                session.truncated = truncated;
                let recorded = session.recorded;
                session.ended.retain(|end| end.number > recorded);
                session.next_poll =
                    if session.ended.is_empty() { now } else { now + self.settings.retry_delay };
                session.last_seen = now;
                session.verified = true;
                session.broken = None;
                let running = session.running.clone();
                let reports = std::mem::take(&mut session.stop_reports);
                let (due, held_back) = reports
                    .into_iter()
                    .partition(|stop| stop.min_poll <= id && !session.may_list(stop));
                session.stop_reports = held_back;
                if let Some(stale) = self.candidate.take() {
                    self.mark_ended(stale.worker.incarnation());
                }
                self.lease.set_worker_clock(clock, now);
                self.send_status(now);
                self.weigh_starts((&running, true), clock, now);
                let due: Vec<StopReport> = due;
                for stop in due {
                    self.notify_owner(stop.notice);
                }
            }
            Ok(Reply::Refused(Refused::Leaving)) => self.switch_session(now),
            Err(Fault::Unsent { .. }) if self.candidate.is_some() => self.switch_session(now),
            reply => {
                session.no_failed_calls = false;
                session.changed = true;
                session.next_poll = now + self.settings.retry_delay;
                if matches!(reply, Err(Fault::Unsent { .. })) {
                    self.mark_unreachable(now);
                }
            }
        }
    }
}
