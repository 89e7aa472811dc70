use std::time::Duration;

use quincewheel_wire::{Ask, Frame, LinkId, Refusal};
use subtle::ConstantTimeEq;

use crate::config::{Config, Item};
use crate::context::{Call, Context, Waiter};
use crate::follower::Follower;
use crate::input::Input;
use crate::output::Output;
use crate::owner::{After, Owner};
use crate::settings::Settings;

/// One entry's part in its shard.
pub struct Node {
    cx: Context,
    role: Role,
    draining: bool,
    /// When this node last ran.
    seen: Duration,
}

enum Role {
    Follower(Box<Follower>),
    Owner(Box<Owner>),
}

/// How long a call waits that does not name a deadline.
const CALL: Duration = Duration::from_secs(10);

impl Node {
    /// A node that will look for its shard's owner.
    pub fn new(settings: Settings) -> Node {
        let cx = Context::new(settings);
        let role = Role::Follower(Box::new(Follower::new(Duration::ZERO)));
        Node { cx, role, draining: false, seen: Duration::ZERO }
    }

    /// Takes one input. Decisions wait for [`Node::flush`], so that many inputs
    /// at once cost one decision and one transaction.
    pub fn handle(&mut self, now: Duration, input: Input) {
        self.wake(now);
        match input {
            Input::Call { call, key_digest, ask } => self.call(call, &key_digest, ask),
            Input::Hangup { call } => self.hangup(call),
            Input::Drain => self.drain(),
            Input::Linked { link, hello, dialled } => match &mut self.role {
                Role::Follower(follower) => follower.linked(&mut self.cx, link, &hello, &dialled),
                Role::Owner(owner) => owner.linked(&mut self.cx, link, &hello),
            },
            Input::Unlinked { link } => match &mut self.role {
                Role::Follower(follower) => follower.unlinked(&mut self.cx, link),
                Role::Owner(owner) => owner.unlinked(&mut self.cx, link),
            },
            Input::Undialled { address } => {
                if let Role::Follower(follower) = &mut self.role {
                    follower.undialled(&address);
                }
            }
            Input::Frame { link, frame } => self.frame(link, frame),
            Input::Store { id, result } => match &mut self.role {
                Role::Follower(follower) => {
                    if let Some(owner) = follower.on_store(&mut self.cx, id, &result) {
                        self.promote(owner);
                    }
                }
                Role::Owner(owner) => {
                    let after = owner.on_store(&mut self.cx, id, &result);
                    self.after(after);
                }
            },
        }
    }

    /// Does what time has made due. Called several times a second.
    pub fn tick(&mut self, now: Duration) {
        self.wake(now);
        match &mut self.role {
            Role::Follower(follower) => follower.tick(&mut self.cx, self.draining),
            Role::Owner(owner) => owner.tick(&mut self.cx),
        }
        self.expire();
    }

    /// Decides, writes and hands over what is to be done.
    pub fn flush(&mut self, now: Duration) -> Vec<Output> {
        self.wake(now);
        if let Role::Owner(owner) = &mut self.role {
            owner.flush(&mut self.cx);
        }
        std::mem::take(&mut self.cx.out)
    }

    /// True if this node owns its shard and has read its rows.
    pub fn is_owner(&self) -> bool {
        matches!(&self.role, Role::Owner(owner) if owner.active())
    }

    /// True if calls can be taken up: the owner is known and reachable.
    pub fn is_ready(&self) -> bool {
        match &self.role {
            Role::Owner(owner) => owner.active() && !self.draining,
            Role::Follower(follower) => follower.attached() && !self.draining,
        }
    }

    /// Calls that are not answered yet.
    pub fn pending_calls(&self) -> usize {
        self.cx.calls.len()
    }

    /// True if the call is not answered yet.
    pub fn is_pending(&self, call: u64) -> bool {
        self.cx.calls.contains_key(&call)
    }

    /// True if the table does not answer this node, as far as it knows.
    pub fn is_store_down(&self) -> bool {
        match &self.role {
            Role::Owner(owner) => owner.store_down(&self.cx),
            Role::Follower(follower) => follower.store_failing(),
        }
    }

    /// The configuration in force here.
    pub fn config(&self) -> &Config {
        &self.cx.config
    }

    /// Notes the time. A follower that did not run for a while may hold answers
    /// that were true when they were sent: it drops the connection that they
    /// came on and asks again.
    fn wake(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.seen);
        self.cx.now = now;
        self.seen = now;
        if gap >= self.cx.settings.connection_timeout
            && let Role::Follower(follower) = &mut self.role
        {
            follower.detach(&mut self.cx, "this process was frozen");
        }
    }

    fn call(&mut self, call: u64, key_digest: &str, ask: Ask) {
        let waiter = Waiter::Local(call);
        let now = self.cx.now;
        let until = now
            + match &ask {
                Ask::Submit(job) => job.deadline,
                Ask::Wait { deadline, .. } => *deadline,
                _ => CALL,
            };
        if let Ask::Submit(job) = &ask {
            self.cx.event(quincewheel_audit::Kind::Submitted {
                call,
                team: job.team.clone(),
                request: job.request.clone(),
            });
        }
        let pending = Call { ask: ask.clone(), until, arrived: now, sent: None };
        self.cx.calls.insert(call, pending);
        if let Err(refusal) = self.authorize(key_digest, &ask) {
            self.cx.refuse(&waiter, refusal);
            return;
        }
        match &mut self.role {
            Role::Owner(owner) => owner.ask(&mut self.cx, waiter, ask),
            Role::Follower(follower) => follower.ask(&mut self.cx, call),
        }
    }

    /// Checks that the key belongs to the team, or to operators. Compared in
    /// constant time: how long a refusal takes must not tell how much of a
    /// digest was right.
    fn authorize(&self, key_digest: &str, ask: &Ask) -> Result<(), Refusal> {
        let same = |digest: &str| bool::from(digest.as_bytes().ct_eq(key_digest.as_bytes()));
        let operator = same(&self.cx.settings.operator_key_digest);
        let Some(team) = ask.team() else {
            let message = "this call needs the operators' key as bearer token".to_owned();
            return if operator { Ok(()) } else { Err(Refusal::Denied { message }) };
        };
        if self.cx.config.version() == 0 {
            let message = "no configuration seen yet; ask again soon".to_owned();
            return Err(Refusal::Unavailable { message, retry_after: Duration::from_secs(1) });
        }
        let Some(row) = self.cx.config.team(team) else {
            let message = format!("there is no team {team:?}; ask an operator to create it");
            return Err(Refusal::NotFound { field: "team".to_owned(), message });
        };
        if same(&row.key_digest) {
            return Ok(());
        }
        let message = format!("the bearer token is not the key of team {team:?}");
        Err(Refusal::Denied { message })
    }

    fn hangup(&mut self, call: u64) {
        let Some(pending) = self.cx.calls.remove(&call) else { return };
        match (&mut self.role, pending.sent) {
            (Role::Owner(owner), _) => owner.hangup(&mut self.cx, &Waiter::Local(call)),
            (Role::Follower(_), Some(link)) => self.cx.send(link, Frame::Hangup { call }),
            (Role::Follower(_), None) => {}
        }
    }

    fn drain(&mut self) {
        self.draining = true;
        if let Role::Owner(owner) = &mut self.role {
            owner.release();
        }
    }

    fn frame(&mut self, link: LinkId, frame: Frame) {
        if let Role::Owner(owner) = &mut self.role {
            let after = owner.frame(&mut self.cx, link, frame);
            self.after(after);
            return;
        }
        match frame {
            Frame::Answer { call, answer } => {
                // Only the connection that the call was sent on may answer it:
                // an earlier owner, woken up, knows less than the present one.
                if self.cx.calls.get(&call).is_some_and(|c| c.sent == Some(link)) {
                    self.cx.answer(&Waiter::Local(call), answer);
                }
            }
            Frame::Configure { after, version, rows, .. } => {
                // A change before this one was lost on the way: the owner sees
                // it from the next beat and sends everything again.
                if after > self.cx.config.version() {
                    return;
                }
                for (key, value) in rows {
                    if let Some(item) = Item::parse(&key, &value) {
                        self.cx.config.apply(&item);
                    }
                }
                if self.cx.config.reach(version) {
                    self.cx.event(quincewheel_audit::Kind::Applied { version });
                }
                self.heard(link);
            }
            Frame::Beat { .. } => self.heard(link),
            // An agent or entry that takes this node for the owner learns
            // better by being disconnected; it then reads the row again.
            _ => self.cx.close(link, "not the owner"),
        }
    }

    fn heard(&mut self, link: LinkId) {
        if let Role::Follower(follower) = &mut self.role {
            follower.heard(&mut self.cx, link);
        }
    }

    fn promote(&mut self, owner: Owner) {
        self.cx.event(quincewheel_audit::Kind::Owned { epoch: owner.epoch() });
        self.role = Role::Owner(Box::new(owner));
        self.resubmit();
    }

    /// Hands the calls that are still open to this node's own owner part.
    fn resubmit(&mut self) {
        let Role::Owner(owner) = &mut self.role else { return };
        let calls: Vec<(u64, Ask)> =
            self.cx.calls.iter_mut().map(|(id, call)| (*id, call.again())).collect();
        for (call, ask) in calls {
            owner.ask(&mut self.cx, Waiter::Local(call), ask);
        }
    }

    fn after(&mut self, after: After) {
        match after {
            After::Stay => {}
            After::StepDown => {
                let Role::Owner(owner) = &mut self.role else { return };
                owner.leave(&mut self.cx);
                self.role = Role::Follower(Box::new(Follower::new(self.cx.now)));
                if let Role::Follower(follower) = &mut self.role {
                    follower.tick(&mut self.cx, self.draining);
                }
            }
        }
    }

    /// Answers calls whose caller stops waiting and that nobody answered.
    fn expire(&mut self) {
        let now = self.cx.now;
        let slack = self.cx.settings.connection_timeout;
        let late: Vec<u64> = self
            .cx
            .calls
            .iter()
            .filter(|(_, call)| now >= call.until + slack)
            .map(|(id, _)| *id)
            .collect();
        for call in late {
            let text = "no answer in time; ask again with the same request id";
            self.cx.unavailable(&Waiter::Local(call), text);
        }
    }
}

impl Call {
    /// The call as it is to be sent to another owner than before.
    pub fn again(&mut self) -> Ask {
        let mut ask = self.ask.clone();
        if let Ask::Submit(job) = &mut ask {
            job.again = job.again || self.sent.is_some();
            if let Ask::Submit(kept) = &mut self.ask {
                kept.again = job.again;
            }
        }
        ask
    }
}
