//! Agents whose rows are dropped, or were.
//!
//! A later owner waits for agents that have rows. An agent without one must get no work
//! and no lease: a later owner would start elsewhere what runs there.

use std::collections::BTreeMap;

use crate::agent::Agent;
use crate::output::Output;
use crate::owner::Owner;

/// What stays of agents that were dismissed, until they announce themselves.
#[derive(Debug, Default)]
pub(crate) struct Dismissal {
    former: BTreeMap<String, Former>,
}

#[derive(Clone, Copy, Debug)]
struct Former {
    /// All leases that were granted through the agent have lapsed by then.
    lapse: u64,
    /// For how long its worker had owed an answer.
    silent: u64,
}

impl Dismissal {
    /// True if the agent was dismissed and has not announced itself since.
    pub fn holds(&self, name: &str) -> bool {
        self.former.contains_key(name)
    }

    /// True if all that ran at a dismissed agent has lapsed.
    pub fn lapsed(&self, name: &str, now: u64) -> bool {
        self.former.get(name).is_some_and(|former| now >= former.lapse)
    }

    /// What is known of an agent that announces itself again. Its worker gets nothing
    /// new on the strength of an old answer: the first ping tells how silent it is.
    pub fn recall(&mut self, name: &str, agent: Agent) -> Agent {
        let Some(former) = self.former.remove(name) else { return agent };
        Agent {
            leases_expire_at: agent.leases_expire_at.max(former.lapse),
            silent_ms: former.silent,
            ..agent
        }
    }
}

impl Owner {
    /// The rows of these agents are about to be dropped. Nothing starts there while
    /// the write is under way, or a run would belong to no member once it is done.
    pub(crate) fn begin_dismissal(&mut self, names: &[String], begun: bool) {
        for name in names {
            if let Some(agent) = self.agents.get_mut(name) {
                agent.removal_pending = begun;
                self.replan |= !begun;
            }
        }
    }

    /// True if the agent was dismissed and has not announced itself since.
    pub fn is_dismissed(&self, name: &str) -> bool {
        self.dismissal.holds(name)
    }

    /// The table's feed tells that an agent's row was dropped. The agent may have
    /// announced itself just before that, and the feed told it just now.
    pub fn unlisted(&mut self, name: &str) {
        self.dismiss(name);
    }

    /// An agent's row is gone: it must announce itself before work goes there.
    pub(crate) fn dismiss(&mut self, name: &str) {
        self.blame_crash(name);
        let Some(agent) = self.agents.remove(name) else { return };
        self.log("agent dismissed", name, "no connection or worker".to_owned());
        let former = Former { lapse: agent.leases_expire_at, silent: agent.silent_ms };
        self.dismissal.former.insert(name.to_owned(), former);
        if let Some(link) = agent.link {
            self.links.remove(&link);
            self.outputs.push(Output::Close { link });
        }
    }
}
