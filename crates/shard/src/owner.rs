use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quincewheel_pool::{Condition, JobId, Pool};
use quincewheel_schema::v1::OwnerRow;
use quincewheel_store::{Error, Reply};
use quincewheel_wire::{Ask, Attempt, Frame, Hello, LinkId, Role};

use crate::config::Item;
use crate::context::{Context, Waiter};
use crate::denials::Denial;
use crate::ledger::{CommitResult, Ledger, Tag, Write};
use crate::peer::{Agent, ConfigTracker, Peer, SeenCalls};
use crate::record::Record;
use crate::refusals::Refusals;
use crate::takeover::Load;

/// The node that owns the shard and decides for it.
///
/// This file holds its state and dispatches inputs. The handlers are in `job`
/// (client calls), `starts` (placement and starts), `reports` (ends of attempts),
/// `takeover` (stored rows and agents' inventories) and `views` (operators' calls).
pub(crate) struct Owner {
    pub(crate) row: OwnerRow,
    pub(crate) ledger: Ledger,
    pub(crate) load: Load,
    pub(crate) pool: Pool,
    pub(crate) agents: BTreeMap<String, Agent>,
    pub(crate) peers: BTreeMap<LinkId, Peer>,
    pub(crate) jobs: BTreeMap<JobId, Record>,
    pub(crate) jobs_by_request: BTreeMap<(String, String), JobId>,
    pub(crate) jobs_by_attempt: BTreeMap<Attempt, JobId>,
    /// Configuration rows whose commit is pending, by key.
    pub(crate) staged: BTreeMap<String, Staged>,
    pub(crate) refusals: Refusals,
    /// Stored jobs that are queued only once the table is available again.
    pub(crate) parked: BTreeSet<JobId>,
    /// Calls received while rows were loading.
    pub(crate) backlog: Vec<(Waiter, Ask)>,
    /// Denials that wait until ownership is confirmed.
    pub(crate) denials: Vec<Denial>,
    /// Set when something changed that may let a job start.
    pub(crate) dirty: bool,
    pub(crate) activated_at: Duration,
    pub(crate) next_job_id: JobId,
    pub(crate) next_attempt_number: u32,
    next_heartbeat_at: Duration,
    next_cleanup_at: Duration,
}

/// A configuration change whose commit is pending.
pub(crate) struct Staged {
    pub item: Item,
    pub waiter: Waiter,
    /// Callers that tried to change the same row meanwhile. They are refused with the
    /// new version, but only after it is in force.
    pub conflicting: Vec<Waiter>,
    pub staged_at: Duration,
}

/// What the node does with its role after an input.
pub(crate) enum RoleChange {
    /// Keeps the role.
    Keep,
    /// Becomes a follower: another node owns the shard, or this one released it.
    StepDown,
}

/// Calls queued while rows are loading; further ones are refused.
const MAX_BACKLOG_CALLS: usize = 4096;
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a quarantined worker is given work again.
const QUARANTINE_DURATION: Duration = Duration::from_secs(60);

impl Owner {
    /// Creates the owner from an ownership row that was just written at `version`.
    pub fn new(cx: &mut Context, row: OwnerRow, version: u64) -> Owner {
        let mut owner = Owner {
            ledger: Ledger::new(row.clone(), version, cx.now),
            row,
            load: Load::new(),
            pool: Pool::new(cx.settings.limits),
            agents: BTreeMap::new(),
            peers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            jobs_by_request: BTreeMap::new(),
            jobs_by_attempt: BTreeMap::new(),
            staged: BTreeMap::new(),
            refusals: Refusals::default(),
            parked: BTreeSet::new(),
            backlog: Vec::new(),
            denials: Vec::new(),
            dirty: false,
            activated_at: cx.now,
            next_job_id: 1,
            next_attempt_number: 1,
            next_heartbeat_at: cx.now,
            next_cleanup_at: cx.now,
        };
        owner.read_next_page(cx);
        owner
    }

    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// Returns true once all rows have been read.
    pub fn is_active(&self) -> bool {
        self.load.is_finished()
    }

    pub fn is_store_down(&self, cx: &Context) -> bool {
        self.ledger.is_down(cx.settings.store_down_after, cx.now)
    }

    pub fn on_connected(&mut self, cx: &mut Context, link: LinkId, hello: &Hello) {
        if hello.role == Role::Entry {
            let peer = Peer::Entry {
                name: hello.name.clone(),
                last_seen: cx.now,
                config_tracker: ConfigTracker::default(),
                seen_calls: SeenCalls::default(),
            };
            self.peers.insert(link, peer);
            if self.is_active() {
                self.send_configuration(cx, link);
            }
        }
        // An agent is registered by its announcement.
    }

    pub fn on_disconnected(&mut self, cx: &mut Context, link: LinkId) {
        match self.peers.remove(&link) {
            Some(Peer::Agent { worker }) => {
                if let Some(agent) = self.agents.get_mut(&worker)
                    && agent.link == Some(link)
                {
                    agent.link = None;
                    self.refresh_condition(cx, &worker);
                }
            }
            Some(Peer::Entry { .. }) => {
                // The calls come again on another connection, or not at all.
                for record in self.jobs.values_mut() {
                    let is_on_link = |w: &Waiter| matches!(w, Waiter::Remote(l, _) if *l == link);
                    record.waiters.retain(|waiting| !is_on_link(&waiting.waiter));
                }
            }
            None => {}
        }
    }

    pub fn on_frame(&mut self, cx: &mut Context, link: LinkId, frame: Frame) -> RoleChange {
        self.record_contact(cx, link, &frame);
        match frame {
            Frame::Announce { epoch, .. } | Frame::Beat { epoch, .. } | Frame::Fenced { epoch }
                if epoch > self.row.epoch =>
            {
                // The sender has seen a later owner than this one.
                return RoleChange::StepDown;
            }
            Frame::Announce { member, latest, inventory, .. } => {
                if self.is_active() {
                    self.on_announced(cx, link, member, latest, inventory);
                } else {
                    // Without the rows an inventory cannot be checked; the agent announces itself
                    // again on its next connection.
                    cx.close(link, "rows are still loading");
                }
            }
            Frame::Ask { call, ask } => {
                if let Some(Peer::Entry { seen_calls, .. }) = self.peers.get_mut(&link)
                    && seen_calls.insert(call)
                {
                    self.on_call(cx, Waiter::Remote(link, call), ask);
                }
            }
            Frame::Hangup { call } => self.on_hangup(cx, &Waiter::Remote(link, call)),
            Frame::Prepared { attempt } => self.on_prepared(cx, link, attempt),
            Frame::Declined { attempt, reason } => self.on_declined(cx, link, attempt, &reason),
            Frame::Ended { attempt, report } => self.on_ended(cx, link, attempt, report),
            Frame::Unsure { attempt } => self.on_unsure(cx, link, attempt),
            Frame::Leaving { leaving } => self.on_leaving(cx, link, leaving),
            _ => {}
        }
        RoleChange::Keep
    }

    pub fn on_store_reply(
        &mut self,
        cx: &mut Context,
        id: u64,
        result: &Result<Reply, Error>,
    ) -> RoleChange {
        if self.on_load_reply(cx, id, result) {
            return RoleChange::Keep;
        }
        match self.ledger.on_reply(cx, id, result) {
            CommitResult::Undecided => RoleChange::Keep,
            CommitResult::Deposed => RoleChange::StepDown,
            CommitResult::Committed(tags, sent_at) => {
                self.confirm_denials(cx, sent_at);
                let released = tags.contains(&Tag::Release);
                for tag in tags {
                    self.on_committed(cx, tag);
                }
                for job in std::mem::take(&mut self.parked) {
                    self.enqueue(job);
                }
                if released { RoleChange::StepDown } else { RoleChange::Keep }
            }
        }
    }

    fn on_committed(&mut self, cx: &mut Context, tag: Tag) {
        match tag {
            Tag::Accept(job) => self.on_accepted(cx, job),
            Tag::Start(job, attempt) => self.on_start_recorded(cx, job, attempt),
            Tag::Finish(job) => self.on_finish_recorded(cx, job),
            Tag::Config(key) => self.on_config_recorded(cx, &key),
            Tag::Cleanup | Tag::Release => {}
        }
    }

    pub fn tick(&mut self, cx: &mut Context) {
        let now = cx.now;
        self.tick_load(cx);
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + cx.settings.heartbeat_interval;
            self.send_heartbeats(cx);
        }
        self.check_agents(cx);
        if !self.is_active() {
            return;
        }
        self.check_attempts(cx);
        self.check_unreachable_members(cx);
        self.check_deadlines(cx);
        if now >= self.next_cleanup_at {
            self.next_cleanup_at = now + CLEANUP_INTERVAL;
            self.remove_expired(cx);
            self.dirty = true;
        }
        if self.is_store_down(cx) {
            self.abandon_unrecorded(cx);
        }
    }

    /// Runs the scheduler and sends pending writes, once for all inputs since the last
    /// call.
    pub fn flush(&mut self, cx: &mut Context) {
        if self.is_active() {
            for (waiter, ask) in std::mem::take(&mut self.backlog) {
                self.on_call(cx, waiter, ask);
            }
            if std::mem::take(&mut self.dirty) {
                self.schedule(cx);
            }
        }
        if self.is_active() {
            self.ledger.send_due(cx, !self.denials.is_empty());
        }
    }

    /// Handles a call, or queues it until all rows have been read.
    pub fn on_call(&mut self, cx: &mut Context, waiter: Waiter, ask: Ask) {
        if !self.is_active() {
            if self.backlog.len() >= MAX_BACKLOG_CALLS {
                cx.unavailable(&waiter, "the shard's owner is not ready");
            } else {
                self.backlog.push((waiter, ask));
            }
            return;
        }
        self.handle_call(cx, waiter, ask);
    }

    /// Gives up ownership in the transaction that follows all queued writes.
    pub fn release(&mut self) {
        self.ledger.put(Write { tag: Tag::Release, key: String::new(), value: None });
    }

    /// Closes all connections; the peers then look for the present owner.
    pub fn disconnect_peers(&mut self, cx: &mut Context) {
        for link in self.peers.keys() {
            cx.close(*link, "no longer the owner");
        }
        for agent in self.agents.values() {
            if let Some(link) = agent.link
                && !self.peers.contains_key(&link)
            {
                cx.close(link, "no longer the owner");
            }
        }
        for call in cx.calls.values_mut() {
            // This owner may have started the job, so the call must reach the next owner as a
            // resent one.
            call.forwarded_on = Some(LinkId::MAX);
        }
    }

    fn send_heartbeats(&mut self, cx: &mut Context) {
        let timeout = cx.settings.connection_timeout;
        let frame = Frame::Beat { epoch: self.row.epoch, configuration: cx.config.version() };
        let mut unresponsive = Vec::new();
        for (link, peer) in &self.peers {
            if let Peer::Entry { last_seen, .. } = peer
                && cx.now.saturating_sub(*last_seen) > timeout
            {
                unresponsive.push(*link);
                continue;
            }
            cx.outputs.push(crate::output::Output::Send { link: *link, frame: frame.clone() });
        }
        for link in unresponsive {
            cx.close(link, "entry silent");
            self.on_disconnected(cx, link);
        }
    }

    fn record_contact(&mut self, cx: &mut Context, link: LinkId, frame: &Frame) {
        let now = cx.now;
        let config_tracker = match self.peers.get_mut(&link) {
            Some(Peer::Entry { last_seen, config_tracker, .. }) => {
                *last_seen = now;
                config_tracker
            }
            Some(Peer::Agent { worker }) => {
                let Some(agent) = self.agents.get_mut(worker) else { return };
                agent.last_seen = now;
                &mut agent.config_tracker
            }
            None => return,
        };
        let Frame::Beat { configuration, .. } = frame else { return };
        config_tracker.on_heartbeat(*configuration, cx.config.version());
        if config_tracker.take_missed_update() && self.is_active() {
            self.send_configuration(cx, link);
        }
        if let Some(worker) = self.worker_of(link) {
            self.refresh_condition(cx, &worker);
        }
    }

    /// Updates the worker's condition in the pool.
    pub(crate) fn refresh_condition(&mut self, cx: &Context, worker: &str) {
        let Some(agent) = self.agents.get(worker) else { return };
        let drained = cx.config.is_drained(worker);
        let condition = agent.condition(drained, cx.now, cx.settings.connection_timeout);
        let before = self.pool.workers().find(|w| w.worker == worker).map(|w| w.condition);
        if before != Some(condition) {
            self.pool.set_condition(worker, condition);
            self.dirty = true;
        }
    }

    fn check_agents(&mut self, cx: &mut Context) {
        let now = cx.now;
        let mut lost = Vec::new();
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for worker in names {
            let agent = self.agents.get_mut(&worker).expect("listed above");
            let silent_for = now.saturating_sub(agent.last_seen);
            if silent_for >= cx.settings.worker_lost_after {
                lost.push(worker);
                continue;
            }
            if silent_for > cx.settings.connection_timeout
                && let Some(link) = agent.link.take()
            {
                // A connection cut in one direction shows only as silence. Closing it makes the
                // agent connect again and send its whole inventory.
                self.peers.remove(&link);
                cx.close(link, "agent silent");
            }
            let agent = self.agents.get_mut(&worker).expect("listed above");
            if agent.quarantined_at.is_some_and(|at| now.saturating_sub(at) >= QUARANTINE_DURATION)
            {
                agent.quarantined_at = None;
                self.pool.record_outcome(0, &worker, true);
            }
            self.refresh_condition(cx, &worker);
        }
        for worker in lost {
            self.remove_lost_worker(cx, &worker);
        }
    }

    fn on_leaving(&mut self, cx: &mut Context, link: LinkId, leaving: bool) {
        let Some(worker) = self.worker_of(link) else { return };
        if let Some(agent) = self.agents.get_mut(&worker) {
            agent.member.leaving = leaving;
        }
        self.refresh_condition(cx, &worker);
    }

    pub(crate) fn worker_of(&self, link: LinkId) -> Option<String> {
        match self.peers.get(&link)? {
            Peer::Agent { worker } => Some(worker.clone()),
            Peer::Entry { .. } => None,
        }
    }

    pub(crate) fn link_of(&self, worker: &str) -> Option<LinkId> {
        self.agents.get(worker)?.link
    }

    /// Sends a peer the configuration rows that concern it and the version that they
    /// bring it to.
    pub(crate) fn send_configuration(&self, cx: &mut Context, link: LinkId) {
        let rows = match self.peers.get(&link) {
            Some(Peer::Agent { worker }) => cx.config.drain_row(worker).into_iter().collect(),
            _ => cx.config.rows(),
        };
        let version = cx.config.version();
        cx.send(link, Frame::Configure { epoch: self.row.epoch, after: 0, version, rows });
    }

    pub(crate) fn record_quarantine(&mut self, cx: &Context, worker: &str) {
        let now = cx.now;
        let condition = self.pool.workers().find(|w| w.worker == worker).map(|w| w.condition);
        if condition == Some(Condition::Quarantined)
            && let Some(agent) = self.agents.get_mut(worker)
        {
            agent.quarantined_at = Some(now);
        }
    }
}
