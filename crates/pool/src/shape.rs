use serde::{Deserialize, Serialize};

use crate::adjacency::Adjacency;

/// A gang: `tasks` tasks that run together, each on `accelerators` adjacent
/// accelerators of one worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Shape {
    /// Number of tasks.
    pub tasks: u32,
    /// Accelerators per task.
    pub accelerators: u32,
    /// How close together the tasks must run.
    pub adjacency: Adjacency,
}

impl Shape {
    /// Most tasks in one gang.
    pub const MAX_TASKS: u32 = 256;
    /// Most accelerators per task: a whole worker of the largest kind.
    pub const MAX_ACCELERATORS: u32 = 8;

    /// A gang of `tasks` tasks with `accelerators` each.
    pub fn new(tasks: u32, accelerators: u32, adjacency: Adjacency) -> Shape {
        Shape { tasks, accelerators, adjacency }
    }

    /// Accelerators in the cell of one task, rounded up to a power of two: only aligned powers of two
    /// stay adjacent when cells are split and merged again.
    pub fn cell_size(&self) -> u32 {
        self.accelerators.next_power_of_two()
    }

    /// Accelerators of the whole gang.
    pub fn total_accelerators(&self) -> u32 {
        self.tasks * self.cell_size()
    }

    /// True if a guarantee of `self` covers a job of shape `other`: the same gang with the same or a
    /// weaker adjacency. If it covered smaller jobs, these could be placed such that the whole shape
    /// no longer fits when they have ended.
    pub fn covers(&self, other: &Shape) -> bool {
        self.tasks == other.tasks
            && self.cell_size() == other.cell_size()
            && self.adjacency >= other.adjacency
    }
}
