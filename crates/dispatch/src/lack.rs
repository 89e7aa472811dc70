use crate::agent::Agent;
use crate::settings::Settings;

/// What keeps runs from starting at an agent's worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Lack {
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

impl Lack {
    /// What is missing first; none if the worker is open.
    pub fn of(agent: &Agent, settings: &Settings, now: u64) -> Option<Lack> {
        let draining = agent.worker.as_ref().is_some_and(|worker| worker.draining);
        let lacks = [
            (agent.link.is_none() || agent.dropping, Lack::Link),
            (agent.worker.is_none() || agent.left, Lack::Worker),
            (!agent.fenced, Lack::Answer),
            (agent.crash.is_some(), Lack::Broke),
            (agent.blame.until > 0, Lack::Blame),
            (agent.refusals.until > 0, Lack::Refusing),
            (agent.cordoned || agent.doomed, Lack::Maintenance),
            (agent.evacuated, Lack::Evacuated),
            (draining, Lack::Draining),
            (agent.silent >= settings.unresponsive_after, Lack::Silent),
            (!agent.leased(settings, now), Lack::Lease),
        ];
        lacks.into_iter().find(|(holds, _)| *holds).map(|(_, lack)| lack)
    }

    /// Its words in the log.
    pub fn name(self) -> &'static str {
        match self {
            Lack::Link => "no connection",
            Lack::Worker => "no worker known",
            Lack::Answer => "worker has not answered",
            Lack::Broke => "broke its connections",
            Lack::Blame => "closed after failures",
            Lack::Maintenance => "maintenance",
            Lack::Evacuated => "zone evacuated",
            Lack::Draining => "draining",
            Lack::Silent => "silent",
            Lack::Lease => "no lease",
            Lack::Refusing => "refuses starts",
        }
    }
}
