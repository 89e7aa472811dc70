use std::time::Duration;

use quincewheel_schema::v1::OwnerRow;
use quincewheel_store::{Commit, Error, Expect, Op, Put, Read, Reply};
use quincewheel_wire::{Ask, Frame, Hello, LinkId};

use crate::context::{Context, Waiter};
use crate::owner::Owner;
use crate::rows::OWNER;

/// A node that does not own the shard: it forwards calls to the owner, and
/// takes over when the owner is silent and its row no longer moves.
///
/// Two signs are asked for because each alone is wrong at times: the link can
/// be cut while the owner serves everyone else, and the row stands still while
/// the table is slow.
pub(crate) struct Follower {
    row: Option<OwnerRow>,
    version: u64,
    /// Since when the row has had this version.
    unchanged: Duration,
    known: bool,
    link: Option<LinkId>,
    heard: Duration,
    dialling: Option<Duration>,
    next_dial: Duration,
    pending: Option<Pending>,
    next_read: Duration,
    failing: bool,
    /// What this node wrote to take over, to recognize a lost answer.
    claim: Option<OwnerRow>,
}

enum Pending {
    Reading { id: u64, at: Duration },
    Taking { id: u64, at: Duration },
}

const READ_EVERY: Duration = Duration::from_millis(300);
/// An answer that never comes is given up after this time.
const ANSWER: Duration = Duration::from_secs(4);
/// A process that is no longer the owner closes at once; it is not called
/// again sooner than this.
const REDIAL: Duration = Duration::from_millis(500);
const DIAL: Duration = Duration::from_secs(3);

impl Follower {
    pub fn new(now: Duration) -> Follower {
        Follower {
            row: None,
            version: 0,
            unchanged: now,
            known: false,
            link: None,
            heard: now,
            dialling: None,
            next_dial: now,
            pending: None,
            next_read: now,
            failing: false,
            claim: None,
        }
    }

    /// True if the owner is connected.
    pub fn attached(&self) -> bool {
        self.link.is_some()
    }

    pub fn store_failing(&self) -> bool {
        self.failing
    }

    pub fn linked(&mut self, cx: &mut Context, link: LinkId, _hello: &Hello, dialled: &str) {
        let wanted = self.row.as_ref().is_some_and(|row| row.address == dialled);
        if dialled.is_empty() || !wanted {
            cx.close(link, "not the owner");
            return;
        }
        self.link = Some(link);
        self.heard = cx.now;
        self.dialling = None;
        cx.send(link, Frame::Beat { epoch: self.epoch(), configuration: cx.config.version() });
        self.forward_all(cx);
    }

    pub fn unlinked(&mut self, cx: &mut Context, link: LinkId) {
        if self.link == Some(link) {
            self.link = None;
            self.next_read = cx.now;
            // The row must stand still from now on, not since it was last read.
            self.known = false;
        }
    }

    /// Drops the connection to the owner, if there is one.
    pub fn detach(&mut self, cx: &mut Context, reason: &'static str) {
        if let Some(link) = self.link {
            cx.close(link, reason);
            self.unlinked(cx, link);
        }
    }

    pub fn undialled(&mut self, address: &str) {
        if self.row.as_ref().is_some_and(|row| row.address == address) {
            self.dialling = None;
        }
    }

    pub fn heard(&mut self, cx: &mut Context, link: LinkId) {
        if self.link == Some(link) {
            self.heard = cx.now;
        }
    }

    /// Takes a new call: forwards it, or keeps it until an owner is found.
    pub fn ask(&mut self, cx: &mut Context, call: u64) {
        match self.link {
            Some(link) => self.forward(cx, link, call),
            // With the table down nobody can take over: waiting has no point.
            None if self.failing => {
                let text = "no owner is reachable and the table service does not answer";
                cx.unavailable(&Waiter::Local(call), text);
            }
            None => {}
        }
    }

    pub fn tick(&mut self, cx: &mut Context, draining: bool) {
        let now = cx.now;
        if let Some(link) = self.link {
            if now.saturating_sub(self.heard) >= cx.settings.connection_timeout {
                self.detach(cx, "owner silent");
            } else {
                self.beat(cx, link);
            }
        }
        if let Some(Pending::Reading { at, .. } | Pending::Taking { at, .. }) = self.pending
            && now.saturating_sub(at) >= ANSWER
        {
            self.pending = None;
            self.failing = true;
        }
        if self.link.is_none() {
            self.seek(cx, draining);
        }
        self.give_up(cx);
    }

    fn beat(&mut self, cx: &mut Context, link: LinkId) {
        if cx.now >= self.next_read {
            self.next_read = cx.now + cx.settings.heartbeat_interval;
            cx.send(link, Frame::Beat { epoch: self.epoch(), configuration: cx.config.version() });
        }
    }

    /// Looks for the owner, or becomes it.
    fn seek(&mut self, cx: &mut Context, draining: bool) {
        if self.pending.is_some() {
            return;
        }
        let released = self.row.as_ref().is_none_or(|row| row.address.is_empty());
        let still = cx.now.saturating_sub(self.unchanged) >= cx.settings.takeover_timeout;
        if self.known && !draining && !self.failing && (released || still) {
            self.take(cx);
            return;
        }
        if cx.now >= self.next_read {
            self.next_read = cx.now + READ_EVERY;
            let read = Read { prefix: OWNER.to_owned(), after: String::new(), limit: 1 };
            let id = cx.store(Op::Read(read));
            self.pending = Some(Pending::Reading { id, at: cx.now });
        }
    }

    /// Writes this node into the ownership row, if the row is still the one
    /// that was read.
    fn take(&mut self, cx: &mut Context) {
        let row = OwnerRow {
            holder: format!("{}/{:x}", cx.settings.name, cx.settings.incarnation),
            address: cx.settings.address.clone(),
            epoch: self.epoch() + 1,
            sequence: 0,
        };
        let value = serde_json::to_string(&row).expect("rows are plain data");
        let commit = Commit {
            expect: vec![Expect { key: OWNER.to_owned(), version: self.version }],
            put: vec![Put { key: OWNER.to_owned(), value }],
            delete: Vec::new(),
        };
        self.claim = Some(row);
        let id = cx.store(Op::Commit(commit));
        self.pending = Some(Pending::Taking { id, at: cx.now });
    }

    /// Takes an answer of the table. Returns the owner that this node became.
    pub fn on_store(
        &mut self,
        cx: &mut Context,
        id: u64,
        result: &Result<Reply, Error>,
    ) -> Option<Owner> {
        let taking = match self.pending {
            Some(Pending::Reading { id: wanted, .. }) if wanted == id => false,
            Some(Pending::Taking { id: wanted, .. }) if wanted == id => true,
            _ => return None,
        };
        self.pending = None;
        match result {
            Ok(Reply::Committed(version)) if taking => {
                let row = self.claim.take()?;
                Some(Owner::open(cx, row, *version))
            }
            Ok(Reply::Page(page)) => {
                self.failing = false;
                let row = page.rows.iter().find(|row| row.key == OWNER);
                let parsed = row.and_then(|row| serde_json::from_str(&row.value).ok());
                self.read(cx, parsed, row.map_or(0, |row| row.version))
            }
            Err(Error::Conflict { .. }) => {
                self.next_read = cx.now;
                self.known = false;
                None
            }
            _ => {
                // An unclear take-over is settled by the next read.
                self.failing = true;
                self.known = false;
                self.next_read = cx.now + READ_EVERY;
                None
            }
        }
    }

    fn read(&mut self, cx: &mut Context, row: Option<OwnerRow>, version: u64) -> Option<Owner> {
        if let (Some(row), Some(claim)) = (&row, &self.claim)
            && row == claim
        {
            let row = row.clone();
            return Some(Owner::open(cx, row, version));
        }
        if !self.known || version != self.version {
            self.unchanged = cx.now;
        }
        self.known = true;
        self.version = version;
        self.row = row;
        let address = self.row.as_ref().map_or("", |row| row.address.as_str());
        let dialling = self.dialling.is_some_and(|at| cx.now.saturating_sub(at) < DIAL);
        let other = !address.is_empty() && address != cx.settings.address;
        if other && !dialling && cx.now >= self.next_dial {
            self.dialling = Some(cx.now);
            self.next_dial = cx.now + REDIAL;
            cx.out.push(crate::output::Output::Dial { address: address.to_owned() });
        }
        None
    }

    fn epoch(&self) -> u64 {
        self.row.as_ref().map_or(0, |row| row.epoch)
    }

    fn forward_all(&mut self, cx: &mut Context) {
        let Some(link) = self.link else { return };
        let calls: Vec<u64> = cx.calls.keys().copied().collect();
        for call in calls {
            self.forward(cx, link, call);
        }
    }

    fn forward(&mut self, cx: &mut Context, link: LinkId, call: u64) {
        let now = cx.now;
        let Some(pending) = cx.calls.get_mut(&call) else { return };
        let mut ask = pending.again();
        let left = pending.until.saturating_sub(now);
        match &mut ask {
            Ask::Submit(job) => job.deadline = left,
            Ask::Wait { deadline, .. } => *deadline = left,
            _ => {}
        }
        pending.sent = Some(link);
        cx.send(link, Frame::Ask { call, ask });
    }

    /// Refuses calls for which no owner was found in time.
    fn give_up(&mut self, cx: &mut Context) {
        if self.link.is_some() {
            return;
        }
        let now = cx.now;
        let bound = cx.settings.failover_timeout;
        // Time counts from when the call came or the owner was last heard.
        let heard = self.heard;
        let late: Vec<u64> = cx
            .calls
            .iter()
            .filter(|(_, call)| now >= call.arrived.max(heard) + bound)
            .map(|(id, _)| *id)
            .collect();
        for call in late {
            let text = "no owner was found; nothing is known of earlier calls with this \
                        request id, ask again with the same one";
            cx.unavailable(&Waiter::Local(call), text);
        }
    }
}
