use crate::agent::Agent;
use crate::settings::Settings;

/// Why a worker is closed, so that no runs may start there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CloseReason {
    /// The agent is not connected, or is being removed from the members.
    NoConnection,
    /// The agent has no worker, or its worker has ended.
    NoWorker,
    /// The worker has not answered under this owner's epoch.
    NoAnswer,
    /// The worker has broken its connections just after starts, and may have crashed.
    ConnectionsBroken,
    /// The machine is about to go down for maintenance.
    Maintenance,
    /// Operators evacuate the worker's availability zone.
    ZoneEvacuated,
    /// The worker is draining.
    Draining,
    /// The worker is late with an answer.
    Silent,
    /// A start would find no valid lease.
    NoLease,
    /// The worker is in backoff after it refused a start.
    RefusesStarts,
}

impl CloseReason {
    /// Returns the first reason that applies to the agent's worker, or none if it is open.
    pub fn of(agent: &Agent, settings: &Settings, now: u64) -> Option<CloseReason> {
        let draining = agent.worker.as_ref().is_some_and(|worker| worker.draining);
        let reasons = [
            (agent.link.is_none() || agent.removal_pending, CloseReason::NoConnection),
            (agent.worker.is_none() || agent.worker_left, CloseReason::NoWorker),
            (!agent.fenced, CloseReason::NoAnswer),
            (agent.suspected_crash.is_some(), CloseReason::ConnectionsBroken),
            (agent.refusals.until > 0, CloseReason::RefusesStarts),
            (agent.cordoned || agent.shutdown_requested, CloseReason::Maintenance),
            (agent.zone_evacuated, CloseReason::ZoneEvacuated),
            (draining, CloseReason::Draining),
            (agent.silent_ms >= settings.unresponsive_after, CloseReason::Silent),
            (!agent.has_lease(settings, now), CloseReason::NoLease),
        ];
        reasons.into_iter().find(|(holds, _)| *holds).map(|(_, reason)| reason)
    }

    /// Returns the reason as it is logged.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::NoConnection => "no connection",
            CloseReason::NoWorker => "no worker known",
            CloseReason::NoAnswer => "worker has not answered",
            CloseReason::ConnectionsBroken => "broke its connections",
            CloseReason::Maintenance => "maintenance",
            CloseReason::ZoneEvacuated => "zone evacuated",
            CloseReason::Draining => "draining",
            CloseReason::Silent => "silent",
            CloseReason::NoLease => "no lease",
            CloseReason::RefusesStarts => "refuses starts",
        }
    }
}
