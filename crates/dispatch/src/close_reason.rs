use crate::agent::Agent;
use crate::settings::Settings;

/// What keeps runs from starting at an agent's worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CloseReason {
    Link,
    Worker,
    Answer,
    Broke,
    Blame,
    Maintenance,
    Evacuated,
    Draining,
    Silent,
    Lease,
    Refusing,
}

impl CloseReason {
    /// What is missing first; none if the worker is open.
    pub fn of(agent: &Agent, settings: &Settings, now: u64) -> Option<CloseReason> {
        let draining = agent.worker.as_ref().is_some_and(|worker| worker.draining);
        let lacks = [
            (agent.link.is_none() || agent.removal_pending, CloseReason::Link),
            (agent.worker.is_none() || agent.worker_left, CloseReason::Worker),
            (!agent.fenced, CloseReason::Answer),
            (agent.crash.is_some(), CloseReason::Broke),
            (agent.blame.until > 0, CloseReason::Blame),
            (agent.refusals.until > 0, CloseReason::Refusing),
            (agent.cordoned || agent.shutdown_requested, CloseReason::Maintenance),
            (agent.zone_evacuated, CloseReason::Evacuated),
            (draining, CloseReason::Draining),
            (agent.silent_ms >= settings.unresponsive_after, CloseReason::Silent),
            (!agent.has_lease(settings, now), CloseReason::Lease),
        ];
        lacks.into_iter().find(|(holds, _)| *holds).map(|(_, lack)| lack)
    }

    /// Its words in the log.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Link => "no connection",
            CloseReason::Worker => "no worker known",
            CloseReason::Answer => "worker has not answered",
            CloseReason::Broke => "broke its connections",
            CloseReason::Blame => "closed after failures",
            CloseReason::Maintenance => "maintenance",
            CloseReason::Evacuated => "zone evacuated",
            CloseReason::Draining => "draining",
            CloseReason::Silent => "silent",
            CloseReason::Lease => "no lease",
            CloseReason::Refusing => "refuses starts",
        }
    }
}
