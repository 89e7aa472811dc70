//! Kinds of runs.

use crate::proxy::Mode;

/// Which faults a run injects. A seed reproduces a failure only with the kind that it failed with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Faults of processes, connections and the table, and restarts of workers.
    Faults,
    /// Also, tasks crash their workers, workers lose capacity for a while, every second worker
    /// does not check its own capacity, and the platform lists machines.
    Workers,
    /// Also, workers restart under the same ids with counters reset, starts are carried out late
    /// without a reply, and at the end everything loses power at the same moment. A restarted
    /// worker never carries out what it received before.
    Restarts,
    /// Also, operators evacuate availability zones.
    Evacuations,
    /// Also, one team submits far more work than fits, workers fail all that they start while they
    /// report themselves healthy, and the owner is killed while gangs wait.
    Load,
    /// Workers shut down gracefully or crash, and come back under other ids; their calls get no
    /// reply, resets or refusals while they run on, or are carried out late; processes are paused
    /// or killed, and connections to the table break. The faults last for seconds, and many
    /// overlap. Also, the worker faults of [`Kind::Workers`].
    Departures,
}

impl Kind {
    /// Returns its name on the command line and in names of runs.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Faults => "faults",
            Kind::Workers => "workers",
            Kind::Restarts => "restarts",
            Kind::Evacuations => "evacuations",
            Kind::Load => "load",
            Kind::Departures => "departures",
        }
    }

    /// Returns whether the worker faults of [`Kind::Workers`] are injected.
    pub fn harms_workers(self) -> bool {
        self != Kind::Faults
    }

    /// Returns whether workers keep their ids when they restart.
    pub fn keeps_ids(self) -> bool {
        matches!(self, Kind::Restarts | Kind::Evacuations | Kind::Load)
    }

    /// Returns whether operators evacuate availability zones.
    pub fn evacuates(self) -> bool {
        self == Kind::Evacuations
    }

    /// Returns whether workers leave, and faults last for seconds and overlap.
    pub fn departs(self) -> bool {
        self == Kind::Departures
    }

    /// Returns what happens to the connections of a worker that is down; nothing where it just does
    /// not reply.
    pub fn downtime_mode(self) -> Option<Mode> {
        match self {
            Kind::Faults | Kind::Workers => None,
            Kind::Restarts | Kind::Evacuations | Kind::Load => Some(Mode::Reset),
            Kind::Departures => Some(Mode::Refused),
        }
    }

    /// Returns whether the deployment is overloaded, with failing workers.
    pub fn overloads(self) -> bool {
        self == Kind::Load
    }
}
