use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::queue::Queue;
use crate::schedule::Schedule;
use crate::step::Step;

/// A job as it was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// The team it belongs to; empty on a queue that is open to all.
    pub team: String,
    /// Its queue when it was accepted.
    pub queue: Queue,
    /// Passed to each task; opaque to the scheduler.
    pub spec: String,
    /// The steps of the job.
    pub steps: Vec<Step>,
    /// The schedule, for a job that runs at set times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted: u64,
}

/// Maximum length of `spec`, in bytes.
pub const MAX_SPEC_BYTES: usize = 4000;
/// Maximum number of steps in a job. 64 steps take a fifth of a row, which holds 64 KiB.
pub const MAX_STEPS: usize = 64;
/// Maximum number of tasks in all steps of a job.
pub(crate) const MAX_TASKS: u64 = 10_000;
/// Maximum number of times that a scheduled job may run.
const MAX_TIMES: u32 = 10_000;

impl Job {
    /// Validates a job from a client. The error names the first invalid field.
    pub fn check(&self) -> Result<(), Error> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(Error::new("spec", format!("must have at most {MAX_SPEC_BYTES} bytes")));
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

    /// The number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// True if any step runs until the job is cancelled.
    pub fn is_perpetual(&self) -> bool {
        self.steps.iter().any(|step| step.perpetual)
    }

    /// A summary of the steps for the log, as in [`Step::shape`].
    pub fn shape(&self) -> String {
        let steps: Vec<String> = self.steps.iter().map(Step::shape).collect();
        steps.join(" ")
    }

    /// The estimated length of the critical path through the steps, in milliseconds.
    pub fn critical_path(&self) -> u64 {
        self.critical_path_by(|_, step| step.estimate)
    }

    /// The length of the critical path through the steps, in milliseconds, where `time` returns the
    /// length of each step.
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
