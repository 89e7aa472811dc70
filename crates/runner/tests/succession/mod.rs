//! Simulation of changes of owner without a network: a table, entries of which one owns, agents and
//! their workers, on a simulated clock.

#![allow(dead_code)]

mod audit;
mod entry;
pub mod light;
mod link;
mod ownership;
pub mod shape;
pub mod standing;
mod table;
pub mod trouble;
mod worker;

use std::collections::BTreeMap;

use quincewheel_dispatch::{Output, RowEvent, Settings, rows};
use quincewheel_job::Job;
use quincewheel_runner::Output as AgentOutput;
use quincewheel_store::{Changes, Commit, Put};
use quincewheel_wire::Notice;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use audit::Audit;
use entry::Entry;
pub use link::Peer;
use link::{Link, ToOwner, ToPeer};
use shape::Shape;
use table::{Reply, Request, Table, TableCall};
use worker::Node;

/// Step of the simulated clock.
const STEP_MS: u64 = 10;
pub const START_MS: u64 = 10_000;
pub const ENTRIES: usize = 3;
pub const NODES: usize = 6;
/// Most events that an entry processes before its owner decides.
const MAX_EVENTS: usize = 65;
const DIAL_RETRY_MS: u64 = 300;
const HEARTBEAT_INTERVAL_MS: u64 = 200;
const FEED_HOLD_MS: u64 = 400;
const FEED_TIMEOUT_MS: u64 = 1400;
const FEED_RETRY_MS: u64 = 150;
const OWNER_POLL_INTERVAL_MS: u64 = 40;
const IDLE_POLL_INTERVAL_MS: u64 = 200;
const PAGE_TIMEOUT_MS: u64 = 1500;
const SUBMISSION_TIMEOUT_MS: u64 = 1200;
/// Below [`PAGE_TIMEOUT_MS`], so that the read succeeds.
pub const SLOW_READ_MS: u64 = 1400;

/// How the table treats the calls of one entry, each until a time.
#[derive(Clone, Copy, Default)]
pub struct TableTrouble {
    pub cut_until: u64,
    pub refuses_until: u64,
    pub slow_until: u64,
    pub loses_replies_until: u64,
    pub feed_stalled_until: u64,
    /// A read of all rows takes [`SLOW_READ_MS`].
    pub reads_slow_until: u64,
}

/// The whole system.
pub struct Course {
    pub now: u64,
    pub rng: StdRng,
    pub table: Table,
    calls: Vec<TableCall>,
    next_id: u64,
    pub entries: Vec<Entry>,
    pub nodes: Vec<Node>,
    links: Vec<Link>,
    /// Until when an entry and a process are cut off from each other.
    cuts: BTreeMap<(usize, String), u64>,
    /// The same for one direction; true for that to the entry.
    one_way_cuts: BTreeMap<(usize, String, bool), u64>,
    pub troubles: [TableTrouble; ENTRIES],
    /// Processes are suspended for short times until then.
    pub starved_until: u64,
    /// The table answers nobody until then.
    pub silent_until: u64,
    /// A read of all rows returns rows that are up to this many versions old.
    pub stale_versions: u64,
    /// Steps of each job of an [`trouble::Event::Job`].
    pub steps: u32,
    pub audit: Audit,
    /// What entries logged.
    pub lines: Vec<String>,
    submissions: BTreeMap<u64, (String, Job)>,
    hand_overs: BTreeMap<u64, Commit>,
    pub jobs: usize,
    /// Time from a start to the end as done: shortest and longest.
    pub durations: (u64, u64),
    /// Of each owner.
    pub settings: Settings,
    /// Time of day at the start of the simulated clock.
    pub wall_base: u64,
    /// How far the time of day of each entry is ahead.
    pub clock_offsets: [i64; ENTRIES],
}

impl Course {
    pub fn new(seed: u64) -> Course {
        Course::with_nodes(seed, NODES)
    }

    pub fn with_nodes(seed: u64, nodes: usize) -> Course {
        let mut course = Course {
            now: START_MS,
            rng: StdRng::seed_from_u64(seed),
            table: Table::default(),
            calls: Vec::new(),
            next_id: 1,
            entries: (0..ENTRIES).map(|number| Entry::new(number, 1)).collect(),
            nodes: (0..nodes).map(|number| Node::new(number, seed)).collect(),
            links: Vec::new(),
            cuts: BTreeMap::new(),
            one_way_cuts: BTreeMap::new(),
            troubles: [TableTrouble::default(); ENTRIES],
            starved_until: 0,
            silent_until: 0,
            stale_versions: 0,
            steps: 1,
            audit: Audit::default(),
            lines: Vec::new(),
            submissions: BTreeMap::new(),
            hand_overs: BTreeMap::new(),
            jobs: 0,
            durations: (200, 6000),
            settings: Settings::default(),
            wall_base: 0,
            clock_offsets: [0; ENTRIES],
        };
        for number in 0..ENTRIES {
            let node = rows::Node {
                address: format!("10.1.0.{number}:1"),
                entry: true,
                size: rows::Size { processor: 1000, link: 1000 },
            };
            course.table.commit(&rows::announcement(&format!("e{number}"), &node));
        }
        course
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    /// Lets time pass until a condition holds, which must be within a minute.
    pub fn run_until(&mut self, holds: impl Fn(&Course) -> bool) {
        let limit = self.now + 60_000;
        while !holds(self) {
            assert!(self.now < limit, "{}", self.lines.join("\n"));
            self.step();
        }
    }

    /// Lets time pass until an entry logs a line that contains `text`.
    pub fn run_until_logged(&mut self, text: &str) {
        let known = self.lines.len();
        self.run_until(|course| course.lines[known..].iter().any(|line| line.contains(text)));
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.apply_table_calls();
        self.starve();
        for number in 0..ENTRIES {
            self.step_entry(number);
        }
        for number in 0..self.nodes.len() {
            self.step_node(number);
        }
        self.links.retain(|link| {
            let drained = link.to_owner.is_empty() && link.to_peer.is_empty();
            !(drained && !link.entry_open && !link.peer_open)
        });
    }

    /// Suspends processes that are without processor time.
    fn starve(&mut self) {
        if self.now >= self.starved_until {
            return;
        }
        for number in 0..ENTRIES {
            if self.rng.random_bool(0.02) {
                let until = self.now + self.rng.random_range(20..1200);
                let frozen_until = &mut self.entries[number].frozen_until;
                *frozen_until = until.max(*frozen_until);
            }
        }
        for number in 0..self.nodes.len() {
            if self.rng.random_bool(0.02) {
                let until = self.now + self.rng.random_range(20..1200);
                let frozen_until = &mut self.nodes[number].frozen_until;
                *frozen_until = until.max(*frozen_until);
            }
        }
    }

    /// Discards the table's history before the entry has read the end of it.
    pub fn discard_unread_history(&mut self, entry: usize) {
        self.run_until(|course| {
            course.entries[entry].feed.version.is_some_and(|read| read < course.table.version)
        });
        self.table.compacted = self.table.version;
    }

    /// The entry that owns, by its own account.
    pub fn owners(&self) -> Vec<usize> {
        (0..ENTRIES).filter(|&number| self.entries[number].owner.is_some()).collect()
    }

    /// Violations of the rule and the log; empty if there are no violations.
    pub fn report(&self) -> String {
        match self.audit.violations.is_empty() {
            true => String::new(),
            false => [&self.audit.violations[..], &self.lines].concat().join("\n"),
        }
    }

    fn log(&mut self, line: String) {
        self.lines.push(format!("{} {line}", self.now));
    }

    /// Stores a job through an entry.
    pub fn submit(&mut self, entry: usize, count: u32, accelerators: u64) {
        self.submit_step(entry, count, accelerators, false);
    }

    /// Stores a job of one step, which is a gang or not, through an entry.
    pub fn submit_step(&mut self, entry: usize, count: u32, accelerators: u64, gang: bool) {
        self.submit_shape(entry, &Shape::of_step(count, accelerators, gang));
    }

    /// Stores a job of this shape through an entry.
    pub fn submit_shape(&mut self, entry: usize, shape: &Shape) {
        self.jobs += 1;
        let id = format!("{:016x}", self.jobs);
        let job = shape.job(self.wall(entry), self.true_time());
        let value = serde_json::to_string(&job).expect("a job is plain data");
        let put = vec![Put { key: rows::job_key(&id), value }];
        let commit = Commit { put, ..Commit::default() };
        let call = self.call(entry, Request::Commit(commit), SUBMISSION_TIMEOUT_MS);
        self.submissions.insert(call, (id, job));
    }

    /// The time of day.
    pub fn true_time(&self) -> u64 {
        self.wall_base + self.now
    }

    /// The time of day by an entry's clock.
    fn wall(&self, entry: usize) -> u64 {
        self.true_time().saturating_add_signed(self.clock_offsets[entry])
    }

    /// Cuts an entry off from a process.
    pub fn cut(&mut self, entry: usize, name: &str, until: u64) {
        let known = self.cuts.entry((entry, name.to_owned())).or_default();
        *known = until.max(*known);
        if name.starts_with('e') {
            let known = self.cuts.entry((entry_number(name), format!("e{entry}"))).or_default();
            *known = until.max(*known);
        }
    }

    fn is_cut(&self, entry: usize, name: &str) -> bool {
        self.cuts.get(&(entry, name.to_owned())).is_some_and(|until| self.now < *until)
    }

    /// Holds frames of one direction back between an entry and a process that it has dialled.
    pub fn cut_one_way(&mut self, entry: usize, name: &str, to_entry: bool, until: u64) {
        let known = self.one_way_cuts.entry((entry, name.to_owned(), to_entry)).or_default();
        *known = until.max(*known);
    }

    /// Whether frames of one direction are held back.
    fn is_held_back(&self, entry: usize, name: &str, to_entry: bool) -> bool {
        let until = self.one_way_cuts.get(&(entry, name.to_owned(), to_entry));
        self.is_cut(entry, name) || until.is_some_and(|until| self.now < *until)
    }

    /// Suspends an entry's process; with `decides`, after the owner has decided and before it sends
    /// what it decided.
    pub fn freeze_entry(&mut self, number: usize, ms: u64, decides: bool) {
        let (now, wall) = (self.now, self.wall(number));
        let entry = &mut self.entries[number];
        entry.frozen_until = now + ms;
        if let Some(owner) = entry.owner.as_mut().filter(|_| decides) {
            owner.tick(now, wall);
            entry.held_outputs.extend(owner.take_outputs());
        }
        self.log(format!("e{number} is suspended for {ms} ms"));
    }

    /// Ends an entry's process; another starts after `ms`.
    pub fn kill_entry(&mut self, number: usize, ms: u64) {
        let now = self.now;
        for link in &mut self.links {
            if link.entry == number {
                link.close_by_owner(now + 1);
            }
            if link.peer == Peer::Entry(number) {
                link.close_by_peer(now + 1);
            }
        }
        let incarnation = self.entries[number].incarnation + 1;
        self.entries[number] = Entry::new(number, incarnation);
        self.entries[number].restart_at = Some(now + ms);
        self.log(format!("e{number} is killed"));
    }

    /// Restarts an agent's process.
    pub fn restart_agent(&mut self, number: usize) {
        let now = self.now;
        for link in self.links.iter_mut().filter(|link| link.peer == Peer::Node(number)) {
            link.close_by_peer(now + 1);
        }
        self.nodes[number].restart();
        self.log(format!("w{number}: its agent restarts"));
    }

    fn call(&mut self, entry: usize, request: Request, timeout: u64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let now = self.now;
        let trouble = self.troubles[entry];
        let base = self.rng.random_range(3..20);
        let slow = now < trouble.slow_until;
        let latency = if slow { self.rng.random_range(80..220) } else { base };
        let latency = match request {
            Request::ReadAll if now < trouble.reads_slow_until => SLOW_READ_MS / 2,
            Request::ReadAll => latency * 3,
            _ => latency,
        };
        let late = self.rng.random_range(500..4000);
        let mut apply_at = Some(now + latency);
        let mut reply_lost = false;
        let mut reply = None;
        if now < trouble.refuses_until {
            apply_at = None;
            reply = Some((now + 5, Reply::Failed));
        } else if now < trouble.cut_until || now < self.silent_until {
            reply_lost = true;
            apply_at = self.rng.random_bool(0.3).then_some(now + late);
        } else if now < trouble.loses_replies_until && self.rng.random_bool(0.35) {
            reply_lost = true;
            apply_at = Some(if self.rng.random_bool(0.4) { now + late } else { now + latency });
        }
        self.calls.push(TableCall {
            id,
            entry,
            incarnation: self.entries[entry].incarnation,
            request,
            sent_at: now,
            sent_version: self.table.version,
            apply_at,
            reply_lost,
            timeout_at: now + timeout,
            latency,
            reply,
        });
        id
    }

    fn apply_table_calls(&mut self) {
        let now = self.now;
        for index in 0..self.calls.len() {
            let call = &self.calls[index];
            let due = call.apply_at.is_some_and(|at| at <= now);
            if !due {
                continue;
            }
            if let Request::Changes { after, hold } = call.request {
                let trouble = &self.troubles[call.entry];
                let held = hold && self.table.version <= after && now < call.sent_at + FEED_HOLD_MS;
                if held || now < trouble.feed_stalled_until {
                    continue;
                }
            }
            let reply = match &self.calls[index].request {
                Request::Commit(commit) => match self.table.commit(commit) {
                    Some(version) => Reply::Committed(version),
                    None => Reply::Conflict,
                },
                Request::Changes { after, .. } => match self.table.changes(*after) {
                    Some(changes) => Reply::Rows(changes),
                    None => Reply::Compacted,
                },
                Request::ReadAll => {
                    let lag = match self.stale_versions {
                        0 => 0,
                        most => self.rng.random_range(0..=most),
                    };
                    let jobs = self.calls[index].sent_version.saturating_sub(lag);
                    let main = self.table.version.saturating_sub(lag);
                    Reply::Rows(self.table.read_parts(jobs, main))
                }
                Request::ReadOwner => {
                    let all = self.table.read_parts(0, self.table.version);
                    Reply::Rows(all)
                }
            };
            let call = &mut self.calls[index];
            call.apply_at = None;
            if !call.reply_lost {
                call.reply = Some((now + call.latency, reply));
            }
        }
        let entries = &self.entries;
        self.calls.retain(|call| {
            let current = entries[call.entry].incarnation == call.incarnation;
            call.apply_at.is_some() || (current && call.timeout_at + 30_000 > now)
        });
    }

    /// The replies and time-outs of calls that the entry has to process now.
    fn take_replies(&mut self, number: usize) -> Vec<(u64, Reply)> {
        let now = self.now;
        let incarnation = self.entries[number].incarnation;
        let mut replies = Vec::new();
        for call in &mut self.calls {
            if call.entry != number || call.incarnation != incarnation {
                continue;
            }
            let arrived = call.reply.as_ref().is_some_and(|(at, _)| *at <= now);
            if arrived && let Some((_, reply)) = call.reply.take() {
                replies.push((call.id, reply));
                call.incarnation = 0;
            } else if now >= call.timeout_at {
                replies.push((call.id, Reply::Failed));
                call.incarnation = 0;
            }
        }
        replies
    }

    fn step_entry(&mut self, number: usize) {
        let now = self.now;
        if self.entries[number].restart_at.is_some_and(|at| at <= now) {
            self.entries[number].restart_at = None;
            self.log(format!("e{number} starts"));
        }
        if !self.entries[number].is_up(now) {
            return;
        }
        let held = std::mem::take(&mut self.entries[number].held_outputs);
        self.carry_out(number, held);
        if self.rng.random_bool(0.3) {
            self.tick_owner(number);
        }
        for (id, reply) in self.take_replies(number) {
            self.on_table_reply(number, id, reply);
        }
        self.process_events(number);
        self.claim_if_due(number);
        self.tick_owner(number);
        self.record_if_due(number);
        self.poll_feed(number);
        self.dial(number);
        self.send_heartbeats(number);
    }

    fn on_table_reply(&mut self, number: usize, id: u64, reply: Reply) {
        let entry = &self.entries[number];
        if entry.feed.call == Some(id) {
            return self.on_feed_reply(number, reply);
        }
        if entry.claim.as_ref().is_some_and(|claim| claim.call == id) {
            return self.on_claim_reply(number, reply);
        }
        if entry.write.as_ref().is_some_and(|write| write.call == Some(id)) {
            return self.on_write_reply(number, reply);
        }
        if let Some((job, row)) = self.submissions.remove(&id)
            && let Reply::Committed(version) = reply
        {
            return self.on_stored(number, job, row, version);
        }
        if let Some(commit) = self.hand_overs.remove(&id)
            && let Reply::Committed(version) = reply
        {
            self.claim_next(number, &commit, version);
        }
    }

    fn poll_feed(&mut self, number: usize) {
        let feed = &self.entries[number].feed;
        if feed.call.is_some() || self.now < feed.next_at {
            return;
        }
        let (request, timeout) = match feed.version {
            None => (Request::ReadAll, PAGE_TIMEOUT_MS),
            Some(after) => (Request::Changes { after, hold: true }, FEED_TIMEOUT_MS),
        };
        let call = self.call(number, request, timeout);
        self.entries[number].feed.call = Some(call);
    }

    fn on_feed_reply(&mut self, number: usize, reply: Reply) {
        let now = self.now;
        let entry = &mut self.entries[number];
        entry.feed.call = None;
        entry.feed.next_at = now + FEED_RETRY_MS;
        match reply {
            Reply::Rows(changes) => {
                let complete = entry.feed.version.is_none();
                entry.feed.version = Some(changes.version);
                let owns = entry.owner.is_some();
                let pause = if owns { OWNER_POLL_INTERVAL_MS } else { IDLE_POLL_INTERVAL_MS };
                entry.feed.next_at = now + pause;
                self.apply(number, &changes, complete);
            }
            Reply::Compacted => entry.feed.version = None,
            _ => {}
        }
    }

    /// Applies changes, or a complete set of rows, to the entry's replica.
    fn apply(&mut self, number: usize, changes: &Changes, complete: bool) {
        let now = self.now;
        let entry = &mut self.entries[number];
        let events = match complete {
            true => entry.mirror.reload(&changes.rows, changes.version),
            false => entry.mirror.apply_changes(&changes.rows, changes.version),
        };
        entry.rows_updated_at = now;
        match &entry.mirror.owner {
            Some((_, version)) => entry.election.observe_row(*version, now),
            None => entry.election.on_unowned(now),
        }
        if complete {
            self.log(format!("e{number} has read all rows as of version {}", changes.version));
        }
        for event in events {
            self.notify_owner(number, event);
        }
    }

    fn notify_owner(&mut self, number: usize, event: RowEvent) {
        let now = self.now;
        if event == RowEvent::OwnerChanged {
            return self.check_deposed(number);
        }
        let entry = &mut self.entries[number];
        match event {
            RowEvent::NodeAnnounced(name) => {
                entry.dials.remove(&name);
                let agent = entry.mirror.nodes.get(&name).is_some_and(|node| !node.entry);
                if let Some(owner) = entry.owner.as_mut().filter(|_| agent) {
                    owner.add_agent(&name, now);
                }
            }
            RowEvent::NodeRemoved(name) => {
                if let Some(owner) = entry.owner.as_mut() {
                    owner.on_row_removed(&name);
                }
            }
            RowEvent::JobAccepted(id) => self.add_job(number, &id),
            RowEvent::Malformed { key, detail } => panic!("{key}: {detail}"),
            _ => {}
        }
    }

    fn add_job(&mut self, number: usize, id: &str) {
        let entry = &mut self.entries[number];
        let Some(owner) = entry.owner.as_mut() else { return };
        let Some(view) = entry.mirror.jobs.get(id) else { return };
        let Some((job, version)) = &view.job else { return };
        owner.add_job(id, job.clone(), *version, view.progress());
    }

    /// Handles a job that this entry has stored.
    fn on_stored(&mut self, number: usize, id: String, job: Job, version: u64) {
        if self.entries[number].owner.is_some() {
            return self.on_accepted(number, &id, job, version);
        }
        self.cache_job(number, &id, &job, version);
        let Some((link, _)) = self.entries[number].owner_link.clone() else { return };
        let at = self.arrival();
        if let Some(link) = self.links.iter_mut().find(|known| known.id == link) {
            link.send_to_owner(ToOwner::Accepted { id, version, job: Box::new(job) }, at);
        }
    }

    fn cache_job(&mut self, number: usize, id: &str, job: &Job, version: u64) {
        let jobs = &mut self.entries[number].mirror.jobs;
        jobs.entry(id.to_owned()).or_default().job = Some((job.clone(), version));
    }

    fn on_accepted(&mut self, number: usize, id: &str, job: Job, version: u64) {
        if version <= self.entries[number].mirror.version {
            return;
        }
        self.cache_job(number, id, &job, version);
        let now = self.now;
        let entry = &mut self.entries[number];
        let Some(owner) = entry.owner.as_ref() else { return };
        if owner.holds_ownership(now) {
            self.add_job(number, id);
        } else {
            entry.unconfirmed.add(id, version);
        }
    }

    /// When a frame that is sent now arrives.
    fn arrival(&mut self) -> u64 {
        self.now + self.rng.random_range(1..8)
    }

    /// Processes the frames of other processes in the order of their arrival.
    fn process_events(&mut self, number: usize) {
        let now = self.now;
        let mut events = Vec::new();
        let name = format!("e{number}");
        for index in 0..self.links.len() {
            let link = &self.links[index];
            let waits = link.to_owner.front().is_some_and(|(at, _)| *at <= now);
            let held_back = || self.is_held_back(number, &peer_name(link.peer), true);
            if link.entry == number && waits && !held_back() {
                let link = &mut self.links[index];
                while link.to_owner.front().is_some_and(|(at, _)| *at <= now) {
                    let Some((at, frame)) = link.to_owner.pop_front() else { break };
                    if link.entry_open {
                        events.push((at, link.id, link.peer, frame));
                    }
                }
            }
            let link = &self.links[index];
            if link.peer == Peer::Entry(number) && !self.is_held_back(link.entry, &name, false) {
                let (id, owner) = (link.id, link.entry);
                let mut frames = Vec::new();
                let link = &mut self.links[index];
                while link.to_peer.front().is_some_and(|(at, _)| *at <= now) {
                    frames.extend(link.to_peer.pop_front().filter(|_| link.peer_open));
                }
                for (_, frame) in frames {
                    self.on_owner_frame(number, id, owner, frame);
                }
            }
        }
        self.order_events(&mut events);
        for (index, (_, id, peer, frame)) in events.into_iter().enumerate() {
            if index % MAX_EVENTS == MAX_EVENTS - 1 {
                self.tick_owner(number);
            }
            let open = self.links.iter().any(|link| link.id == id && link.entry_open);
            if open {
                self.on_event(number, id, peer, frame);
            }
        }
    }

    /// Orders frames that wait: by arrival, connection by connection, or mixed at random. Frames of
    /// one connection stay in order.
    fn order_events(&mut self, events: &mut Vec<(u64, u64, Peer, ToOwner)>) {
        let mut links: Vec<u64> = events.iter().map(|(_, id, _, _)| *id).collect();
        let by_arrival = events.len() < 2 || self.rng.random_bool(0.4);
        if by_arrival {
            return events.sort_by_key(|(at, id, _, _)| (*at, *id));
        }
        links.shuffle(&mut self.rng);
        if self.rng.random_bool(0.5) {
            links.sort_by_key(|id| id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        }
        let mut ordered = Vec::new();
        for link in links {
            let position = events.iter().position(|(_, id, _, _)| *id == link);
            ordered.extend(position.map(|position| events.remove(position)));
        }
        *events = ordered;
    }

    fn on_event(&mut self, number: usize, id: u64, peer: Peer, frame: ToOwner) {
        let now = self.now;
        let name = peer_name(peer);
        let entry = &mut self.entries[number];
        match frame {
            ToOwner::Connected => match (peer, entry.owner.as_mut()) {
                (Peer::Entry(_), Some(_)) => {
                    if let Some(former) = entry.entry_links.insert(name, id) {
                        self.close_by_owner(former);
                    }
                }
                (Peer::Node(_), Some(owner)) if entry.mirror.nodes.contains_key(&name) => {
                    owner.on_connected(&name, id, now);
                }
                _ => self.close_by_owner(id),
            },
            ToOwner::Notice(notice) => {
                if let Some(owner) = entry.owner.as_mut() {
                    if let Notice::Superseded { epoch } = &*notice {
                        let line = format!("e{number}: {name} follows epoch {epoch}");
                        owner.on_notice(id, *notice, now);
                        return self.log(line);
                    }
                    owner.on_notice(id, *notice, now);
                }
            }
            ToOwner::Accepted { id, version, job } => self.on_accepted(number, &id, *job, version),
            ToOwner::Closed => {
                entry.entry_links.retain(|_, known| *known != id);
                if let Some(owner) = entry.owner.as_mut() {
                    owner.on_disconnected(id);
                }
                self.close_by_owner(id);
            }
        }
    }

    /// Handles a frame of the owner at another entry.
    fn on_owner_frame(&mut self, number: usize, id: u64, owner: usize, frame: ToPeer) {
        let now = self.now;
        let entry = &mut self.entries[number];
        let current = entry.owner_link.as_ref().is_some_and(|(known, _)| *known == id);
        match frame {
            ToPeer::Connected => {
                entry.election.on_owner_connected();
                entry.owner_link = Some((id, format!("e{owner}")));
            }
            ToPeer::Alive if current => entry.election.on_owner_heartbeat(now),
            ToPeer::HandOver { value, version } => self.on_hand_over(number, &value, version),
            ToPeer::Closed => {
                let holder = entry.mirror.owner.as_ref().map(|(owner, _)| owner.holder.clone());
                let known = entry.owner_link.take_if(|(known, _)| *known == id);
                if known.is_some_and(|(_, name)| Some(name) == holder) {
                    entry.election.on_owner_disconnected(now);
                    entry.feed.next_at = now;
                }
                if let Some(link) = self.links.iter_mut().find(|link| link.id == id) {
                    link.close_by_peer(now + 1);
                }
            }
            _ => {}
        }
    }

    fn close_by_owner(&mut self, id: u64) {
        let at = self.now + 1;
        if let Some(link) = self.links.iter_mut().find(|link| link.id == id) {
            link.close_by_owner(at);
        }
    }

    /// Carries out the owner's outputs.
    fn carry_out(&mut self, number: usize, outputs: Vec<Output>) {
        let mut deposed = None;
        for output in outputs {
            match output {
                Output::Send { link, order } => {
                    let at = self.arrival();
                    if let Some(link) = self.links.iter_mut().find(|known| known.id == link) {
                        link.send_to_peer(ToPeer::Order(order), at);
                    }
                }
                Output::Close { link } => self.close_by_owner(link),
                Output::Deposed { epoch } => deposed = Some(epoch),
                Output::Log { event, subject, detail } => {
                    self.log(format!("e{number} {event} {subject} {detail}"));
                }
                _ => {}
            }
        }
        if let Some(epoch) = deposed {
            self.depose(number, &format!("an agent follows epoch {epoch}"));
        }
    }

    fn tick_owner(&mut self, number: usize) {
        let (now, wall) = (self.now, self.wall(number));
        let Some(owner) = self.entries[number].owner.as_mut() else { return };
        owner.tick(now, wall);
        let outputs = owner.take_outputs();
        self.carry_out(number, outputs);
    }

    fn dial(&mut self, number: usize) {
        let now = self.now;
        let entry = &self.entries[number];
        let Some(owner) = entry.owner.as_ref() else { return };
        let is_due = |name: &str| entry.dials.get(name).is_none_or(|at| *at <= now);
        let is_connected = |name: &str, is_entry: bool| match is_entry {
            true => name == entry.name || entry.entry_links.contains_key(name),
            false => owner.is_connected(name),
        };
        let names: Vec<(String, bool)> = entry
            .mirror
            .nodes
            .iter()
            .filter(|(name, node)| !is_connected(name, node.entry) && is_due(name))
            .map(|(name, node)| (name.clone(), node.entry))
            .collect();
        for (name, is_entry) in names {
            self.entries[number].dials.insert(name.clone(), now + DIAL_RETRY_MS);
            let index = entry_number(&name);
            let peer = if is_entry { Peer::Entry(index) } else { Peer::Node(index) };
            let up = match peer {
                Peer::Entry(index) => self.entries[index].is_up(now),
                Peer::Node(index) => now >= self.nodes[index].frozen_until,
            };
            let reachable = [true, false].iter().all(|to| !self.is_held_back(number, &name, *to));
            if !up || !reachable {
                continue;
            }
            let id = self.next_id;
            self.next_id += 1;
            let mut link = Link {
                id,
                entry: number,
                peer,
                entry_open: true,
                peer_open: true,
                to_owner: Default::default(),
                to_peer: Default::default(),
            };
            link.send_to_owner(ToOwner::Connected, now + 3);
            link.send_to_peer(ToPeer::Connected, now + 3);
            self.links.push(link);
        }
    }

    fn send_heartbeats(&mut self, number: usize) {
        let now = self.now;
        let entry = &mut self.entries[number];
        if now < entry.last_heartbeat_at + HEARTBEAT_INTERVAL_MS {
            return;
        }
        entry.last_heartbeat_at = now;
        let links: Vec<u64> = entry.entry_links.values().copied().collect();
        for link in self.links.iter_mut().filter(|link| links.contains(&link.id)) {
            link.send_to_peer(ToPeer::Alive, now + 2);
        }
    }

    fn step_node(&mut self, number: usize) {
        let now = self.now;
        let (shortest, longest) = self.durations;
        let duration = self.rng.random_range(shortest..=longest);
        self.nodes[number].step(duration, &mut self.audit, now);
        if now < self.nodes[number].frozen_until {
            return;
        }
        let mut frames = Vec::new();
        let name = format!("w{number}");
        for index in 0..self.links.len() {
            let link = &self.links[index];
            if link.peer != Peer::Node(number) || self.is_held_back(link.entry, &name, false) {
                continue;
            }
            let link = &mut self.links[index];
            while link.to_peer.front().is_some_and(|(at, _)| *at <= now) {
                let Some((at, frame)) = link.to_peer.pop_front() else { break };
                frames.push((at, link.id, frame));
            }
        }
        frames.sort_by_key(|(at, id, _)| (*at, *id));
        for (_, id, frame) in frames {
            let open = self.links.iter().any(|link| link.id == id && link.peer_open);
            match frame {
                ToPeer::Order(order) if open => {
                    self.nodes[number].runner.on_order(id, order, now);
                }
                ToPeer::Closed if open => {
                    self.nodes[number].runner.on_disconnected(id);
                    self.close_by_peer(id);
                }
                _ => {}
            }
            self.carry_out_agent(number);
        }
        self.carry_out_agent(number);
        self.announce(number);
    }

    fn carry_out_agent(&mut self, number: usize) {
        let now = self.now;
        for output in self.nodes[number].runner.take_outputs() {
            match output {
                AgentOutput::Call { id, call } => {
                    self.nodes[number].send_call(id, call, now);
                }
                AgentOutput::Send { link, notice } => {
                    let at = self.arrival();
                    if let Some(link) = self.links.iter_mut().find(|known| known.id == link) {
                        link.send_to_owner(ToOwner::Notice(Box::new(notice)), at);
                    }
                }
                AgentOutput::Close { link } => self.close_by_peer(link),
            }
        }
    }

    fn close_by_peer(&mut self, id: u64) {
        let at = self.now + 8;
        if let Some(link) = self.links.iter_mut().find(|link| link.id == id) {
            link.close_by_peer(at);
        }
    }

    /// Writes the agent's row when that is due and the table answers.
    fn announce(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if now < node.next_announcement_at {
            return;
        }
        node.next_announcement_at = now + 50;
        let incarnations = node.runner.incarnation_count();
        let due = node.announcement.next_write(&node.runner, 0.5, now);
        if due.is_some_and(|at| at <= now) && now >= self.silent_until {
            let row = rows::Node { address: format!("10.0.0.{number}:1"), ..Default::default() };
            self.table.commit(&rows::announcement(&format!("w{number}"), &row));
            node.announcement.on_written(incarnations);
        }
    }
}

fn peer_name(peer: Peer) -> String {
    match peer {
        Peer::Node(number) => format!("w{number}"),
        Peer::Entry(number) => format!("e{number}"),
    }
}

/// The number in a process's name.
fn entry_number(name: &str) -> usize {
    name[1..].parse().expect("names end in a number")
}
