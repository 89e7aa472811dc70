use quincewheel_job::{Id, Incarnation, Progress};

use crate::checkpoints::Checkpoints;
use crate::rows;
use crate::times::Times;

/// What the owner wants recorded in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Jobs whose progress changed.
    pub jobs: Vec<(Id, Progress)>,
    /// What workers may forget once the batch is recorded.
    pub acknowledged: Vec<AcknowledgedEnds>,
    /// Waves of maintenance that are new, or through.
    pub waves: Vec<(u64, rows::WaveRecord)>,
    /// Agents that are no members any more.
    pub departed: Vec<String>,
    /// Checkpoints of jobs whose tasks saved more.
    pub checkpoints: Vec<(Id, Checkpoints)>,
    /// Run times, if more were learned since the last batch.
    pub times: Option<Times>,
}

/// Ends up to `number` of one incarnation of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcknowledgedEnds {
    /// The worker's agent.
    pub agent: String,
    /// Which incarnation of the worker.
    pub worker: Incarnation,
    /// The last of the ends.
    pub number: u64,
}
