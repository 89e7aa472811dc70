use crate::cause::Cause;
use crate::waits::{StepKey, Wait};

/// A time in which nothing of a job runs although one of its steps would fit on free workers.
#[derive(Clone, Debug)]
pub(crate) struct Standstill {
    /// The first step that could run.
    pub step: StepKey,
    /// Since when the job has had a ready step and no runs, as far as this owner knows.
    pub since: u64,
    /// What the step waits for.
    pub wait: Wait,
    /// The cause that was last logged.
    pub logged_cause: Option<Cause>,
}

impl Standstill {
    /// Returns whether the present cause has not been logged.
    pub fn needs_line(&self) -> bool {
        self.logged_cause != Some(self.wait.cause)
    }
}
