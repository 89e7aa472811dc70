use std::time::Duration;

use quincewheel_schema::v1::OwnerRow;
use quincewheel_store::{Commit, Error, Expect, Op, Put, Read, Reply};
use quincewheel_wire::{Ask, Frame, Hello, LinkId};

use crate::context::{Context, Waiter};
use crate::owner::Owner;
use crate::rows::OWNER_KEY;

/// A node that does not own the shard. It forwards calls to the owner, and takes
/// over when the owner is unreachable and its row does not change.
///
/// Each condition alone can be wrong: the connection may be cut while the owner
/// serves everyone else, and the row does not change while the table is slow.
pub(crate) struct Follower {
    row: Option<OwnerRow>,
    version: u64,
    /// When the row was first read at this version.
    unchanged_since: Duration,
    row_is_current: bool,
    link: Option<LinkId>,
    last_seen: Duration,
    dialled_at: Option<Duration>,
    next_dial_at: Duration,
    pending: Option<Pending>,
    /// When the next read of the row, or the next heartbeat to the owner, is due.
    next_send_at: Duration,
    store_failing: bool,
    /// The row that this node wrote to take over; it identifies a commit whose reply
    /// was lost.
    claim: Option<OwnerRow>,
}

enum Pending {
    Reading { id: u64, sent_at: Duration },
    Claiming { id: u64, sent_at: Duration },
}

const READ_INTERVAL: Duration = Duration::from_millis(300);
/// A read or commit without a reply counts as failed after this time.
const STORE_REPLY_TIMEOUT: Duration = Duration::from_secs(4);
/// A process that is no longer the owner closes the connection at once; it is
/// dialled again only after this delay.
const REDIAL_DELAY: Duration = Duration::from_millis(500);
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);

impl Follower {
    pub fn new(now: Duration) -> Follower {
        Follower {
            row: None,
            version: 0,
            unchanged_since: now,
            row_is_current: false,
            link: None,
            last_seen: now,
            dialled_at: None,
            next_dial_at: now,
            pending: None,
            next_send_at: now,
            store_failing: false,
            claim: None,
        }
    }

    /// Returns true if this node is connected to the owner.
    pub fn is_attached(&self) -> bool {
        self.link.is_some()
    }

    pub fn is_store_failing(&self) -> bool {
        self.store_failing
    }

    pub fn on_connected(&mut self, cx: &mut Context, link: LinkId, _hello: &Hello, dialled: &str) {
        let wanted = self.row.as_ref().is_some_and(|row| row.address == dialled);
        if dialled.is_empty() || !wanted {
            cx.close(link, "not the owner");
            return;
        }
        self.link = Some(link);
        self.last_seen = cx.now;
        self.dialled_at = None;
        cx.send(link, Frame::Beat { epoch: self.epoch(), configuration: cx.config.version() });
        self.forward_all(cx);
    }

    pub fn on_disconnected(&mut self, cx: &mut Context, link: LinkId) {
        if self.link == Some(link) {
            self.link = None;
            self.next_send_at = cx.now;
            // The row must stay unchanged from now on, not from its last read.
            self.row_is_current = false;
        }
    }

    /// Closes the connection to the owner, if there is one.
    pub fn detach(&mut self, cx: &mut Context, reason: &'static str) {
        if let Some(link) = self.link {
            cx.close(link, reason);
            self.on_disconnected(cx, link);
        }
    }

    pub fn on_dial_failed(&mut self, address: &str) {
        if self.row.as_ref().is_some_and(|row| row.address == address) {
            self.dialled_at = None;
        }
    }

    pub fn record_contact(&mut self, cx: &mut Context, link: LinkId) {
        if self.link == Some(link) {
            self.last_seen = cx.now;
        }
    }

    /// Forwards a new call, or queues it until an owner is found.
    pub fn on_call(&mut self, cx: &mut Context, call: u64) {
        match self.link {
            Some(link) => self.forward(cx, link, call),
            // While the table is down no node can take over, so the call is refused at once.
            None if self.store_failing => {
                let text = "no owner is reachable and the table service does not answer";
                cx.unavailable(&Waiter::Local(call), text);
            }
            None => {}
        }
    }

    pub fn tick(&mut self, cx: &mut Context, draining: bool) {
        let now = cx.now;
        if let Some(link) = self.link {
            if now.saturating_sub(self.last_seen) >= cx.settings.connection_timeout {
                self.detach(cx, "owner silent");
            } else {
                self.send_heartbeat(cx, link);
            }
        }
        if let Some(Pending::Reading { sent_at, .. } | Pending::Claiming { sent_at, .. }) =
            self.pending
            && now.saturating_sub(sent_at) >= STORE_REPLY_TIMEOUT
        {
            self.pending = None;
            self.store_failing = true;
        }
        if self.link.is_none() {
            self.find_owner(cx, draining);
        }
        self.expire_calls(cx);
    }

    fn send_heartbeat(&mut self, cx: &mut Context, link: LinkId) {
        if cx.now >= self.next_send_at {
            self.next_send_at = cx.now + cx.settings.heartbeat_interval;
            cx.send(link, Frame::Beat { epoch: self.epoch(), configuration: cx.config.version() });
        }
    }

    /// Reads the ownership row to find the owner, or claims ownership.
    fn find_owner(&mut self, cx: &mut Context, draining: bool) {
        if self.pending.is_some() {
            return;
        }
        let released = self.row.as_ref().is_none_or(|row| row.address.is_empty());
        let stalled = cx.now.saturating_sub(self.unchanged_since) >= cx.settings.takeover_timeout;
        if self.row_is_current && !draining && !self.store_failing && (released || stalled) {
            self.claim_ownership(cx);
            return;
        }
        if cx.now >= self.next_send_at {
            self.next_send_at = cx.now + READ_INTERVAL;
            let read = Read { prefix: OWNER_KEY.to_owned(), after: String::new(), limit: 1 };
            let id = cx.store(Op::Read(read));
            self.pending = Some(Pending::Reading { id, sent_at: cx.now });
        }
    }

    /// Writes this node into the ownership row, provided that the row is unchanged
    /// since it was read.
    fn claim_ownership(&mut self, cx: &mut Context) {
        let row = OwnerRow {
            holder: format!("{}/{:x}", cx.settings.name, cx.settings.incarnation),
            address: cx.settings.address.clone(),
            epoch: self.epoch() + 1,
            sequence: 0,
        };
        let value = serde_json::to_string(&row).expect("rows are plain data");
        let commit = Commit {
            expect: vec![Expect { key: OWNER_KEY.to_owned(), version: self.version }],
            put: vec![Put { key: OWNER_KEY.to_owned(), value }],
            delete: Vec::new(),
        };
        self.claim = Some(row);
        let id = cx.store(Op::Commit(commit));
        self.pending = Some(Pending::Claiming { id, sent_at: cx.now });
    }

    /// Handles a reply of the table. Returns the owner if this node became it.
    pub fn on_store_reply(
        &mut self,
        cx: &mut Context,
        id: u64,
        result: &Result<Reply, Error>,
    ) -> Option<Owner> {
        let is_claim = match self.pending {
            Some(Pending::Reading { id: wanted, .. }) if wanted == id => false,
            Some(Pending::Claiming { id: wanted, .. }) if wanted == id => true,
            _ => return None,
        };
        self.pending = None;
        match result {
            Ok(Reply::Committed(version)) if is_claim => {
                let row = self.claim.take()?;
                Some(Owner::new(cx, row, *version))
            }
            Ok(Reply::Page(page)) => {
                self.store_failing = false;
                let row = page.rows.iter().find(|row| row.key == OWNER_KEY);
                let parsed = row.and_then(|row| serde_json::from_str(&row.value).ok());
                self.on_owner_row(cx, parsed, row.map_or(0, |row| row.version))
            }
            Err(Error::Conflict { .. }) => {
                self.next_send_at = cx.now;
                self.row_is_current = false;
                None
            }
            _ => {
                // A claim with an unknown result is resolved by the next read.
                self.store_failing = true;
                self.row_is_current = false;
                self.next_send_at = cx.now + READ_INTERVAL;
                None
            }
        }
    }

    fn on_owner_row(
        &mut self,
        cx: &mut Context,
        row: Option<OwnerRow>,
        version: u64,
    ) -> Option<Owner> {
        if let (Some(row), Some(claim)) = (&row, &self.claim)
            && row == claim
        {
            let row = row.clone();
            return Some(Owner::new(cx, row, version));
        }
        if !self.row_is_current || version != self.version {
            self.unchanged_since = cx.now;
        }
        self.row_is_current = true;
        self.version = version;
        self.row = row;
        let address = self.row.as_ref().map_or("", |row| row.address.as_str());
        let is_dialling = self
            .dialled_at
            .is_some_and(|dialled_at| cx.now.saturating_sub(dialled_at) < DIAL_TIMEOUT);
        let is_remote = !address.is_empty() && address != cx.settings.address;
        if is_remote && !is_dialling && cx.now >= self.next_dial_at {
            self.dialled_at = Some(cx.now);
            self.next_dial_at = cx.now + REDIAL_DELAY;
            cx.outputs.push(crate::output::Output::Dial { address: address.to_owned() });
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
        let mut ask = pending.for_resend();
        let left = pending.expires_at.saturating_sub(now);
        match &mut ask {
            Ask::Submit(job) => job.deadline = left,
            Ask::Wait { deadline, .. } => *deadline = left,
            _ => {}
        }
        pending.forwarded_on = Some(link);
        cx.send(link, Frame::Ask { call, ask });
    }

    /// Refuses calls for which no owner was found in time.
    fn expire_calls(&mut self, cx: &mut Context) {
        if self.link.is_some() {
            return;
        }
        let now = cx.now;
        let timeout = cx.settings.failover_timeout;
        // The timeout runs from the later of the call's arrival and the owner's last
        // frame.
        let last_seen = self.last_seen;
        let expired: Vec<u64> = cx
            .calls
            .iter()
            .filter(|(_, call)| now >= call.arrived_at.max(last_seen) + timeout)
            .map(|(id, _)| *id)
            .collect();
        for call in expired {
            let text = "no owner was found; nothing is known of earlier calls with this \
                        request id, ask again with the same one";
            cx.unavailable(&Waiter::Local(call), text);
        }
    }
}
