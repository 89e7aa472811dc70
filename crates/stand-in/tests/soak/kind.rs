//! Kinds of runs.

/// What goes wrong in a run. A seed that once failed belongs to the kind that it failed in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Processes, connections, the table, and workers by themselves.
    Faults,
    /// Besides, tasks crash their workers, workers lose room for a while, every second of which
    /// does not check for itself, and the platform lists machines.
    Workers,
    /// Besides, workers start again under the ids that they had, with counts that start anew,
    /// starts are carried out late without an answer, and at the end everything loses power at
    /// the same moment. What a worker has not carried out when it starts again it never does.
    Restarts,
    /// Besides, operators evacuate availability zones.
    Evacuations,
}

impl Kind {
    /// Its word on the command line and in names of runs.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Faults => "faults",
            Kind::Workers => "workers",
            Kind::Restarts => "restarts",
            Kind::Evacuations => "evacuations",
        }
    }

    /// True if workers go wrong as [`Kind::Workers`] tells.
    pub fn harms_workers(self) -> bool {
        self != Kind::Faults
    }

    /// True if workers keep their ids.
    pub fn keeps_ids(self) -> bool {
        matches!(self, Kind::Restarts | Kind::Evacuations)
    }

    /// True if operators evacuate availability zones.
    pub fn evacuates(self) -> bool {
        self == Kind::Evacuations
    }
}
