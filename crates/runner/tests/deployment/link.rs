//! A connection between the owner and an agent.

use std::collections::VecDeque;

use quincewheel_wire::{Notice, Order};

/// What arrives at an end of a connection.
pub enum Arrival<F> {
    Frame(F),
    Closed,
}

/// Frames on their way in one direction, with the times of their arrival.
pub struct Direction<F> {
    /// The receiver has not closed its end.
    pub open: bool,
    /// Frames are lost.
    pub severed: bool,
    frames: VecDeque<(u64, Arrival<F>)>,
}

impl<F> Direction<F> {
    fn new() -> Direction<F> {
        Direction { open: true, severed: false, frames: VecDeque::new() }
    }

    /// Sends a frame that arrives at `at`, but after all earlier ones.
    pub fn send(&mut self, arrival: Arrival<F>, at: u64) {
        let last = self.frames.back().map_or(0, |(at, _)| *at);
        if !self.severed {
            self.frames.push_back((at.max(last), arrival));
        }
    }

    /// Delays all frames in transit.
    pub fn delay(&mut self, until: u64) {
        for (at, _) in &mut self.frames {
            *at = until.max(*at);
        }
    }

    /// Removes the next frame that has arrived.
    pub fn receive(&mut self, now: u64) -> Option<Arrival<F>> {
        if !self.open || self.frames.front().is_none_or(|(at, _)| *at > now) {
            return None;
        }
        let (_, arrival) = self.frames.pop_front()?;
        if matches!(arrival, Arrival::Closed) {
            self.open = false;
        }
        Some(arrival)
    }
}

/// A connection between the owner and an agent.
pub struct Link {
    pub id: u64,
    pub host: usize,
    pub to_agent: Direction<Order>,
    pub to_owner: Direction<Notice>,
}

impl Link {
    pub fn new(id: u64, host: usize) -> Link {
        Link { id, host, to_agent: Direction::new(), to_owner: Direction::new() }
    }

    /// Returns whether either end is open.
    pub fn is_open(&self) -> bool {
        self.to_agent.open || self.to_owner.open
    }
}
