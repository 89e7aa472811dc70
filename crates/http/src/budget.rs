use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::phase::Phase;

/// Number of a connection.
pub type Id = u64;

/// A set of connections that share a maximum.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Group(usize);

/// The connections and the bytes of bodies that a server may hold.
///
/// When it is full, the connection that makes the least progress gives way. It has no sockets and
/// no clock; times are milliseconds from any origin.
#[derive(Debug)]
pub struct Budget {
    maxima: Vec<usize>,
    connections: BTreeMap<Id, Held>,
    next_id: Id,
    max_body_bytes: usize,
    body_bytes: usize,
}

#[derive(Debug)]
struct Held {
    group: Group,
    phase: Phase,
    since: u64,
    progressed_at: u64,
    /// Bytes received or sent in this phase.
    moved: usize,
    body_bytes: usize,
}

/// The result of [`Budget::charge`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Charge {
    /// Whether the connection may hold the bytes.
    pub is_granted: bool,
    /// The connections that gave way.
    pub displaced: Vec<Id>,
}

/// No room could be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full;

/// Bytes per millisecond below which a request falls behind. A client that gives up after 3 s
/// sends the largest body five times as fast.
const MIN_PACE: u64 = 16;
/// Milliseconds after which a request or a reply that is not complete is given up.
const TRANSFER_TIMEOUT_MS: u64 = 10_000;

impl Held {
    /// Returns for how long the connection has not done its part, in milliseconds; `None` while the
    /// server is to act.
    fn lag(&self, now: u64) -> Option<u64> {
        let behind = now.saturating_sub(self.since).saturating_sub(self.moved as u64 / MIN_PACE);
        let still = now.saturating_sub(self.progressed_at);
        match self.phase {
            Phase::Serving => None,
            Phase::Idle => Some(still),
            Phase::Receiving | Phase::Replying => Some(still.max(behind)),
        }
    }
}

impl Budget {
    /// Creates a budget of this many bytes of bodies, without a group.
    pub fn new(max_body_bytes: usize) -> Budget {
        Budget {
            maxima: Vec::new(),
            connections: BTreeMap::new(),
            next_id: 0,
            max_body_bytes,
            body_bytes: 0,
        }
    }

    /// Adds a group of at most `max` connections.
    pub fn add_group(&mut self, max: usize) -> Group {
        self.maxima.push(max);
        Group(self.maxima.len() - 1)
    }

    /// Opens a connection. Returns its number, and the connection that gave way, if one had to.
    ///
    /// Fails if all connections of the group wait for the server.
    pub fn open(&mut self, group: Group, now: u64) -> Result<(Id, Option<Id>), Full> {
        let mut displaced = None;
        if self.connections(group) >= self.maxima[group.0] {
            let slowest = self.slowest(now, |held| held.group == group);
            let (id, _) = slowest.ok_or(Full)?;
            self.close(id);
            displaced = Some(id);
        }
        let id = self.next_id;
        self.next_id += 1;
        let (phase, since) = (Phase::Idle, now);
        let held = Held { group, phase, since, progressed_at: now, moved: 0, body_bytes: 0 };
        self.connections.insert(id, held);
        Ok((id, displaced))
    }

    /// Closes a connection and gives back what it holds. Does nothing if it is closed already.
    pub fn close(&mut self, id: Id) {
        if let Some(held) = self.connections.remove(&id) {
            self.body_bytes -= held.body_bytes;
        }
    }

    /// Begins a phase of a connection.
    pub fn enter(&mut self, id: Id, phase: Phase, now: u64) {
        if let Some(held) = self.connections.get_mut(&id) {
            (held.phase, held.since, held.progressed_at, held.moved) = (phase, now, now, 0);
        }
    }

    /// Records that a connection received or sent some bytes.
    pub fn progress(&mut self, id: Id, bytes: usize, now: u64) {
        if let Some(held) = self.connections.get_mut(&id) {
            held.moved += bytes;
            held.progressed_at = now;
        }
    }

    /// Charges a connection for bytes of a body, unless the budget is full of bodies that make at
    /// least as much progress. What the connection was charged before remains in any case.
    pub fn charge(&mut self, id: Id, bytes: usize, now: u64) -> Charge {
        let mut displaced = Vec::new();
        let own = self.connections.get(&id).map(|held| held.lag(now).unwrap_or(0));
        while self.body_bytes + bytes > self.max_body_bytes {
            match self.slowest(now, |held| held.body_bytes > 0) {
                Some((other, lag)) if own.is_some_and(|own| lag > own) => {
                    self.close(other);
                    displaced.push(other);
                }
                _ => return Charge { is_granted: false, displaced },
            }
        }
        let held = self.connections.get_mut(&id);
        let is_granted = held.is_some();
        if let Some(held) = held {
            held.body_bytes += bytes;
            self.body_bytes += bytes;
        }
        Charge { is_granted, displaced }
    }

    /// Separates what a connection was charged from it, as its body outlives it. The caller gives
    /// the bytes back by [`Budget::release`].
    pub fn detach(&mut self, id: Id) -> usize {
        let held = self.connections.get_mut(&id);
        held.map_or(0, |held| std::mem::take(&mut held.body_bytes))
    }

    /// Gives back bytes that were detached.
    pub fn release(&mut self, bytes: usize) {
        self.body_bytes -= bytes;
    }

    /// Closes and returns the connections whose request or reply takes too long.
    pub fn expire(&mut self, now: u64) -> Vec<Id> {
        let is_late = |held: &Held| {
            let is_moving = matches!(held.phase, Phase::Receiving | Phase::Replying);
            is_moving && now.saturating_sub(held.since) > TRANSFER_TIMEOUT_MS
        };
        let late: Vec<Id> =
            self.connections.iter().filter(|(_, held)| is_late(held)).map(|(id, _)| *id).collect();
        late.iter().for_each(|id| self.close(*id));
        late
    }

    /// Returns whether a request or a reply is incomplete.
    pub fn has_transfers(&self) -> bool {
        let is_moving = |held: &Held| matches!(held.phase, Phase::Receiving | Phase::Replying);
        self.connections.values().any(is_moving)
    }

    /// Returns whether a connection is not idle.
    pub fn is_busy(&self) -> bool {
        self.connections.values().any(|held| held.phase != Phase::Idle)
    }

    /// Returns the number of open connections of a group.
    pub fn connections(&self, group: Group) -> usize {
        self.connections.values().filter(|held| held.group == group).count()
    }

    /// Returns the bytes of bodies that are held.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns the connection with the longest lag, of several the oldest, among those that `is_meant` selects.
    fn slowest(&self, now: u64, is_meant: impl Fn(&Held) -> bool) -> Option<(Id, u64)> {
        let meant = self.connections.iter().filter(|(_, held)| is_meant(held));
        meant
            .filter_map(|(id, held)| Some((*id, held.lag(now)?)))
            .min_by_key(|(_, lag)| Reverse(*lag))
    }
}
