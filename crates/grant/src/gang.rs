//! Liveness checks between the members of a gang, without the owner.
//!
//! Each member reports to the gang's first member that it runs (`Pulse`), and the first member
//! replies that the gang is complete (`Whole`). If the first member receives nothing from a member
//! within the timeout, it stops the gang; if a member receives nothing from the first member, it
//! stops. Both frames also pass the start on: a member that runs proves that the start is recorded,
//! so a member that was granted its accelerators but missed the owner's start order starts as well.

use quincewheel_wire::{Attempt, Frame, LinkId};

use crate::grant::State;
use crate::grantor::Grantor;

impl Grantor {
    /// Sends the frames that are due to other members and stops gangs of which a member has timed
    /// out.
    pub(crate) fn check_gangs(&mut self) {
        let now = self.now;
        let this_worker = self.worker().to_owned();
        let mut due_pulses: Vec<(Attempt, String, String)> = Vec::new();
        let mut broken_gangs: Vec<(Attempt, String)> = Vec::new();
        for (attempt, grant) in &mut self.grants {
            if !grant.is_gang() || !grant.is_sound() {
                continue;
            }
            let is_first = grant.task.first() == this_worker;
            let first = grant.task.first().to_owned();
            let watched = grant.task.members.iter().filter(|(worker, _)| {
                if is_first { *worker != this_worker } else { *worker == first }
            });
            let watched: Vec<(String, String)> = watched.cloned().collect();
            for (worker, _) in &watched {
                let last_seen = grant.last_seen.entry(worker.clone()).or_insert(now);
                if now.saturating_sub(*last_seen) >= self.settings.gang_timeout {
                    *last_seen = now;
                    broken_gangs.push((*attempt, format!("member {worker} is silent")));
                }
            }
            if now >= grant.next_pulse {
                grant.next_pulse = now + self.settings.heartbeat_interval;
                due_pulses.extend(watched.into_iter().map(|(w, address)| (*attempt, w, address)));
            }
        }
        for (attempt, worker, address) in due_pulses {
            self.send_pulse(attempt, &worker, &address);
        }
        for (attempt, reason) in broken_gangs {
            self.stop_at_endpoint(attempt, std::time::Duration::ZERO, &reason);
            self.notify_broken_gang(attempt, &reason);
        }
    }

    /// Sends the liveness frame to a member, or dials it first.
    fn send_pulse(&mut self, attempt: Attempt, worker: &str, address: &str) {
        let Some(grant) = self.grants.get(&attempt) else { return };
        let is_first = grant.task.first() == self.worker();
        let Some(link) = self.link_to(attempt, worker) else {
            self.dial(address);
            return;
        };
        let done = !grant.is_active();
        let frame =
            if is_first { Frame::Whole { attempt, done } } else { Frame::Pulse { attempt, done } };
        self.send(link, frame);
    }

    fn link_to(&self, attempt: Attempt, worker: &str) -> Option<LinkId> {
        let grant = self.grants.get(&attempt)?;
        let recorded = grant.links.get(worker).copied();
        recorded
            .or_else(|| self.peers.iter().find(|(_, name)| *name == worker).map(|(link, _)| *link))
    }

    /// Returns the name of the agent at the other end of `link` if it is a member of the attempt.
    fn member_name(&self, link: LinkId, attempt: Attempt) -> Option<String> {
        let name = self.peers.get(&link)?;
        let grant = self.grants.get(&attempt)?;
        grant.task.members.iter().any(|(worker, _)| worker == name).then(|| name.clone())
    }

    /// Handles a member's frame that it runs, or, with `done`, that it has completed.
    pub(crate) fn on_pulse(&mut self, link: LinkId, attempt: Attempt, done: bool) {
        if self.on_member_running(link, attempt, done) {
            let done = self.grants.get(&attempt).is_some_and(|grant| !grant.is_active());
            self.send(link, Frame::Whole { attempt, done });
        }
    }

    /// Handles the first member's frame that the gang is complete; with `done`, that the first
    /// member has completed.
    pub(crate) fn on_whole(&mut self, link: LinkId, attempt: Attempt, done: bool) {
        self.on_member_running(link, attempt, done);
    }

    /// Records that a member runs and starts this worker's part if it was only prepared. Returns
    /// false, after sending `Broken` to the member, if this part does not run.
    fn on_member_running(&mut self, link: LinkId, attempt: Attempt, done: bool) -> bool {
        let Some(name) = self.member_name(link, attempt) else {
            let reason = "this member does not hold it".to_owned();
            self.send(link, Frame::Broken { attempt, reason });
            return false;
        };
        self.start(attempt);
        let last_seen = if done { std::time::Duration::MAX } else { self.now };
        let Some(grant) = self.grants.get_mut(&attempt) else { return false };
        grant.last_seen.insert(name.clone(), last_seen);
        grant.links.insert(name, link);
        let sound = grant.is_sound();
        if !sound {
            let reason = "this member has stopped".to_owned();
            self.send(link, Frame::Broken { attempt, reason });
        }
        sound
    }

    /// Handles a member's frame that the gang is broken.
    pub(crate) fn on_broken(&mut self, link: LinkId, attempt: Attempt, reason: &str) {
        if self.member_name(link, attempt).is_none() {
            return;
        }
        let running = self.grants.get(&attempt).is_some_and(|grant| grant.state == State::Running);
        if running {
            self.stop_at_endpoint(attempt, std::time::Duration::ZERO, reason);
            self.notify_broken_gang(attempt, reason);
        }
    }

    /// Sends `Broken` to all other members to which a connection is open.
    pub(crate) fn notify_broken_gang(&mut self, attempt: Attempt, reason: &str) {
        let Some(grant) = self.grants.get(&attempt) else { return };
        if !grant.is_gang() {
            return;
        }
        let this_worker = self.worker().to_owned();
        let others: Vec<String> = grant
            .task
            .members
            .iter()
            .map(|(w, _)| w.clone())
            .filter(|w| *w != this_worker)
            .collect();
        for worker in others {
            if let Some(link) = self.link_to(attempt, &worker) {
                self.send(link, Frame::Broken { attempt, reason: reason.to_owned() });
            }
        }
    }
}
