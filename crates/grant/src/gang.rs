//! A gang keeps itself whole without its owner.
//!
//! Members tell the gang's first member that they run (pulse), and the first
//! tells them that the gang is whole. A member not heard for a while stops all;
//! a first member not heard stops the rest. Both messages also carry the start:
//! a member that runs proves that the start is recorded, so that one that was
//! granted but missed the owner's word starts too.

use quincewheel_wire::{Attempt, Frame, LinkId};

use crate::grantor::Grantor;
use crate::held::State;

impl Grantor {
    /// Sends what is due to other members and stops gangs that are not whole.
    pub(crate) fn watch_gangs(&mut self) {
        let now = self.now;
        let me = self.worker().to_owned();
        let mut due: Vec<(Attempt, String, String)> = Vec::new();
        let mut broken: Vec<(Attempt, String)> = Vec::new();
        for (attempt, held) in &mut self.held {
            if !held.gang() || !held.sound() {
                continue;
            }
            let lead = held.task.first() == me;
            let first = held.task.first().to_owned();
            let watched = held
                .task
                .members
                .iter()
                .filter(|(worker, _)| if lead { *worker != me } else { *worker == first });
            let watched: Vec<(String, String)> = watched.cloned().collect();
            for (worker, _) in &watched {
                let heard = held.heard.entry(worker.clone()).or_insert(now);
                if now.saturating_sub(*heard) >= self.settings.gang_timeout {
                    *heard = now;
                    broken.push((*attempt, format!("member {worker} is silent")));
                }
            }
            if now >= held.next_pulse {
                held.next_pulse = now + self.settings.heartbeat_interval;
                due.extend(watched.into_iter().map(|(w, address)| (*attempt, w, address)));
            }
        }
        for (attempt, worker, address) in due {
            self.pulse(attempt, &worker, &address);
        }
        for (attempt, reason) in broken {
            self.halt(attempt, std::time::Duration::ZERO, &reason);
            self.break_gang(attempt, &reason);
        }
    }

    fn pulse(&mut self, attempt: Attempt, worker: &str, address: &str) {
        let Some(held) = self.held.get(&attempt) else { return };
        let lead = held.task.first() == self.worker();
        let Some(link) = self.link_to(attempt, worker) else {
            self.dial(address);
            return;
        };
        let done = !held.live();
        let frame =
            if lead { Frame::Whole { attempt, done } } else { Frame::Pulse { attempt, done } };
        self.send(link, frame);
    }

    fn link_to(&self, attempt: Attempt, worker: &str) -> Option<LinkId> {
        let held = self.held.get(&attempt)?;
        let known = held.links.get(worker).copied();
        known.or_else(|| self.peers.iter().find(|(_, name)| *name == worker).map(|(link, _)| *link))
    }

    /// True if the connection's other end is a member of the attempt.
    fn member(&self, link: LinkId, attempt: Attempt) -> Option<String> {
        let name = self.peers.get(&link)?;
        let held = self.held.get(&attempt)?;
        held.task.members.iter().any(|(worker, _)| worker == name).then(|| name.clone())
    }

    /// A member runs, or has run to its end.
    pub(crate) fn pulsed(&mut self, link: LinkId, attempt: Attempt, done: bool) {
        if self.heard_member(link, attempt, done) {
            let done = self.held.get(&attempt).is_some_and(|held| !held.live());
            self.send(link, Frame::Whole { attempt, done });
        }
    }

    /// The first member runs, or has run to its end, and so does the gang.
    pub(crate) fn whole(&mut self, link: LinkId, attempt: Attempt, done: bool) {
        self.heard_member(link, attempt, done);
    }

    /// Notes that a member was heard and starts with it. False if this part
    /// does not run: the other one is told to stop.
    fn heard_member(&mut self, link: LinkId, attempt: Attempt, done: bool) -> bool {
        let Some(name) = self.member(link, attempt) else {
            let reason = "this member does not hold it".to_owned();
            self.send(link, Frame::Broken { attempt, reason });
            return false;
        };
        self.go(attempt);
        let heard = if done { std::time::Duration::MAX } else { self.now };
        let Some(held) = self.held.get_mut(&attempt) else { return false };
        held.heard.insert(name.clone(), heard);
        held.links.insert(name, link);
        let sound = held.sound();
        if !sound {
            let reason = "this member has stopped".to_owned();
            self.send(link, Frame::Broken { attempt, reason });
        }
        sound
    }

    /// Another member says that the gang is broken.
    pub(crate) fn broken(&mut self, link: LinkId, attempt: Attempt, reason: &str) {
        if self.member(link, attempt).is_none() {
            return;
        }
        let running = self.held.get(&attempt).is_some_and(|held| held.state == State::Running);
        if running {
            self.halt(attempt, std::time::Duration::ZERO, reason);
            self.break_gang(attempt, reason);
        }
    }

    /// Tells all other members that can be reached to stop.
    pub(crate) fn break_gang(&mut self, attempt: Attempt, reason: &str) {
        let Some(held) = self.held.get(&attempt) else { return };
        if !held.gang() {
            return;
        }
        let me = self.worker().to_owned();
        let others: Vec<String> =
            held.task.members.iter().map(|(w, _)| w.clone()).filter(|w| *w != me).collect();
        for worker in others {
            if let Some(link) = self.link_to(attempt, &worker) {
                self.send(link, Frame::Broken { attempt, reason: reason.to_owned() });
            }
        }
    }
}
