//! Agents as members: connections, leases, and what is taken for gone with them.

use quincewheel_wire::{LinkId, Order};

use crate::agent::Agent;
use crate::entry::Placement;
use crate::output::Output;
use crate::owner::Owner;

impl Owner {
    /// An agent exists. Those known at a takeover must be heard, or their
    /// leases lapse, before work of the former owner starts again.
    pub fn agent(&mut self, name: &str, now: u64) {
        let lapse = match now.saturating_sub(self.claimed_at) {
            // Known since the takeover: the former owner may have granted a
            // lease up to the moment at which it was replaced.
            0..=1000 => self.claimed_at + self.settings.lease + self.settings.margin,
            _ => 0,
        };
        let former = lapse > 0;
        let agent = Agent {
            predecessor_leases: former,
            leases_expire_at: lapse,
            joined_at: now,
            last_notice_at: now,
            ..Agent::default()
        };
        if !self.agents.contains_key(name) {
            let agent = self.dismissal.recall(name, agent);
            self.agents.insert(name.to_owned(), agent);
        }
    }

    /// A connection to an agent was opened.
    pub fn linked(&mut self, agent: &str, link: LinkId, now: u64) {
        if self.dismissal.holds(agent) {
            // It was dialled before its row was known to be gone, or has not announced
            // itself yet. As long as an owner speaks to it, it never would.
            return self.outputs.push(Output::Close { link });
        }
        self.agent(agent, now);
        let epoch = self.epoch;
        if let Some(known) = self.agents.get_mut(agent) {
            known.last_notice_at = now;
            known.fenced = false;
            if let Some(former) = known.link.replace(link) {
                self.links.remove(&former);
                self.outputs.push(Output::Close { link: former });
            }
            self.links.insert(link, agent.to_owned());
            self.send(link, Order::Claim { epoch });
            self.tell_evacuation(link);
        }
    }

    /// A connection is gone.
    pub fn unlinked(&mut self, link: LinkId) {
        if let Some(name) = self.links.remove(&link)
            && let Some(agent) = self.agents.get_mut(&name)
        {
            agent.link = None;
            agent.fenced = false;
            self.log("agent lost", &name, String::new());
        }
    }

    /// Grants a lease from the moment at which the agent asked for it.
    ///
    /// An owner that the table has not confirmed for a while may have been
    /// replaced without knowing. It goes on only while it speaks to most
    /// agents, as a new owner cannot then reach them, and waits for them.
    ///
    /// Where the worker has owed an answer for long, the lease counts from that answer,
    /// at the agent as here: no renewal is known to have arrived since. Counted from the
    /// agent's word, which lives beside a dead worker for as long as it has for shutting
    /// down, what ran there was held for a lease longer: 19 s instead of 10.
    pub(crate) fn grant(&mut self, name: &str, link: LinkId, stamp: u64, silent: u64, now: u64) {
        let bound = self.settings.fresh;
        let heard = |agent: &&Agent| agent.link.is_some() && now <= agent.last_notice_at + bound;
        let most = self.agents.values().filter(heard).count() * 2 > self.agents.len();
        let unconfirmed = now.saturating_sub(self.confirmed_at);
        if unconfirmed > self.settings.autonomy
            || (unconfirmed > self.settings.unconfirmed && !most)
        {
            return;
        }
        let Some(agent) = self.agents.get_mut(name) else { return };
        let age = if silent >= self.settings.overdue { silent } else { 0 };
        let lapse = (now + self.settings.lease + self.settings.margin).saturating_sub(age);
        self.replan |= !agent.has_lease(&self.settings, now);
        agent.leases_expire_at = agent.leases_expire_at.max(lapse);
        self.send(link, Order::Grant { stamp: stamp.saturating_sub(age) });
    }

    /// Takes note of how long a worker has owed an answer. One that answers again
    /// takes work again, though nothing else has changed.
    pub(crate) fn hear(&mut self, name: &str, silent: u64) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        let mute = self.settings.mute;
        self.replan |= agent.silent_ms >= mute && silent < mute;
        agent.silent_ms = silent;
    }

    /// Closes connections on which nothing comes any more. A connection may
    /// stay open without carrying anything while a new one would; only the
    /// missing pings show it.
    pub(crate) fn close_silent(&mut self, now: u64) {
        let bound = self.settings.silence;
        let silent = self.agents.values().filter(|agent| now > agent.last_notice_at + bound);
        let links: Vec<LinkId> = silent.filter_map(|agent| agent.link).collect();
        for link in links {
            self.unlinked(link);
            self.outputs.push(Output::Close { link });
        }
    }

    /// Takes runs for gone whose leases have lapsed without a word.
    pub(crate) fn lapse(&mut self, now: u64) {
        let bound = self.settings.lease + self.settings.margin;
        let mut lost = Vec::new();
        for (name, agent) in &self.agents {
            let unlinked = agent.link.is_none() && now >= agent.leases_expire_at;
            let unknown = agent.no_worker_since.is_some_and(|since| now >= since + bound);
            if unlinked || unknown || agent.silent_ms >= bound {
                lost.push(name.clone());
            }
        }
        self.lapse_dismissed(now);
        for name in lost {
            self.blame_crash(&name);
            // What began since is not covered by the silence.
            let old = |placed: &Placement| placed.agent == name && now >= placed.started_at + bound;
            for (id, key) in self.runs_where(old) {
                self.log("run lapsed", &id, format!("{key:?} at {name}"));
                self.remove_run(&id, key);
            }
        }
    }

    /// Takes runs for gone whose agents are no members any more.
    fn lapse_dismissed(&mut self, now: u64) {
        for (id, key) in self.runs_where(|placed| self.dismissal.lapsed(&placed.agent, now)) {
            self.log("run lapsed", &id, format!("{key:?}: its agent is no member"));
            self.remove_run(&id, key);
        }
    }

    /// True if there is a connection to the agent.
    pub fn is_linked(&self, agent: &str) -> bool {
        self.agents.get(agent).is_some_and(|agent| agent.link.is_some())
    }

    /// All connections to agents.
    pub fn links(&self) -> Vec<LinkId> {
        self.links.keys().copied().collect()
    }
}
