//! Membership of agents: connections, leases, and runs lost with them.

use quincewheel_wire::{LinkId, Order};

use crate::agent::Agent;
use crate::output::Output;
use crate::owner::Owner;
use crate::placement::{Phase, Placement};

impl Owner {
    /// Adds an agent that has a row in the table.
    ///
    /// Agents added within a second after the takeover may hold leases of the previous owner. They
    /// must answer, or their leases expire, before work of the previous owner is restarted.
    pub fn add_agent(&mut self, name: &str, now: u64) {
        let leases_expire_at = match now.saturating_sub(self.claimed_at) {
            // Known since the takeover: the previous owner may have granted a lease until it
            // was replaced.
            0..=1000 => self.claimed_at + self.settings.lease + self.settings.lease_margin,
            _ => 0,
        };
        let predecessor_leases = leases_expire_at > 0;
        let agent = Agent {
            predecessor_leases,
            leases_expire_at,
            joined_at: now,
            last_notice_at: now,
            ..Agent::default()
        };
        if !self.agents.contains_key(name) {
            let agent = self.dismissal.readmit(name, agent);
            self.agents.insert(name.to_owned(), agent);
        }
    }

    /// Handles a new connection to an agent: claims it under this owner's epoch and replaces any
    /// earlier connection.
    pub fn on_connected(&mut self, agent: &str, link: LinkId, now: u64) {
        if self.dismissal.contains(agent) {
            // The connection was opened before the removal of the agent's row was known, or the
            // agent has not announced itself again yet, which it never does while connected.
            return self.outputs.push(Output::Close { link });
        }
        self.add_agent(agent, now);
        let epoch = self.epoch;
        if let Some(known) = self.agents.get_mut(agent) {
            known.last_notice_at = now;
            known.fenced = false;
            if let Some(previous) = known.link.replace(link) {
                self.links.remove(&previous);
                self.outputs.push(Output::Close { link: previous });
            }
            self.links.insert(link, agent.to_owned());
            self.send(link, Order::Claim { epoch });
            self.send_evacuation(link);
        }
    }

    /// Handles the loss of a connection.
    pub fn on_disconnected(&mut self, link: LinkId) {
        if let Some(name) = self.links.remove(&link)
            && let Some(agent) = self.agents.get_mut(&name)
        {
            agent.link = None;
            agent.fenced = false;
            self.log("agent lost", &name, String::new());
        }
    }

    /// Grants a lease that starts when the agent requested it, at `stamp` by the agent's clock.
    ///
    /// An owner that the table has not confirmed recently may have been replaced without
    /// knowing. It then grants leases only while it is connected to a majority of agents: a new
    /// owner cannot reach those and waits for them.
    ///
    /// If the worker has owed an answer for `silent` milliseconds and that is overdue, the lease
    /// counts from its last answer, here and at the agent, since no renewal is known to have
    /// arrived after it. An agent may outlive its worker by its whole shutdown time; counting from
    /// the agent's request would hold the runs of a dead worker for one lease longer, 19 s instead
    /// of 10 s.
    pub(crate) fn grant_lease(
        &mut self,
        name: &str,
        link: LinkId,
        stamp: u64,
        silent: u64,
        now: u64,
    ) {
        let bound = self.settings.quorum_age;
        // An agent that has only been dialled may follow a later owner already.
        let reachable = |agent: &&Agent| {
            agent.link.is_some() && agent.fenced && now <= agent.last_notice_at + bound
        };
        let quorum = self.agents.values().filter(reachable).count() * 2 > self.agents.len();
        let unconfirmed = now.saturating_sub(self.confirmed_at);
        if !self.trusts_notices()
            || unconfirmed > self.settings.grants_stop_after
            || (unconfirmed > self.settings.quorum_after && !quorum)
        {
            return;
        }
        let Some(agent) = self.agents.get_mut(name) else { return };
        let age = if silent >= self.settings.answer_overdue { silent } else { 0 };
        let lapse = (now + self.settings.lease + self.settings.lease_margin).saturating_sub(age);
        self.replan |= !agent.has_lease(&self.settings, now);
        agent.leases_expire_at = agent.leases_expire_at.max(lapse);
        agent.has_full_grant |= age == 0;
        self.send(link, Order::Grant { stamp: stamp.saturating_sub(age) });
    }

    /// Records for how long a worker has owed an answer, in milliseconds. A worker that answers
    /// again becomes schedulable, so planning is triggered.
    pub(crate) fn update_silence(&mut self, name: &str, silent: u64) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        let bound = self.settings.unresponsive_after;
        self.replan |= agent.silent_ms >= bound && silent < bound;
        agent.silent_ms = silent;
    }

    /// Closes connections without traffic for `connection_timeout`. A connection may stay open
    /// without carrying data while a new one would; only the missing pings reveal it.
    pub(crate) fn close_silent_connections(&mut self, now: u64) {
        let bound = self.settings.connection_timeout;
        let silent = self.agents.values().filter(|agent| now > agent.last_notice_at + bound);
        let links: Vec<LinkId> = silent.filter_map(|agent| agent.link).collect();
        for link in links {
            self.on_disconnected(link);
            self.outputs.push(Output::Close { link });
        }
    }

    /// Drops runs at workers whose leases have expired without a sign of life.
    pub(crate) fn expire_leases(&mut self, now: u64) {
        let bound = self.settings.lease + self.settings.lease_margin;
        let mut unresponsive = Vec::new();
        let mut lapsed = Vec::new();
        for (name, agent) in &self.agents {
            let expired = now >= agent.leases_expire_at;
            let disconnected = agent.link.is_none() && expired;
            // The agent may have found its worker while disconnected, and have used its last grant.
            let without_worker =
                expired && agent.no_worker_since.is_some_and(|since| now >= since + bound);
            if disconnected || without_worker || agent.silent_ms >= bound {
                unresponsive.push(name.clone());
            }
            if disconnected && agent.has_full_grant {
                lapsed.push(name.clone());
            }
        }
        self.expire_dismissed(now);
        for name in unresponsive {
            self.attribute_crash(&name);
            // Runs that started later are not covered by this silence.
            let ordered_at = |placed: &Placement| match placed.phase {
                Phase::Starting => placed.updated_at,
                Phase::Running | Phase::Stopping => placed.started_at,
            };
            // A start that this owner has ordered without an answer needs no time of its own. The agent
            // accepts it only under a lease that was granted before, and all of them have ended.
            let leases_ended = lapsed.contains(&name);
            let covered = |placed: &Placement| {
                let unconfirmed = leases_ended && placed.confirmed_at.is_none();
                placed.agent == name && (unconfirmed || now >= ordered_at(placed) + bound)
            };
            let lease = self.lease_detail(&name, now);
            let follows = self.follows_owner(&name, now);
            for (id, key) in self.runs_where(covered) {
                self.log("run lapsed", &id, format!("{key:?} at {name}{lease}"));
                match follows {
                    true => self.remove_run(&id, key),
                    false => self.assume_over(&id, key, now),
                }
            }
        }
    }

    /// Drops runs at dismissed agents whose leases have expired.
    fn expire_dismissed(&mut self, now: u64) {
        for (id, key) in self.runs_where(|placed| self.dismissal.has_lapsed(&placed.agent, now)) {
            self.log("run lapsed", &id, format!("{key:?}: its agent was dismissed"));
            self.assume_over(&id, key, now);
        }
    }

    /// Returns whether the agent has told this owner lately what it knows, so that it followed no
    /// later owner.
    pub(crate) fn follows_owner(&self, name: &str, now: u64) -> bool {
        let told = |agent: &Agent| {
            agent.link.is_some() && now <= agent.last_notice_at + self.settings.quorum_age
        };
        self.trusts_notices() && self.agents.get(name).is_some_and(told)
    }

    /// Returns whether the agent has an open connection.
    pub fn is_connected(&self, agent: &str) -> bool {
        self.agents.get(agent).is_some_and(|agent| agent.link.is_some())
    }

    /// Returns all connections to agents.
    pub fn links(&self) -> Vec<LinkId> {
        self.links.keys().copied().collect()
    }
}
