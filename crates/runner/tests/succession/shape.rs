//! Shapes of the jobs of a course.

use quincewheel_job::{Job, Queue, Resources, Schedule, Step};

use super::worker::RARE_LABEL;

/// What of a job differs in a course. Its steps are equal, and each waits for the one before.
#[derive(Clone, Debug)]
pub struct Shape {
    pub count: u32,
    pub accelerators: u64,
    pub gang: bool,
    pub same_rack: bool,
    /// Only few workers have the label that it needs.
    pub rare: bool,
    pub per_worker: u32,
    pub steps: u32,
    /// Attempts of its queue.
    pub attempts: u32,
    pub priority: u32,
    /// The number of its team.
    pub team: u32,
    /// Number of occurrences of a scheduled job, time until the first one, and between two; none for
    /// other jobs.
    pub schedule: Option<(u32, u64, u64)>,
}

impl Shape {
    /// A job of one step.
    pub fn of_step(count: u32, accelerators: u64, gang: bool) -> Shape {
        Shape {
            count,
            accelerators,
            gang,
            same_rack: false,
            rare: false,
            per_worker: 0,
            steps: 1,
            attempts: 3,
            priority: 0,
            team: 0,
            schedule: None,
        }
    }

    /// The job, accepted at `accepted` by the time of day of an entry.
    pub fn job(&self, accepted: u64, true_time: u64) -> Job {
        let queue = Queue {
            name: "q".into(),
            pool: "p".into(),
            attempts: self.attempts,
            priority: self.priority,
            ..Queue::default()
        };
        let step = |number: u32| Step {
            count: self.count,
            need: Resources { cpu: 1000, memory: 1000, accelerators: self.accelerators },
            estimate: 1000,
            after: number.checked_sub(1).into_iter().collect(),
            gang: self.gang,
            same_rack: self.same_rack,
            per_worker: self.per_worker,
            label: if self.rare { RARE_LABEL.into() } else { String::new() },
            ..Step::default()
        };
        let schedule = self.schedule.map(|(times, delay, every)| {
            let first = true_time + delay;
            Schedule { times, first, every }
        });
        let steps = (0..self.steps).map(step).collect();
        let team = format!("t{}", self.team);
        Job { team, queue, spec: String::new(), steps, schedule, accepted }
    }
}
