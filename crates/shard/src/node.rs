use std::time::Duration;

use quincewheel_wire::{Ask, Frame, LinkId, Refusal};
use subtle::ConstantTimeEq;

use crate::config::{Config, Item};
use crate::context::{Call, Context, Waiter};
use crate::follower::Follower;
use crate::input::Input;
use crate::output::Output;
use crate::owner::{Owner, RoleChange};
use crate::settings::Settings;

/// The state machine of one entry in its shard, as follower or owner.
pub struct Node {
    cx: Context,
    role: Role,
    draining: bool,
    /// When this node last handled an input or a tick.
    last_run_at: Duration,
}

enum Role {
    Follower(Box<Follower>),
    Owner(Box<Owner>),
}

/// Timeout of a call that has no deadline of its own.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(10);

impl Node {
    /// Creates a node that looks for its shard's owner.
    pub fn new(settings: Settings) -> Node {
        let cx = Context::new(settings);
        let role = Role::Follower(Box::new(Follower::new(Duration::ZERO)));
        Node { cx, role, draining: false, last_run_at: Duration::ZERO }
    }

    /// Handles one input. Decisions wait for [`Node::flush`], so that a batch of inputs
    /// costs one decision and one transaction.
    pub fn handle(&mut self, now: Duration, input: Input) {
        self.advance_clock(now);
        match input {
            Input::Call { call, key_digest, ask } => self.on_call(call, &key_digest, ask),
            Input::Hangup { call } => self.on_hangup(call),
            Input::Drain => self.on_drain(),
            Input::Linked { link, hello, dialled } => match &mut self.role {
                Role::Follower(follower) => {
                    follower.on_connected(&mut self.cx, link, &hello, &dialled)
                }
                Role::Owner(owner) => owner.on_connected(&mut self.cx, link, &hello),
            },
            Input::Unlinked { link } => match &mut self.role {
                Role::Follower(follower) => follower.on_disconnected(&mut self.cx, link),
                Role::Owner(owner) => owner.on_disconnected(&mut self.cx, link),
            },
            Input::Undialled { address } => {
                if let Role::Follower(follower) = &mut self.role {
                    follower.on_dial_failed(&address);
                }
            }
            Input::Frame { link, frame } => self.on_frame(link, frame),
            Input::Store { id, result } => match &mut self.role {
                Role::Follower(follower) => {
                    if let Some(owner) = follower.on_store_reply(&mut self.cx, id, &result) {
                        self.promote(owner);
                    }
                }
                Role::Owner(owner) => {
                    let change = owner.on_store_reply(&mut self.cx, id, &result);
                    self.apply_role_change(change);
                }
            },
        }
    }

    /// Runs timers. Called several times a second.
    pub fn tick(&mut self, now: Duration) {
        self.advance_clock(now);
        match &mut self.role {
            Role::Follower(follower) => follower.tick(&mut self.cx, self.draining),
            Role::Owner(owner) => owner.tick(&mut self.cx),
        }
        self.expire_calls();
    }

    /// Runs the scheduler, sends pending writes and returns the outputs to carry out.
    pub fn flush(&mut self, now: Duration) -> Vec<Output> {
        self.advance_clock(now);
        if let Role::Owner(owner) = &mut self.role {
            owner.flush(&mut self.cx);
        }
        std::mem::take(&mut self.cx.outputs)
    }

    /// Returns true if this node owns its shard and has read its rows.
    pub fn is_owner(&self) -> bool {
        matches!(&self.role, Role::Owner(owner) if owner.is_active())
    }

    /// Returns true if calls can be accepted: the owner is known and reachable, and
    /// this node is not draining.
    pub fn is_ready(&self) -> bool {
        match &self.role {
            Role::Owner(owner) => owner.is_active() && !self.draining,
            Role::Follower(follower) => follower.is_attached() && !self.draining,
        }
    }

    /// Returns the number of unanswered calls.
    pub fn pending_calls(&self) -> usize {
        self.cx.calls.len()
    }

    /// Returns true if the call is not answered yet.
    pub fn is_pending(&self, call: u64) -> bool {
        self.cx.calls.contains_key(&call)
    }

    /// Returns true if the table does not answer this node.
    pub fn is_store_down(&self) -> bool {
        match &self.role {
            Role::Owner(owner) => owner.is_store_down(&self.cx),
            Role::Follower(follower) => follower.is_store_failing(),
        }
    }

    /// Returns the configuration in force here.
    pub fn config(&self) -> &Config {
        &self.cx.config
    }

    /// Advances the clock. After a pause of the process a follower may still receive
    /// answers that have become wrong since they were sent, so it drops their
    /// connection and sends its calls again.
    fn advance_clock(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_run_at);
        self.cx.now = now;
        self.last_run_at = now;
        if pause >= self.cx.settings.connection_timeout
            && let Role::Follower(follower) = &mut self.role
        {
            follower.detach(&mut self.cx, "this process was frozen");
        }
    }

    fn on_call(&mut self, call: u64, key_digest: &str, ask: Ask) {
        let waiter = Waiter::Local(call);
        let now = self.cx.now;
        let expires_at = now
            + match &ask {
                Ask::Submit(job) => job.deadline,
                Ask::Wait { deadline, .. } => *deadline,
                _ => DEFAULT_CALL_TIMEOUT,
            };
        if let Ask::Submit(job) = &ask {
            self.cx.event(quincewheel_audit::Kind::Submitted {
                call,
                team: job.team.clone(),
                request: job.request.clone(),
            });
        }
        let pending = Call { ask: ask.clone(), expires_at, arrived_at: now, forwarded_on: None };
        self.cx.calls.insert(call, pending);
        if let Err(refusal) = self.authorize(key_digest, &ask) {
            self.cx.refuse(&waiter, refusal);
            return;
        }
        match &mut self.role {
            Role::Owner(owner) => owner.on_call(&mut self.cx, waiter, ask),
            Role::Follower(follower) => follower.on_call(&mut self.cx, call),
        }
    }

    /// Checks that the key belongs to the team, or to operators. Digests are compared
    /// in constant time, so that timing does not show how much of one matches.
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

    fn on_hangup(&mut self, call: u64) {
        let Some(pending) = self.cx.calls.remove(&call) else { return };
        match (&mut self.role, pending.forwarded_on) {
            (Role::Owner(owner), _) => owner.on_hangup(&mut self.cx, &Waiter::Local(call)),
            (Role::Follower(_), Some(link)) => self.cx.send(link, Frame::Hangup { call }),
            (Role::Follower(_), None) => {}
        }
    }

    fn on_drain(&mut self) {
        self.draining = true;
        if let Role::Owner(owner) = &mut self.role {
            owner.release();
        }
    }

    fn on_frame(&mut self, link: LinkId, frame: Frame) {
        if let Role::Owner(owner) = &mut self.role {
            let change = owner.on_frame(&mut self.cx, link, frame);
            self.apply_role_change(change);
            return;
        }
        match frame {
            Frame::Answer { call, answer } => {
                // Only the connection that the call was forwarded on may answer it: an earlier
                // owner that resumes after a pause has outdated state.
                if self.cx.calls.get(&call).is_some_and(|c| c.forwarded_on == Some(link)) {
                    self.cx.answer(&Waiter::Local(call), answer);
                }
            }
            Frame::Configure { after, version, rows, .. } => {
                // An earlier change was lost. The owner detects that from the next heartbeat and
                // sends all rows again.
                if after > self.cx.config.version() {
                    return;
                }
                for (key, value) in rows {
                    if let Some(item) = Item::parse(&key, &value) {
                        self.cx.config.apply(&item);
                    }
                }
                if self.cx.config.advance_to(version) {
                    self.cx.event(quincewheel_audit::Kind::Applied { version });
                }
                self.record_contact(link);
            }
            Frame::Beat { .. } => self.record_contact(link),
            // An agent or entry that takes this node for the owner is disconnected, so that it
            // reads the ownership row again.
            _ => self.cx.close(link, "not the owner"),
        }
    }

    fn record_contact(&mut self, link: LinkId) {
        if let Role::Follower(follower) = &mut self.role {
            follower.record_contact(&mut self.cx, link);
        }
    }

    fn promote(&mut self, owner: Owner) {
        self.cx.event(quincewheel_audit::Kind::Owned { epoch: owner.epoch() });
        self.role = Role::Owner(Box::new(owner));
        self.resubmit();
    }

    /// Passes unanswered calls to this node's own owner.
    fn resubmit(&mut self) {
        let Role::Owner(owner) = &mut self.role else { return };
        let calls: Vec<(u64, Ask)> =
            self.cx.calls.iter_mut().map(|(id, call)| (*id, call.for_resend())).collect();
        for (call, ask) in calls {
            owner.on_call(&mut self.cx, Waiter::Local(call), ask);
        }
    }

    fn apply_role_change(&mut self, change: RoleChange) {
        match change {
            RoleChange::Keep => {}
            RoleChange::StepDown => {
                let Role::Owner(owner) = &mut self.role else { return };
                owner.disconnect_peers(&mut self.cx);
                self.role = Role::Follower(Box::new(Follower::new(self.cx.now)));
                if let Role::Follower(follower) = &mut self.role {
                    follower.tick(&mut self.cx, self.draining);
                }
            }
        }
    }

    /// Refuses calls that are still unanswered after their deadline.
    fn expire_calls(&mut self) {
        let now = self.cx.now;
        let margin = self.cx.settings.connection_timeout;
        let expired: Vec<u64> = self
            .cx
            .calls
            .iter()
            .filter(|(_, call)| now >= call.expires_at + margin)
            .map(|(id, _)| *id)
            .collect();
        for call in expired {
            let text = "no answer in time; ask again with the same request id";
            self.cx.unavailable(&Waiter::Local(call), text);
        }
    }
}

impl Call {
    /// Returns the call for another owner. A job that was forwarded before is marked as
    /// possibly started.
    pub fn for_resend(&mut self) -> Ask {
        let mut ask = self.ask.clone();
        if let Ask::Submit(job) = &mut ask {
            job.again = job.again || self.forwarded_on.is_some();
            if let Ask::Submit(original) = &mut self.ask {
                original.again = job.again;
            }
        }
        ask
    }
}
