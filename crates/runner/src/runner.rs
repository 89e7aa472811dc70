use std::collections::VecDeque;

use quincewheel_job::{Evacuation, Incarnation, Worker};
use quincewheel_wire::{LinkId, Notice, Order, Refused};

use crate::call::{Action, Call, Fault, Reply};
use crate::candidate::Candidate;
use crate::crash::Crash;
use crate::lease::Lease;
use crate::pending::Pending;
use crate::session::Session;
use crate::settings::Settings;
use crate::unanswered::Unanswered;

/// An effect that the agent has to carry out for the runner.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call the worker and pass the result to [`Runner::on_reply`].
    Call {
        /// Identifies the call.
        id: u64,
        /// The call.
        call: Call,
    },
    /// Send a notice to an owner.
    Send {
        /// The connection to that owner.
        link: LinkId,
        /// The notice.
        notice: Notice,
    },
    /// Close the connection of an owner that was replaced or is silent.
    Close {
        /// The connection.
        link: LinkId,
    },
}

/// Forwards orders of the owner to one worker, and reports the worker's state to the owner.
///
/// All times are in milliseconds on the agent's clock.
pub struct Runner {
    pub(crate) settings: Settings,
    pub(crate) epoch: u64,
    /// The connection to the owner.
    pub(crate) link: Option<LinkId>,
    /// The current incarnation of the worker.
    pub(crate) session: Option<Session>,
    /// The incarnation that gave notice of its end, until another one sends a heartbeat.
    pub(crate) departed: Option<Incarnation>,
    /// Another incarnation that has sent a heartbeat. A poll of the known one shows whether it is
    /// current, or its heartbeat was delayed.
    pub(crate) candidate: Option<Candidate>,
    /// Incarnations of the worker that are known to have ended, the newest last.
    pub(crate) ended_incarnations: VecDeque<Incarnation>,
    /// Starts that got no reply.
    pub(crate) unanswered: Unanswered,
    /// Incarnations that broke their connections just after starts, and ended.
    pub(crate) crashes: Vec<Crash>,
    pub(crate) incarnation_count: u64,
    pub(crate) heartbeat_count: u64,
    pub(crate) lease: Lease,
    /// Availability zones in which nothing may start.
    pub(crate) evacuation: Evacuation,
    pub(crate) next_call: u64,
    pub(crate) last_ping: u64,
    /// When the owner last sent an order.
    pub(crate) last_order: u64,
    pub(crate) outputs: Vec<Output>,
}

impl Runner {
    /// Creates a runner without a worker and an owner.
    pub fn new(settings: Settings) -> Runner {
        Runner {
            settings,
            epoch: 0,
            link: None,
            session: None,
            departed: None,
            candidate: None,
            ended_incarnations: VecDeque::new(),
            unanswered: Unanswered::default(),
            crashes: Vec::new(),
            incarnation_count: 0,
            heartbeat_count: 0,
            lease: Lease::default(),
            evacuation: Evacuation::default(),
            next_call: 1,
            last_ping: 0,
            last_order: 0,
            outputs: Vec::new(),
        }
    }

    /// Applies changed settings.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Returns the effects to carry out, in order, and clears the list.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// The epoch of the owner that the agent follows; 0 before the first claim.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// True if there is a worker, but no connection to an owner.
    pub fn awaits_owner(&self) -> bool {
        self.session.is_some() && self.link.is_none()
    }

    /// The worker as of its newest heartbeat; none if it has ended or sent none yet.
    pub fn worker(&self) -> Option<&Worker> {
        self.session.as_ref().map(|session| &session.worker)
    }

    /// Number of incarnations of the worker that have been the current one.
    pub fn incarnation_count(&self) -> u64 {
        self.incarnation_count
    }

    /// Number of heartbeats, without those of ended incarnations.
    pub fn heartbeat_count(&self) -> u64 {
        self.heartbeat_count
    }

    /// Handles an order that arrived on a connection. All but claims are ignored unless the
    /// connection is the owner's.
    pub fn on_order(&mut self, link: LinkId, order: Order, now: u64) {
        if self.link == Some(link) {
            self.last_order = now;
        }
        if let Order::Claim { epoch } = order {
            self.on_claim(link, epoch, now);
        } else if self.link == Some(link) {
            self.on_owner_order(order, now);
        }
        self.send_due_calls(now);
    }

    /// Handles the end of a connection.
    pub fn on_disconnected(&mut self, link: LinkId) {
        if self.link == Some(link) {
            self.link = None;
        }
    }

    /// Handles the worker's reply to the call `id`, or the failure of the call.
    pub fn on_reply(&mut self, id: u64, reply: Result<Reply, Fault>, now: u64) {
        // A refusal is no sign of life: an unhealthy worker that refuses every poll would never
        // count as silent, and a new owner would wait for it forever.
        let proves = matches!(reply, Ok(Reply::Held { .. } | Reply::Done { .. }));
        if let Some(session) =
            self.session.as_mut().filter(|session| proves && session.awaits_reply(id))
        {
            session.record_reply(id, now);
        }
        let broke = match reply {
            Err(Fault::Unclear { closed: true, .. }) => self.on_connection_broken(id, true, now),
            Err(Fault::Unsent { .. }) => self.on_connection_broken(id, false, now),
            Ok(Reply::Refused(Refused::Leaving)) => {
                if let Some(session) = self.session.as_mut().filter(|s| s.awaits_reply(id)) {
                    session.presumed_gone_since = Some(self.next_call);
                }
                false
            }
            _ => false,
        };
        let corrected =
            self.session.as_mut().is_some_and(|session| session.settle_first_call(id, &reply, now));
        if corrected {
            self.send_broke();
        }
        let session = self.session.as_ref();
        let poll = session.and_then(|session| session.poll).filter(|poll| poll.0 == id);
        if let Some((_, epoch)) = poll {
            self.on_poll_reply(id, epoch, reply, now);
        } else if session.is_some_and(|session| session.probe == Some(id)) {
            self.on_probe_reply(reply, now);
        } else {
            self.on_order_reply(id, reply, now);
        }
        // The next poll shows whether the worker's process has ended. With the delay that follows
        // other failures, all its runs would start elsewhere 300 ms later.
        if let Some(session) = self.session.as_mut().filter(|_| broke) {
            session.next_poll = now;
        }
        self.send_due_calls(now);
    }

    /// Does what is due at `now`. [`Runner::next_tick`] says when to call it.
    pub fn tick(&mut self, now: u64) {
        self.drop_silent_owner(now);
        if now >= self.last_ping + self.settings.ping_interval
            && let Some(link) = self.link
        {
            self.last_ping = now;
            let silent =
                self.session.as_ref().map_or(0, |session| now.saturating_sub(session.last_reply));
            self.send(link, Notice::Ping { stamp: now, silent });
        }
        self.send_due_calls(now);
    }

    /// Closes the connection of an owner that has sent nothing for a whole lease. A network
    /// partition may leave a connection half open: the owner has closed its end and deleted this
    /// agent's row, and an agent that kept the connection would never announce itself.
    fn drop_silent_owner(&mut self, now: u64) {
        if let Some(link) = self.link
            && now >= self.last_order + self.settings.lease
        {
            self.link = None;
            self.outputs.push(Output::Close { link });
        }
    }

    /// When [`Runner::tick`] is due at the latest.
    ///
    /// No ping is due without a connection; otherwise the agent would wake up 200 times a second
    /// while no owner is connected.
    pub fn next_tick(&self, now: u64) -> u64 {
        let mut next = now + self.settings.ping_interval;
        if self.link.is_some() {
            next = next.min(self.last_ping + self.settings.ping_interval);
        }
        if let Some(session) = &self.session {
            let retries = session.orders.values().filter_map(|pending| pending.retry_at);
            next = retries.chain(session.next_probe()).fold(next, u64::min);
            if session.poll.is_none() && session.needs_poll(self.epoch) {
                next = next.min(session.next_poll);
            }
        }
        next
    }

    /// Follows the owner that claims `epoch`, unless it is lower than the known one, and reports
    /// the worker's state to it.
    fn on_claim(&mut self, link: LinkId, epoch: u64, now: u64) {
        if epoch < self.epoch {
            let epoch = self.epoch;
            self.send(link, Notice::Superseded { epoch });
            self.outputs.push(Output::Close { link });
            return;
        }
        if let Some(former) = self.link.replace(link)
            && former != link
        {
            if epoch > self.epoch {
                self.send(former, Notice::Superseded { epoch });
            }
            self.outputs.push(Output::Close { link: former });
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.evacuation = Evacuation::default();
            if let Some(session) = &mut self.session {
                // The poll in flight carries the former epoch, so its reply would not prove that
                // the worker is fenced.
                session.poll = None;
                session.probe = None;
                session.next_poll = now;
                session.orders.clear();
            }
        }
        self.last_ping = now;
        self.last_order = now;
        if let Some(worker) = self.departed.clone() {
            self.notify_owner(Notice::Left { worker });
        }
        self.send_status(now);
        self.send_crashes(now);
        self.send_broke();
    }

    /// Handles an order of the current owner other than a claim.
    fn on_owner_order(&mut self, order: Order, now: u64) {
        match order {
            Order::Claim { .. } => {}
            Order::Grant { stamp } => self.lease.grant(stamp + self.settings.lease),
            Order::Evacuate { zones } => self.evacuation = zones,
            Order::Start { worker, task, run, spec, saved, ticket, again, suspect } => {
                let action = Action::Start { task, run, spec, saved, ticket, lease_end: 0 };
                self.on_start(&worker, action, (again, suspect), now);
            }
            Order::Pace { worker, task, run, percent } => self.on_pace(&worker, task, run, percent),
            Order::Stop { worker, task, run } => self.on_stop(&worker, task, run),
            Order::Seen { worker, number } => {
                if let Some(session) =
                    self.session.as_mut().filter(|session| session.worker.is_incarnation(&worker))
                {
                    session.recorded = session.recorded.max(number);
                    session.ended.retain(|end| end.number > number);
                    session.next_poll = now;
                }
            }
        }
    }

    /// Sends the orders and the poll that are due.
    pub(crate) fn send_due_calls(&mut self, now: u64) {
        let Some(session) = &mut self.session else { return };
        let quiet = now >= session.last_seen + self.settings.heartbeat_timeout;
        session.changed |= quiet && session.poll.is_none();
        if !session.owes_reply(self.epoch) {
            session.last_reply = now;
        }
        let lease_end = self.lease.end_on_worker_clock(session.last_reply + self.settings.lease);
        let settings = &self.settings;
        let due = |pending: &Pending| pending.retry_at.is_some_and(|at| at <= now);
        let ids: Vec<u64> =
            session.orders.iter().filter(|(_, pending)| due(pending)).map(|(&id, _)| id).collect();
        for id in ids {
            // Each attempt has a call id of its own, so that a late reply to an earlier one is not
            // taken for the reply to this one.
            let Some(mut pending) = session.orders.remove(&id) else { continue };
            // An agent that was suspended may have a new lease. The owner takes the start for over
            // since the former one ended, and its task may run elsewhere.
            if pending.is_start() && now >= pending.lease_end {
                pending.replace_with_stop(now);
            }
            pending.retry_at = None;
            if let (Action::Start { lease_end: end, .. }, Some(renewed)) =
                (&mut pending.action, lease_end)
            {
                *end = renewed;
            }
            let call = session.call(self.epoch, pending.action.clone(), settings.call_timeout);
            let id = self.next_call;
            self.next_call += 1;
            if pending.is_start() {
                session.record_start(id, &pending, now);
            }
            session.orders.insert(id, pending);
            self.outputs.push(Output::Call { id, call });
        }
        if session.poll.is_none() && session.needs_poll(self.epoch) && now >= session.next_poll {
            let settled = session.fenced == self.epoch && session.ended.is_empty();
            let idle = session.running.is_empty() && session.orders.is_empty();
            let acknowledged = session.next_acknowledgement();
            let answers_at_once = session.owes_acknowledgement() || session.owes_stop_report();
            let waits = settled && !idle && !answers_at_once;
            let wait = if waits { settings.poll_wait } else { 0 };
            let action = Action::Hold { acknowledged, lease_end, wait };
            let call = session.call(self.epoch, action, wait + settings.call_timeout);
            let id = self.next_call;
            self.next_call += 1;
            session.poll = Some((id, self.epoch));
            session.sent_acknowledgement = acknowledged;
            session.changed = false;
            self.outputs.push(Output::Call { id, call });
        }
        self.send_due_probe(now);
    }

    /// Reports the state of the worker to the owner.
    pub(crate) fn send_status(&mut self, now: u64) {
        let notice = match &self.session {
            None => Notice::Status {
                stamp: now,
                worker: None,
                fenced: false,
                listed_at: None,
                running: Vec::new(),
                ended: Vec::new(),
                truncated: false,
            },
            Some(session) => Notice::Status {
                stamp: now,
                worker: Some(session.worker.clone()),
                // After a broken connection the worker is not fenced until it replies to a poll.
                fenced: session.fenced == self.epoch && session.broken.is_none(),
                listed_at: session.listed_at,
                running: session.running.clone(),
                ended: session.ended.clone(),
                truncated: session.truncated,
            },
        };
        self.notify_owner(notice);
    }

    /// Sends a notice to the owner; dropped if none is connected.
    pub(crate) fn notify_owner(&mut self, notice: Notice) {
        if let Some(link) = self.link {
            self.send(link, notice);
        }
    }

    fn send(&mut self, link: LinkId, notice: Notice) {
        self.outputs.push(Output::Send { link, notice });
    }
}
