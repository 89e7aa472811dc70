//! Connections of an entry to agents and to other entries. Frames arrive in order; a network
//! partition holds them back.

use std::collections::VecDeque;

use quincewheel_job::Job;
use quincewheel_wire::{Notice, Order};

/// The other end of an entry's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Peer {
    Node(usize),
    Entry(usize),
}

/// A frame to the entry that dialled.
#[derive(Clone, Debug)]
pub enum ToOwner {
    Connected,
    Notice(Box<Notice>),
    Accepted { id: String, version: u64, job: Box<Job> },
    Closed,
}

/// A frame from the entry that dialled.
#[derive(Clone, Debug)]
pub enum ToPeer {
    Connected,
    Order(Order),
    Alive,
    HandOver { value: String, version: u64 },
    Closed,
}

/// A connection that an owner dialled.
pub struct Link {
    pub id: u64,
    pub entry: usize,
    pub peer: Peer,
    /// Whether the owner has not closed its end.
    pub entry_open: bool,
    /// Whether the peer has not closed its end.
    pub peer_open: bool,
    /// Frames with the time at which they arrive.
    pub to_owner: VecDeque<(u64, ToOwner)>,
    pub to_peer: VecDeque<(u64, ToPeer)>,
}

impl Link {
    pub fn send_to_owner(&mut self, frame: ToOwner, at: u64) {
        if self.peer_open {
            let at = self.to_owner.back().map_or(at, |(last, _)| at.max(*last));
            self.to_owner.push_back((at, frame));
        }
    }

    pub fn send_to_peer(&mut self, frame: ToPeer, at: u64) {
        if self.entry_open {
            let at = self.to_peer.back().map_or(at, |(last, _)| at.max(*last));
            self.to_peer.push_back((at, frame));
        }
    }

    pub fn close_by_owner(&mut self, at: u64) {
        self.send_to_peer(ToPeer::Closed, at);
        self.entry_open = false;
    }

    pub fn close_by_peer(&mut self, at: u64) {
        self.send_to_owner(ToOwner::Closed, at);
        self.peer_open = false;
    }
}
