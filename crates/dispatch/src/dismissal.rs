//! Agents whose rows are being deleted or have been.
//!
//! A new owner waits only for agents that have rows. An agent without a row must get no work and no
//! lease, or a new owner would start its tasks a second time elsewhere.

use std::collections::BTreeMap;

use crate::agent::Agent;
use crate::output::Output;
use crate::owner::Owner;

/// State kept of dismissed agents until they announce themselves again.
#[derive(Debug, Default)]
pub(crate) struct Dismissal {
    agents: BTreeMap<String, DismissedAgent>,
}

#[derive(Clone, Copy, Debug)]
struct DismissedAgent {
    /// When all leases granted through the agent have expired, in milliseconds.
    leases_expire_at: u64,
    /// For how long its worker had owed an answer, in milliseconds.
    silent_ms: u64,
}

impl Dismissal {
    /// Returns whether the agent was dismissed and has not announced itself since.
    pub fn contains(&self, name: &str) -> bool {
        self.agents.contains_key(name)
    }

    /// Returns whether the agent was dismissed and all its leases have expired.
    pub fn has_lapsed(&self, name: &str, now: u64) -> bool {
        self.agents.get(name).is_some_and(|dismissed| now >= dismissed.leases_expire_at)
    }

    /// Restores the state of a dismissed agent that announces itself again. Its worker stays
    /// unresponsive until the first ping reports otherwise, so an old answer gets it no work.
    pub fn readmit(&mut self, name: &str, agent: Agent) -> Agent {
        let Some(dismissed) = self.agents.remove(name) else { return agent };
        Agent {
            leases_expire_at: agent.leases_expire_at.max(dismissed.leases_expire_at),
            silent_ms: dismissed.silent_ms,
            ..agent
        }
    }
}

impl Owner {
    /// Marks whether the rows of these agents are being deleted. Nothing starts there while the
    /// write is in flight, or a run could end up at an agent that is no member.
    pub(crate) fn set_removal_pending(&mut self, names: &[String], pending: bool) {
        for name in names {
            if let Some(agent) = self.agents.get_mut(name) {
                agent.removal_pending = pending;
                self.replan |= !pending;
            }
        }
    }

    /// Returns whether the agent was dismissed and has not announced itself since.
    pub fn is_dismissed(&self, name: &str) -> bool {
        self.dismissal.contains(name)
    }

    /// Handles the deletion of an agent's row, as read from the table's changes. The agent may
    /// have announced itself just before, with both changes read now.
    pub fn on_row_removed(&mut self, name: &str) {
        self.dismiss(name);
    }

    /// Removes an agent whose row was deleted. It must announce itself again to get work.
    pub(crate) fn dismiss(&mut self, name: &str) {
        self.attribute_crash(name);
        let Some(agent) = self.agents.remove(name) else { return };
        agent.worker.iter().for_each(|worker| self.forget_worker(&worker.incarnation()));
        self.log("agent dismissed", name, "no connection or worker".to_owned());
        let dismissed =
            DismissedAgent { leases_expire_at: agent.leases_expire_at, silent_ms: agent.silent_ms };
        self.dismissal.agents.insert(name.to_owned(), dismissed);
        if let Some(link) = agent.link {
            self.links.remove(&link);
            self.outputs.push(Output::Close { link });
        }
    }
}
