//! Logs the members that a new owner waits for before it starts older jobs.

use crate::close_reason::CloseReason;
use crate::owner::Owner;
use crate::wait_detail::list;
use crate::waits::MIN_LOGGED_WAIT_MS;

/// Shortest time between two log lines about the members.
const MEMBER_LOG_INTERVAL_MS: u64 = 1000;
/// Shortest time between two scans of the members. An owner ticks with each report, and each scan
/// covers all members.
const MEMBER_SCAN_INTERVAL_MS: u64 = 100;

/// What was last logged of the members that an owner waits for.
#[derive(Debug, Default)]
pub(crate) struct SettlementLog {
    /// The members, with the reason why each is closed.
    logged: Vec<(String, CloseReason)>,
    /// When the members are next scanned.
    next_scan_at: u64,
}

impl Owner {
    /// Logs which members older jobs wait for, and why: one line for all jobs.
    pub(crate) fn log_unsettled(&mut self, now: u64) {
        let waited = now - self.claimed_at;
        if self.settled || waited < MIN_LOGGED_WAIT_MS || now < self.settlement_log.next_scan_at {
            return;
        }
        let members = self.awaited_members(now);
        if members == self.settlement_log.logged {
            self.settlement_log.next_scan_at = now + MEMBER_SCAN_INTERVAL_MS;
            return;
        }
        self.settlement_log.next_scan_at = now + MEMBER_LOG_INTERVAL_MS;
        let steps = self.prune_held_back();
        if steps == 0 {
            return;
        }
        let names =
            members.iter().map(|(name, reason)| format!("{name} {}", reason.name())).collect();
        let names = list(names);
        self.log("unsettled", "", format!("{waited} ms; {steps} older steps wait for {names}"));
        self.settlement_log.logged = members;
    }

    /// Returns the members that may still run tasks started by a previous owner, with the reason
    /// why each is closed.
    pub(crate) fn awaited_members(&self, now: u64) -> Vec<(String, CloseReason)> {
        let (last, lease) = self.predecessor_grants();
        let agents = self
            .agents
            .iter()
            .filter(|(_, agent)| !agent.is_clear_of_predecessors(last, lease, now));
        let reason = |agent| {
            CloseReason::of(agent, &self.settings, self.now).unwrap_or(CloseReason::NoAnswer)
        };
        agents.map(|(name, agent)| (name.clone(), reason(agent))).collect()
    }
}
