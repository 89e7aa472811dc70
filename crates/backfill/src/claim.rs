use quincewheel_job::Resources;
use quincewheel_place::WorkerIndex;

use crate::turn::Turn;

/// Workers that are claimed for a gang, from a planned start on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The gang's place in the order of claims.
    pub turn: Turn,
    /// The claimed workers in ascending order, and the number of tasks for each.
    pub workers: Vec<(WorkerIndex, u32)>,
    /// The claimed rack, if the gang requires a single one.
    pub rack: Option<String>,
    /// The resources that each task needs.
    pub need: Resources,
    /// The planned start.
    pub start: u64,
    /// The expected end of the gang.
    pub until: u64,
    /// Later work that is expected to run beyond this time must leave the claimed capacity. This
    /// is the planned start, or the one that was planned when the workers were claimed first if
    /// that is earlier: otherwise work that takes longer than expected could put the start off
    /// again and again.
    pub closes_at: u64,
    /// Whether these are the workers that the gang had claimed before.
    pub kept: bool,
    /// The runs that are expected to end before, as numbered by the caller, with their ends.
    pub basis: Vec<(usize, u64)>,
}

impl Claim {
    /// True if a step must leave the claimed capacity to the gang: it is not covered by a
    /// guarantee, and has a lower priority, or the same one and was accepted later. A late gang does
    /// not hold up work of its priority that is in time and at least as large: only smaller work
    /// could starve it by filling each gap.
    pub fn binds(&self, step: &Turn) -> bool {
        let gang = &self.turn;
        let yields = gang.late && !step.late && step.accelerators >= gang.accelerators;
        let same = step.priority == gang.priority && step.version > gang.version && !yields;
        step.borrowed && (step.priority > gang.priority || same)
    }

    /// The number of claimed accelerators.
    pub fn accelerators(&self) -> u64 {
        let tasks: u64 = self.workers.iter().map(|(_, tasks)| u64::from(*tasks)).sum();
        tasks * self.need.accelerators
    }
}
