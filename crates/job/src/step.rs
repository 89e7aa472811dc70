use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// A step of a job: a number of equal tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub need: Resources,
    /// The client's rough estimate of a task's run time, in milliseconds.
    pub estimate: u64,
    /// Earlier steps, by number from 0, that must be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// The tasks save their progress and can resume from it.
    pub checkpoints: bool,
    /// The tasks form a gang: they run only all together.
    pub gang: bool,
    /// The tasks run slower when spread over racks.
    pub same_rack: bool,
    /// A label that the worker must have; empty for any worker.
    pub label: String,
    /// The rack that holds the data; elsewhere the tasks run slower.
    pub near: String,
    /// Maximum number of tasks on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Copies of one task may run at the same time.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub perpetual: bool,
    /// The image that the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Target for the response time of a perpetual task, in milliseconds; 0 for none.
    pub target: u64,
    /// The tasks use processors that other tasks leave idle; `need.cpu` is not reserved.
    pub fills: bool,
    /// Maximum number of tasks of a perpetual step that the scheduler may stop at a time.
    pub may_miss: u32,
}

impl Step {
    /// The resources that each task reserves on its worker.
    pub fn resources(&self) -> Resources {
        let cpu = if self.fills { 0 } else { self.need.cpu };
        Resources { cpu, ..self.need }
    }

    /// A summary for the log: number of tasks, accelerators per task, and what else affects
    /// placement, as in `3x8 gang rack saves`.
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
