use quincewheel_job::Id;
use serde::{Deserialize, Serialize};

/// A failed run on a worker.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub(crate) struct Failure {
    /// The job that the run belonged to.
    pub job: Id,
    /// When the failure was reported.
    pub at: u64,
    /// The run failed at once after its start.
    pub immediate: bool,
}
