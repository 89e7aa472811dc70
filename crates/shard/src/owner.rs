use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quincewheel_pool::{Condition, JobId, Pool};
use quincewheel_schema::v1::OwnerRow;
use quincewheel_store::{Error, Reply};
use quincewheel_wire::{Ask, Attempt, Frame, Hello, LinkId, Role};

use crate::config::Item;
use crate::context::{Context, Waiter};
use crate::denials::Denial;
use crate::ledger::{Ledger, Step as Settled, Tag, Write};
use crate::member::{Agent, Lag, Peer, Seen};
use crate::record::Record;
use crate::refusals::Refusals;
use crate::takeover::Load;

/// The node that decides for the shard.
///
/// This file holds its state and the routing of inputs; what it does with
/// them is in `job` (callers' wishes), `starts` (placing and starting),
/// `reports` (how work ended), `takeover` (rows and inventories) and `views`
/// (operators).
pub(crate) struct Owner {
    pub(crate) row: OwnerRow,
    pub(crate) ledger: Ledger,
    pub(crate) load: Load,
    pub(crate) pool: Pool,
    pub(crate) agents: BTreeMap<String, Agent>,
    pub(crate) peers: BTreeMap<LinkId, Peer>,
    pub(crate) jobs: BTreeMap<JobId, Record>,
    pub(crate) keys: BTreeMap<(String, String), JobId>,
    pub(crate) attempts: BTreeMap<Attempt, JobId>,
    /// Configuration rows on their way to the table, by key.
    pub(crate) staged: BTreeMap<String, Staged>,
    pub(crate) refusals: Refusals,
    /// Recorded jobs that wait for the table before they wait for accelerators.
    pub(crate) parked: BTreeSet<JobId>,
    /// Calls that came while rows were loading.
    pub(crate) backlog: Vec<(Waiter, Ask)>,
    /// Answers that wait for a proof of ownership.
    pub(crate) denials: Vec<Denial>,
    /// Something changed that may let a job start.
    pub(crate) dirty: bool,
    pub(crate) active_since: Duration,
    pub(crate) next_job: JobId,
    pub(crate) next_attempt: u32,
    next_beat: Duration,
    next_sweep: Duration,
}

/// A configuration change that is being recorded.
pub(crate) struct Staged {
    pub item: Item,
    pub waiter: Waiter,
    /// Callers that wanted to change the same row meanwhile. They are told the
    /// version in force once it is in force, not before.
    pub losers: Vec<Waiter>,
    pub since: Duration,
}

/// What the node does after the owner took an input.
pub(crate) enum After {
    /// Nothing.
    Stay,
    /// Give the role up: another node has it.
    StepDown,
}

/// Most calls kept while rows are loading.
const BACKLOG: usize = 4096;
const SWEEP: Duration = Duration::from_secs(1);
/// A quarantined worker is tried again after this time.
const PROBATION: Duration = Duration::from_secs(60);

impl Owner {
    /// The owner by a row that was just written at `version`.
    pub fn open(cx: &mut Context, row: OwnerRow, version: u64) -> Owner {
        let mut owner = Owner {
            ledger: Ledger::open(row.clone(), version, cx.now),
            row,
            load: Load::start(),
            pool: Pool::new(cx.settings.limits),
            agents: BTreeMap::new(),
            peers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            keys: BTreeMap::new(),
            attempts: BTreeMap::new(),
            staged: BTreeMap::new(),
            refusals: Refusals::default(),
            parked: BTreeSet::new(),
            backlog: Vec::new(),
            denials: Vec::new(),
            dirty: false,
            active_since: cx.now,
            next_job: 1,
            next_attempt: 1,
            next_beat: cx.now,
            next_sweep: cx.now,
        };
        owner.load_next(cx);
        owner
    }

    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// True once all rows are read.
    pub fn active(&self) -> bool {
        self.load.finished()
    }

    pub fn store_down(&self, cx: &Context) -> bool {
        self.ledger.down(cx.settings.store_down_after, cx.now)
    }

    pub fn linked(&mut self, cx: &mut Context, link: LinkId, hello: &Hello) {
        if hello.role == Role::Entry {
            let peer = Peer::Entry {
                name: hello.name.clone(),
                heard: cx.now,
                lag: Lag::default(),
                seen: Seen::default(),
            };
            self.peers.insert(link, peer);
            if self.active() {
                self.configure(cx, link);
            }
        }
        // An agent counts from its announcement on.
    }

    pub fn unlinked(&mut self, cx: &mut Context, link: LinkId) {
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
                // Its calls come back on another connection, or not at all.
                for record in self.jobs.values_mut() {
                    let gone = |w: &Waiter| matches!(w, Waiter::Remote(l, _) if *l == link);
                    record.waiters.retain(|waiting| !gone(&waiting.waiter));
                }
            }
            None => {}
        }
    }

    pub fn frame(&mut self, cx: &mut Context, link: LinkId, frame: Frame) -> After {
        self.note_heard(cx, link, &frame);
        match frame {
            Frame::Announce { epoch, .. } | Frame::Beat { epoch, .. } | Frame::Fenced { epoch }
                if epoch > self.row.epoch =>
            {
                // The sender has seen a later owner than this one.
                return After::StepDown;
            }
            Frame::Announce { member, latest, inventory, .. } => {
                if self.active() {
                    self.announced(cx, link, member, latest, inventory);
                } else {
                    // Without the rows an inventory cannot be judged; the agent
                    // announces itself again on its next connection.
                    cx.close(link, "rows are still loading");
                }
            }
            Frame::Ask { call, ask } => {
                if let Some(Peer::Entry { seen, .. }) = self.peers.get_mut(&link)
                    && seen.first(call)
                {
                    self.ask(cx, Waiter::Remote(link, call), ask);
                }
            }
            Frame::Hangup { call } => self.hangup(cx, &Waiter::Remote(link, call)),
            Frame::Prepared { attempt } => self.prepared(cx, link, attempt),
            Frame::Declined { attempt, reason } => self.declined(cx, link, attempt, &reason),
            Frame::Ended { attempt, report } => self.ended(cx, link, attempt, report),
            Frame::Unsure { attempt } => self.unsure(cx, link, attempt),
            Frame::Leaving { leaving } => self.leaving(cx, link, leaving),
            _ => {}
        }
        After::Stay
    }

    pub fn on_store(&mut self, cx: &mut Context, id: u64, result: &Result<Reply, Error>) -> After {
        if self.on_load(cx, id, result) {
            return After::Stay;
        }
        match self.ledger.on_reply(cx, id, result) {
            Settled::Nothing => After::Stay,
            Settled::Deposed => After::StepDown,
            Settled::Committed(tags, sent) => {
                self.confirm_denials(cx, sent);
                let released = tags.contains(&Tag::Release);
                for tag in tags {
                    self.committed(cx, tag);
                }
                for job in std::mem::take(&mut self.parked) {
                    self.enqueue(job);
                }
                if released { After::StepDown } else { After::Stay }
            }
        }
    }

    fn committed(&mut self, cx: &mut Context, tag: Tag) {
        match tag {
            Tag::Accept(job) => self.accepted(cx, job),
            Tag::Start(job, attempt) => self.start_recorded(cx, job, attempt),
            Tag::Finish(job) => self.finish_recorded(cx, job),
            Tag::Config(key) => self.config_recorded(cx, &key),
            Tag::Tidy | Tag::Release => {}
        }
    }

    pub fn tick(&mut self, cx: &mut Context) {
        let now = cx.now;
        self.load_tick(cx);
        if now >= self.next_beat {
            self.next_beat = now + cx.settings.heartbeat_interval;
            self.beat(cx);
        }
        self.check_agents(cx);
        if !self.active() {
            return;
        }
        self.check_attempts(cx);
        self.check_unheard(cx);
        self.check_deadlines(cx);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP;
            self.sweep(cx);
            self.dirty = true;
        }
        if self.store_down(cx) {
            self.give_up_unrecorded(cx);
        }
    }

    /// Decides and writes, once for all inputs since the last time.
    pub fn flush(&mut self, cx: &mut Context) {
        if self.active() {
            for (waiter, ask) in std::mem::take(&mut self.backlog) {
                self.ask(cx, waiter, ask);
            }
            if std::mem::take(&mut self.dirty) {
                self.decide(cx);
            }
        }
        if self.active() {
            self.ledger.pump(cx, !self.denials.is_empty());
        }
    }

    /// Takes a call, or keeps it until this owner may speak.
    pub fn ask(&mut self, cx: &mut Context, waiter: Waiter, ask: Ask) {
        if !self.active() {
            if self.backlog.len() >= BACKLOG {
                cx.unavailable(&waiter, "the shard's owner is not ready");
            } else {
                self.backlog.push((waiter, ask));
            }
            return;
        }
        self.serve(cx, waiter, ask);
    }

    /// Gives ownership up once what is queued is written.
    pub fn release(&mut self) {
        self.ledger.put(Write { tag: Tag::Release, key: String::new(), value: None });
    }

    /// Parts from all peers, which then look for the present owner.
    pub fn leave(&mut self, cx: &mut Context) {
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
            // This owner may have started it: the next one must know.
            call.sent = Some(LinkId::MAX);
        }
    }

    fn beat(&mut self, cx: &mut Context) {
        let silence = cx.settings.connection_timeout;
        let frame = Frame::Beat { epoch: self.row.epoch, configuration: cx.config.version() };
        let mut silent = Vec::new();
        for (link, peer) in &self.peers {
            if let Peer::Entry { heard, .. } = peer
                && cx.now.saturating_sub(*heard) > silence
            {
                silent.push(*link);
                continue;
            }
            cx.out.push(crate::output::Output::Send { link: *link, frame: frame.clone() });
        }
        for link in silent {
            cx.close(link, "entry silent");
            self.unlinked(cx, link);
        }
    }

    fn note_heard(&mut self, cx: &mut Context, link: LinkId, frame: &Frame) {
        let now = cx.now;
        let lag = match self.peers.get_mut(&link) {
            Some(Peer::Entry { heard, lag, .. }) => {
                *heard = now;
                lag
            }
            Some(Peer::Agent { worker }) => {
                let Some(agent) = self.agents.get_mut(worker) else { return };
                agent.heard = now;
                &mut agent.lag
            }
            None => return,
        };
        let Frame::Beat { configuration, .. } = frame else { return };
        lag.beat(*configuration, cx.config.version());
        if lag.lost() && self.active() {
            self.configure(cx, link);
        }
        if let Some(worker) = self.worker_of(link) {
            self.refresh_condition(cx, &worker);
        }
    }

    /// Lets the pool know whether the worker takes work.
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
            let quiet = now.saturating_sub(agent.heard);
            if quiet >= cx.settings.worker_lost_after {
                lost.push(worker);
                continue;
            }
            if quiet > cx.settings.connection_timeout
                && let Some(link) = agent.link.take()
            {
                // A cut in one direction shows only as silence; closing makes
                // the agent connect anew and tell all it holds.
                self.peers.remove(&link);
                cx.close(link, "agent silent");
            }
            let agent = self.agents.get_mut(&worker).expect("listed above");
            if agent.quarantined.is_some_and(|since| now.saturating_sub(since) >= PROBATION) {
                agent.quarantined = None;
                self.pool.record_outcome(0, &worker, true);
            }
            self.refresh_condition(cx, &worker);
        }
        for worker in lost {
            self.lose(cx, &worker);
        }
    }

    fn leaving(&mut self, cx: &mut Context, link: LinkId, leaving: bool) {
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

    /// Sends configuration rows and the version that they bring a peer to.
    pub(crate) fn configure(&self, cx: &mut Context, link: LinkId) {
        let rows = match self.peers.get(&link) {
            Some(Peer::Agent { worker }) => cx.config.drain_row(worker).into_iter().collect(),
            _ => cx.config.rows(),
        };
        let version = cx.config.version();
        cx.send(link, Frame::Configure { epoch: self.row.epoch, after: 0, version, rows });
    }

    pub(crate) fn quarantine(&mut self, cx: &Context, worker: &str) {
        let now = cx.now;
        let condition = self.pool.workers().find(|w| w.worker == worker).map(|w| w.condition);
        if condition == Some(Condition::Quarantined)
            && let Some(agent) = self.agents.get_mut(worker)
        {
            agent.quarantined = Some(now);
        }
    }
}
