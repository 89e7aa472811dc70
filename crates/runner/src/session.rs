use std::collections::BTreeMap;

use quincewheel_job::{End, Run, Task, Worker};
use quincewheel_wire::Refused;

use crate::call::{Action, Call, Fault, Reply};
use crate::crash::Causes;
use crate::pending::Pending;
use crate::recent_start::{Evidence, RecentStart};
use crate::stop_report::StopReport;

/// How long a sign of life shows that an idle worker is up, in milliseconds. It is not polled, so it
/// may end unnoticed between two heartbeats; the end of another breaks the poll in flight.
const SIGN_VALIDITY_MS: u64 = 50;

/// The state of one incarnation of the worker, as far as the agent knows it.
pub(crate) struct Session {
    pub worker: Worker,
    pub address: String,
    /// The highest epoch under which the worker replied to a poll; 0 for none. It is reset when
    /// the worker accepts no connections.
    pub fenced: u64,
    /// When the worker last replied to a poll, and so listed its runs and ends.
    pub listed_at: Option<u64>,
    pub running: Vec<Run>,
    pub ended: Vec<End>,
    /// The last list was truncated, so that further runs may have ended.
    pub truncated: bool,
    /// The owner has recorded all ends up to this number.
    pub recorded: u64,
    /// The worker has received the acknowledgement of all ends up to this number.
    pub acknowledged: u64,
    /// The acknowledgement that the most recent poll carried.
    pub sent_acknowledgement: u64,
    /// The call id and the epoch of the poll in flight.
    pub poll: Option<(u64, u64)>,
    /// No poll is sent before this time.
    pub next_poll: u64,
    /// When the worker last carried out a call and replied, or had no call to reply to. The lease
    /// ends no later than a full lease after this, so that a worker whose replies are lost, but
    /// which receives each renewal, does not run on without the agent's knowledge.
    pub last_reply: u64,
    /// The incarnation has replied to a poll.
    pub verified: bool,
    /// No call has failed since the last poll that this incarnation replied to.
    pub no_failed_calls: bool,
    /// Sequence number of the newest heartbeat.
    pub heartbeat: u64,
    /// When the worker last sent a heartbeat or replied to a poll.
    pub last_seen: u64,
    /// When the worker last sent a heartbeat or carried out a call and replied.
    pub last_sign: u64,
    /// The worker's state has changed, or may have, since the last poll was sent.
    pub changed: bool,
    /// Confirmed stops that have not been reported. Only the reply to a later poll shows that the
    /// run has ended.
    pub stop_reports: Vec<StopReport>,
    /// Unconfirmed orders by the id of their latest call.
    pub orders: BTreeMap<u64, Pending>,
    /// Starts that may still crash the worker.
    pub recent_starts: Vec<RecentStart>,
    /// The call id of the probe in flight.
    pub probe: Option<u64>,
    /// No probe is sent before this time.
    pub probe_not_before: u64,
    /// The starts that may be why the worker broke its connections; none if it has replied to a
    /// poll since, or has not broken any.
    pub broken: Option<Causes>,
    /// The id of the first call sent after the worker last showed a sign that it had ended: it broke
    /// its connections or refused a call as leaving, or another incarnation sent a heartbeat. None
    /// once it has replied to such a call; a reply to an earlier one may be older than the sign.
    pub presumed_gone_since: Option<u64>,
}

impl Session {
    pub fn new(worker: &Worker, address: &str, now: u64) -> Session {
        Session {
            worker: worker.clone(),
            address: address.to_owned(),
            fenced: 0,
            listed_at: None,
            running: Vec::new(),
            ended: Vec::new(),
            truncated: false,
            recorded: 0,
            acknowledged: 0,
            sent_acknowledgement: 0,
            poll: None,
            next_poll: 0,
            last_reply: now,
            verified: false,
            no_failed_calls: false,
            heartbeat: 0,
            last_seen: now,
            last_sign: now,
            changed: false,
            stop_reports: Vec::new(),
            orders: BTreeMap::new(),
            recent_starts: Vec::new(),
            probe: None,
            probe_not_before: 0,
            broken: None,
            presumed_gone_since: None,
        }
    }

    /// True if the heartbeat is from this incarnation.
    pub fn is(&self, worker: &Worker) -> bool {
        self.worker.is_incarnation(&worker.incarnation())
    }

    /// True if the run of a confirmed stop goes on, or the worker may yet list how it has ended: if it
    /// has ended as done, its task must not start again.
    pub fn may_list(&self, stop: &StopReport) -> bool {
        self.truncated || stop.still_runs(&self.running)
    }

    /// The number up to which the next poll acknowledges ends; 0 if it acknowledges none.
    ///
    /// A call names the worker by its id only, and a restarted worker numbers its ends from 1. If
    /// it received an acknowledgement that is meant for its former incarnation, it would forget
    /// ends that nobody has recorded, and their tasks would run again.
    pub fn next_acknowledgement(&self) -> u64 {
        if self.is_same_process() && self.recorded > self.acknowledged { self.recorded } else { 0 }
    }

    /// True if whichever process replies now has no ends but those of its last reply.
    fn is_same_process(&self) -> bool {
        self.no_failed_calls && !self.has_start_in_flight()
    }

    /// True if a start was sent and has no reply yet.
    pub fn has_start_in_flight(&self) -> bool {
        self.orders.values().any(Pending::is_start_in_flight)
    }

    /// True if there are ends to acknowledge. The next poll then asks for an immediate reply.
    pub fn owes_acknowledgement(&self) -> bool {
        self.recorded > self.acknowledged && !self.has_start_in_flight()
    }

    /// True if a stop is confirmed of a run that the worker did not list last. The next poll then asks
    /// for an immediate reply: no end of that run would end the wait, and its task waits for the reply.
    pub fn owes_stop_report(&self) -> bool {
        self.stop_reports.iter().any(|stop| !self.may_list(stop))
    }

    /// Starts that were sent and got no reply.
    pub fn unanswered(&self) -> Vec<(Task, u64)> {
        let sent = |pending: &&Pending| {
            pending.may_take_effect || pending.replaces_start || pending.is_start_in_flight()
        };
        self.orders.values().filter(sent).map(Pending::run).collect()
    }

    /// Records that a start is sent with the call `id`.
    pub fn record_start(&mut self, id: u64, pending: &Pending, now: u64) {
        let (task, run) = pending.run();
        let again = pending.may_take_effect;
        if let Some(start) = self.recent_starts.iter_mut().find(|start| start.is(&task, run)) {
            return start.record_call(id, again);
        }
        let unseen = self.poll.is_none() && now > self.last_sign + SIGN_VALIDITY_MS;
        let may_be_gone = self.presumed_gone_since.is_some() || unseen;
        let mut start = RecentStart::new((task, run), pending.suspect, may_be_gone, now);
        start.record_call(id, again);
        self.recent_starts.push(start);
    }

    /// Records what the reply to the first call of a start shows about the start. Its order may
    /// have been dropped with the owner that gave it. Returns whether the report of a broken
    /// connection has to be corrected.
    pub fn settle_first_call(&mut self, id: u64, reply: &Result<Reply, Fault>, now: u64) -> bool {
        let mut starts = self.recent_starts.iter_mut();
        let Some(start) = starts.find(|start| start.awaits_first_call(id)) else { return false };
        match reply {
            Ok(Reply::Done { clock } | Reply::Held { clock, .. }) => {
                start.record_delivery();
                start.confirm(*clock, now);
            }
            // A run that is refused as old may have run.
            Ok(Reply::Refused(Refused::Old)) | Err(Fault::Unclear { .. }) => {
                start.record_delivery()
            }
            Ok(Reply::Refused(_)) | Err(Fault::Unsent { .. }) => {
                let run = (start.task.clone(), start.run);
                return self.forget_start(&run);
            }
        }
        false
    }

    /// Records that the worker carried out a call and replied.
    pub fn record_reply(&mut self, id: u64, now: u64) {
        self.last_reply = now;
        self.last_sign = now;
        self.presumed_gone_since.take_if(|first| id >= *first);
    }

    /// Records that the worker confirmed a start, as of `clock` on its clock.
    pub fn confirm_start(&mut self, (task, run): &(Task, u64), clock: u64, now: u64) {
        if let Some(start) = self.recent_starts.iter_mut().find(|start| start.is(task, *run)) {
            start.confirm(clock, now);
        }
    }

    /// Forgets a start that has not taken effect here and no longer can. Returns whether it was
    /// named as a cause of a broken connection, so that the report has to be corrected.
    pub fn forget_start(&mut self, run: &(Task, u64)) -> bool {
        self.recent_starts.retain(|start| !start.is(&run.0, run.1));
        self.broken.as_mut().is_some_and(|causes| causes.remove(run))
    }

    /// Forgets a start that the next incarnation of the worker lists. One that was sent again may
    /// have reached this incarnation as well, so it stays named. Returns whether the report of a
    /// broken connection has to be corrected.
    pub fn forget_start_at_next(&mut self, run: &(Task, u64)) -> bool {
        let mut starts = self.recent_starts.iter();
        if starts.any(|start| start.is(&run.0, run.1) && start.was_sent_once()) {
            return self.forget_start(run);
        }
        self.recent_starts.retain(|start| !start.is(&run.0, run.1));
        false
    }

    /// Weighs what a list of the worker's runs shows about recent starts; `polled` if it is the reply
    /// to a poll, which the owner sees. Returns the suspects that have survived their starts.
    pub fn weigh_starts(
        &mut self,
        (running, polled): (&[Run], bool),
        clock: u64,
        now: u64,
    ) -> Vec<(Task, u64)> {
        let pending: Vec<(Task, u64)> = self.orders.values().map(Pending::run).collect();
        let mut survived = Vec::new();
        self.recent_starts.retain_mut(|start| {
            let pending = pending.iter().any(|(task, run)| start.is(task, *run));
            let evidence = start.weigh(running, pending, clock, now);
            if evidence == Evidence::Survived {
                survived.push((start.task.clone(), start.run));
            }
            evidence == Evidence::Open || (start.is_settled() && !polled)
        });
        survived
    }

    /// Returns the starts that may be why the worker has broken its connections: it either closed
    /// an open one (`closed`) or accepted no new one. In the latter case it has not received starts
    /// whose first call is in flight.
    pub fn crash_causes(&self, closed: bool, now: u64) -> Causes {
        let received = |start: &&RecentStart| closed || start.may_be_delivered();
        let starts = self.recent_starts.iter().filter(|start| start.may_crash()).filter(received);
        let (likely, possible): (Vec<&RecentStart>, Vec<&RecentStart>) =
            starts.partition(|start| start.is_likely_cause(now));
        let runs = |starts: Vec<&RecentStart>| {
            starts.into_iter().map(|start| (start.task.clone(), start.run)).collect()
        };
        Causes { likely: runs(likely), possible: runs(possible) }
    }

    /// When the next probe is due; none if it would show nothing, or one is in flight.
    pub fn next_probe(&self) -> Option<u64> {
        if self.probe.is_some() || self.broken.is_some() {
            return None;
        }
        let due = self.recent_starts.iter().filter_map(RecentStart::next_probe).min()?;
        Some(due.max(self.probe_not_before))
    }

    /// True if the call is a poll or probe of this incarnation or an order to it, and has no reply
    /// yet.
    pub fn awaits_reply(&self, id: u64) -> bool {
        self.poll.is_some_and(|poll| poll.0 == id)
            || self.probe == Some(id)
            || self.orders.contains_key(&id)
    }

    /// True if the failure of the call shows that this incarnation broke its connections: it awaits
    /// a reply, or is the first call of a start that a former owner ordered.
    pub fn shows_break(&self, id: u64) -> bool {
        self.awaits_reply(id) || self.recent_starts.iter().any(|start| start.awaits_first_call(id))
    }

    /// True if the worker has to be polled: it is not fenced under this epoch, has runs, has ends
    /// that are not acknowledged or not listed, or may have changed since the last poll.
    pub fn needs_poll(&self, epoch: u64) -> bool {
        epoch > 0
            && (self.fenced < epoch
                || !self.running.is_empty()
                || !self.ended.is_empty()
                || self.truncated
                || self.acknowledged < self.recorded
                || self.changed
                || !self.stop_reports.is_empty()
                || self.orders.values().any(|pending| pending.attempts > 0))
    }

    /// True if a call to the worker has no reply yet, or one is due. The state that makes a poll
    /// necessary is reset when the poll is sent, so the poll in flight counts by itself.
    pub fn owes_reply(&self, epoch: u64) -> bool {
        self.poll.is_some() || !self.orders.is_empty() || self.needs_poll(epoch)
    }

    /// Builds a call to this incarnation; `timeout` is in milliseconds.
    pub fn call(&self, fencing_token: u64, action: Action, timeout: u64) -> Call {
        Call {
            address: self.address.clone(),
            worker: self.worker.id.clone(),
            fencing_token,
            action,
            timeout,
        }
    }
}
