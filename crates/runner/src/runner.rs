use std::collections::VecDeque;

use quincewheel_job::{Evacuation, Incarnation, Worker};
use quincewheel_wire::{LinkId, Notice, Order};

use crate::call::{Action, Call, Fault, Reply};
use crate::crashed::Crashed;
use crate::lease::Lease;
use crate::pending::Pending;
use crate::rival::Rival;
use crate::session::Session;
use crate::settings::Settings;
use crate::unanswered::Unanswered;

/// What the runner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call the worker and hand the answer to [`Runner::on_reply`].
    Call {
        /// Names the call.
        id: u64,
        /// The call.
        call: Call,
    },
    /// Tell the owner.
    Send {
        /// On which connection.
        link: LinkId,
        /// What.
        notice: Notice,
    },
    /// Close a connection of an owner that was replaced.
    Close {
        /// The connection.
        link: LinkId,
    },
}

/// Carries orders to one worker and its ends back.
pub struct Runner {
    pub(crate) settings: Settings,
    pub(crate) epoch: u64,
    pub(crate) link: Option<LinkId>,
    pub(crate) session: Option<Session>,
    /// The incarnation that said it ends, until another one reports.
    pub(crate) left: Option<Incarnation>,
    /// Another incarnation that has reported; whether it is there or its report was held up
    /// is known after a look at the one that was.
    pub(crate) rival: Option<Rival>,
    /// Incarnations of the worker that are known to be over, the newest last.
    pub(crate) past: VecDeque<Incarnation>,
    /// Starts that got no answer.
    pub(crate) unanswered: Unanswered,
    /// Those of them that broke their connections just after a start.
    pub(crate) crashed: Vec<Crashed>,
    /// Lives of the worker that have reported.
    pub(crate) incarnations: u64,
    /// Reports of the worker that were taken.
    pub(crate) reports: u64,
    pub(crate) lease: Lease,
    /// Availability zones in which nothing starts any more.
    pub(crate) evacuation: Evacuation,
    pub(crate) next_call: u64,
    pub(crate) pinged: u64,
    /// When an owner last said anything.
    pub(crate) spoken: u64,
    pub(crate) outputs: Vec<Output>,
}

impl Runner {
    /// A runner that knows no worker and no owner.
    pub fn open(settings: Settings) -> Runner {
        Runner {
            settings,
            epoch: 0,
            link: None,
            session: None,
            left: None,
            rival: None,
            past: VecDeque::new(),
            unanswered: Unanswered::default(),
            crashed: Vec::new(),
            incarnations: 0,
            reports: 0,
            lease: Lease::default(),
            evacuation: Evacuation::default(),
            next_call: 1,
            pinged: 0,
            spoken: 0,
            outputs: Vec::new(),
        }
    }

    /// The bounds changed.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes what is to be done.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// The epoch that the agent follows; 0 before the first claim.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// True if there is a worker and no owner speaks for it.
    pub fn awaits_owner(&self) -> bool {
        self.session.is_some() && self.link.is_none()
    }

    /// The worker as it reported itself, if it is there.
    pub fn worker(&self) -> Option<&Worker> {
        self.session.as_ref().map(|session| &session.worker)
    }

    /// How many incarnations of the worker have reported.
    pub fn incarnation_count(&self) -> u64 {
        self.incarnations
    }

    /// How many reports of the worker were taken.
    pub fn heartbeat_count(&self) -> u64 {
        self.reports
    }

    /// An order came.
    pub fn on_order(&mut self, link: LinkId, order: Order, now: u64) {
        if self.link == Some(link) {
            self.spoken = now;
        }
        if let Order::Claim { epoch } = order {
            self.claim(link, epoch, now);
        } else if self.link == Some(link) {
            self.obey(order, now);
        }
        self.step(now);
    }

    /// A connection is gone.
    pub fn on_disconnect(&mut self, link: LinkId) {
        if self.link == Some(link) {
            self.link = None;
        }
    }

    /// The worker answered a call, or did not.
    pub fn on_reply(&mut self, id: u64, answer: Result<Reply, Fault>, now: u64) {
        // A refusal is no such answer: an unhealthy worker that refused every look
        // kept its silence at nothing, and a new owner waited for it without end.
        let proves = matches!(answer, Ok(Reply::Held { .. } | Reply::Done { .. }));
        if let Some(session) = self.session.as_mut().filter(|session| proves && session.made(id)) {
            session.answered = now;
        }
        let broke = match answer {
            Err(Fault::Unclear { closed: true, .. }) => self.broke(id, true, now),
            Err(Fault::Unsent { .. }) => self.broke(id, false, now),
            _ => false,
        };
        let held =
            self.session.as_ref().and_then(|session| session.hold).filter(|hold| hold.0 == id);
        if let Some((_, epoch)) = held {
            self.held(id, epoch, answer, now);
        } else {
            self.ordered(id, answer, now);
        }
        // Whether its process is gone, the next look tells: after the pause that follows other
        // failures all that ran there would start elsewhere 300 ms later.
        if let Some(session) = self.session.as_mut().filter(|_| broke) {
            session.rest = now;
        }
        self.step(now);
    }

    /// Time passed.
    pub fn tick(&mut self, now: u64) {
        self.leave_silent(now);
        if now >= self.pinged + self.settings.ping_interval
            && let Some(link) = self.link
        {
            self.pinged = now;
            let silent =
                self.session.as_ref().map_or(0, |session| now.saturating_sub(session.answered));
            self.send(link, Notice::Ping { stamp: now, silent });
        }
        self.step(now);
    }

    /// Leaves an owner that has said nothing for a whole lease. A cut may leave a
    /// connection open that carries nothing; the owner has closed its end and dropped
    /// this agent's row, and an agent that believes in it would never announce itself.
    fn leave_silent(&mut self, now: u64) {
        if let Some(link) = self.link
            && now >= self.spoken + self.settings.lease
        {
            self.link = None;
            self.outputs.push(Output::Close { link });
        }
    }

    /// When [`Runner::tick`] is due at the latest.
    ///
    /// Without a connection no ping is due: the agent would wake up 200 times a
    /// second for as long as no owner speaks to it.
    pub fn next_tick(&self, now: u64) -> u64 {
        let mut wake = now + self.settings.ping_interval;
        if self.link.is_some() {
            wake = wake.min(self.pinged + self.settings.ping_interval);
        }
        if let Some(session) = &self.session {
            let again = session.orders.values().filter_map(|pending| pending.again);
            wake = again.fold(wake, u64::min);
            if session.hold.is_none() && session.busy(self.epoch) {
                wake = wake.min(session.rest);
            }
        }
        wake
    }

    fn claim(&mut self, link: LinkId, epoch: u64, now: u64) {
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
                // The look under way carries the former epoch; its answer
                // would not prove that the worker is fenced.
                session.hold = None;
                session.rest = now;
                session.orders.clear();
            }
        }
        self.pinged = now;
        self.spoken = now;
        if let Some(worker) = self.left.clone() {
            self.tell(Notice::Left { worker });
        }
        self.tell_status(now);
        self.tell_crashed(now);
        self.tell_broke();
    }

    fn obey(&mut self, order: Order, now: u64) {
        match order {
            Order::Claim { .. } => {}
            Order::Grant { stamp } => self.lease.grant(stamp + self.settings.lease),
            Order::Evacuate { zones } => self.evacuation = zones,
            Order::Start { worker, task, run, spec, saved, ticket, again } => {
                let action = Action::Start { task, run, spec, saved, ticket, lease_end: 0 };
                self.start(&worker, action, again, now);
            }
            Order::Pace { worker, task, run, percent } => self.pace(&worker, task, run, percent),
            Order::Stop { worker, task, run } => self.stop(&worker, task, run),
            Order::Seen { worker, number } => {
                if let Some(session) =
                    self.session.as_mut().filter(|session| session.worker.is_incarnation(&worker))
                {
                    session.seen = session.seen.max(number);
                    session.ended.retain(|end| end.number > number);
                    session.rest = now;
                }
            }
        }
    }

    /// Makes the calls that are due.
    pub(crate) fn step(&mut self, now: u64) {
        let Some(session) = &mut self.session else { return };
        let quiet = now >= session.reported + self.settings.heartbeat_timeout;
        session.changed |= quiet && session.hold.is_none();
        if !session.busy(self.epoch) && session.orders.is_empty() {
            session.answered = now;
        }
        let until = self.lease.end_on_worker_clock(session.answered + self.settings.lease);
        let settings = &self.settings;
        let due = |pending: &Pending| pending.again.is_some_and(|at| at <= now);
        let ids: Vec<u64> =
            session.orders.iter().filter(|(_, pending)| due(pending)).map(|(&id, _)| id).collect();
        for id in ids {
            // Each try is a call of its own name, so that the answer to an
            // earlier one that comes late is not taken for this one's.
            let Some(mut pending) = session.orders.remove(&id) else { continue };
            pending.again = None;
            if let (Action::Start { lease_end: lease, .. }, Some(renewed)) =
                (&mut pending.action, until)
            {
                *lease = renewed;
            }
            let call = session.call(self.epoch, pending.action.clone(), settings.call_timeout);
            let id = self.next_call;
            self.next_call += 1;
            session.orders.insert(id, pending);
            self.outputs.push(Output::Call { id, call });
        }
        if session.hold.is_none() && session.busy(self.epoch) && now >= session.rest {
            let fresh = session.fenced == self.epoch && session.ended.is_empty();
            let idle = session.running.is_empty() && session.orders.is_empty();
            let acknowledged = session.acknowledged();
            let waits = fresh && !idle && !session.owes_acknowledgement();
            let wait = if waits { settings.poll_wait } else { 0 };
            let action = Action::Hold { acknowledged, lease_end: until, wait };
            let call = session.call(self.epoch, action, wait + settings.call_timeout);
            let id = self.next_call;
            self.next_call += 1;
            session.hold = Some((id, self.epoch));
            session.asked = acknowledged;
            session.changed = false;
            self.outputs.push(Output::Call { id, call });
        }
    }

    pub(crate) fn tell_status(&mut self, now: u64) {
        let notice = match &self.session {
            None => Notice::Status {
                stamp: now,
                worker: None,
                fenced: false,
                running: Vec::new(),
                ended: Vec::new(),
            },
            Some(session) => Notice::Status {
                stamp: now,
                worker: Some(session.worker.clone()),
                // One that broke its connections answers nothing until it is looked at again.
                fenced: session.fenced == self.epoch && session.broke.is_none(),
                running: session.running.clone(),
                ended: session.ended.clone(),
            },
        };
        self.tell(notice);
    }

    pub(crate) fn tell(&mut self, notice: Notice) {
        if let Some(link) = self.link {
            self.send(link, notice);
        }
    }

    fn send(&mut self, link: LinkId, notice: Notice) {
        self.outputs.push(Output::Send { link, notice });
    }
}
