use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// Tasks of one kind within a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each task takes.
    pub need: Resources,
    /// The client's rough estimate of a task's run time, in milliseconds.
    pub estimate: u64,
    /// Earlier steps, by number from 0, that must be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// The tasks save their progress and can resume from it.
    pub checkpoints: bool,
    /// The tasks run only all together.
    pub gang: bool,
    /// The tasks run slower when spread over racks.
    pub same_rack: bool,
    /// A label that the worker must have; empty for any worker.
    pub label: String,
    /// The rack that holds the data; elsewhere the tasks run slower.
    pub near: String,
    /// Most tasks on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Copies of one task may run at the same time.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub perpetual: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Bound of the response time of a perpetual task, in milliseconds; 0 for none.
    pub target: u64,
    /// The tasks use processors that others leave idle; `need.cpu` is not counted.
    pub fills: bool,
    /// Tasks of a perpetual step that the system may take down at one time.
    pub may_miss: u32,
}

impl Step {
    /// What a task takes from a worker's capacity.
    pub fn resources(&self) -> Resources {
        let cpu = if self.fills { 0 } else { self.need.cpu };
        Resources { cpu, ..self.need }
    }

    /// Count, accelerators a task, and what else decides where it may run:
    /// `3x8 gang rack saves`.
    pub fn shape(&self) -> String {
        let marks = [
            (self.gang, " gang"),
            (self.same_rack, " rack"),
            (!self.near.is_empty(), " near"),
            (!self.label.is_empty(), " label"),
            (self.checkpoints, " saves"),
            (self.perpetual, " lasts"),
        ];
        let marks: String = marks.iter().filter(|(on, _)| *on).map(|(_, mark)| *mark).collect();
        format!("{}x{}{marks}", self.count, self.need.accelerators)
    }
}
