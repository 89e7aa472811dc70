use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::queue::Queue;
use crate::schedule::Schedule;
use crate::step::Step;

/// A job as it was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Whose it is; empty on a queue that is open to all.
    pub team: String,
    /// Its queue when it was accepted.
    pub queue: Queue,
    /// Told to each task; means nothing to the system.
    pub spec: String,
    /// What is to be done.
    pub steps: Vec<Step>,
    /// When, for a job that runs at set times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted: u64,
}

/// Longest `spec`, in bytes.
pub const MAX_SPEC: usize = 4000;
/// Most steps in a job. A row holds 64 KiB; 64 steps take a fifth of it.
const MAX_STEPS: usize = 64;
/// Most tasks in a job, over all its steps: keeps progress within one row.
const MAX_TASKS: u64 = 10_000;
/// Most times that a job may run.
const MAX_TIMES: u32 = 10_000;

impl Job {
    /// Checks what a client sent and names the first field that is wrong.
    pub fn check(&self) -> Result<(), Error> {
        if self.spec.len() > MAX_SPEC {
            return Err(Error::new("spec", format!("must have at most {MAX_SPEC} bytes")));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Error::new("steps", format!("must have 1 to {MAX_STEPS} entries")));
        }
        for (number, step) in self.steps.iter().enumerate() {
            check_step(number, step)?;
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return Err(Error::new("steps", format!("must have at most {MAX_TASKS} tasks in all")));
        }
        match self.schedule {
            Some(schedule) if schedule.times > MAX_TIMES => {
                Err(Error::new("times", format!("must be at most {MAX_TIMES}")))
            }
            _ => Ok(()),
        }
    }

    /// How many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// True if its tasks run until it is cancelled.
    pub fn is_perpetual(&self) -> bool {
        self.steps.iter().any(|step| step.perpetual)
    }

    /// Its steps in short, for the log: how many tasks, of how many accelerators
    /// each, and what holds them together.
    pub fn shape(&self) -> String {
        let steps: Vec<String> = self.steps.iter().map(Step::shape).collect();
        steps.join(" ")
    }

    /// The estimated milliseconds of its longest chain of steps.
    pub fn critical_path(&self) -> u64 {
        self.critical_path_by(|_, step| step.estimate)
    }

    /// The milliseconds of its longest chain of steps, where `time` says how
    /// long each takes.
    pub fn critical_path_by(&self, time: impl Fn(u32, &Step) -> u64) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (number, step) in (0u32..).zip(&self.steps) {
            let begin = step.after.iter().filter_map(|&n| ends.get(n as usize)).max();
            ends.push(begin.copied().unwrap_or(0) + time(number, step));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

fn check_step(number: usize, step: &Step) -> Result<(), Error> {
    let field = |name: &str| format!("steps[{number}].{name}");
    if step.count == 0 {
        return Err(Error::new(field("count"), "must be at least 1"));
    }
    if step.after.iter().any(|&before| before as usize >= number) {
        return Err(Error::new(field("after"), "must name earlier steps only, counted from 0"));
    }
    Ok(())
}
