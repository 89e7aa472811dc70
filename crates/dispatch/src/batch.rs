use quincewheel_job::{Id, Incarnation, Progress};

use crate::checkpoints::Checkpoints;
use crate::learned::Learned;
use crate::rows;

/// State that the owner records in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Jobs whose progress changed.
    pub jobs: Vec<(Id, Progress)>,
    /// Ends that workers may forget once the batch is recorded.
    pub acknowledged: Vec<AcknowledgedEnds>,
    /// Waves of maintenance that are new or complete.
    pub waves: Vec<(u64, rows::WaveRecord)>,
    /// Agents whose rows are deleted.
    pub departed: Vec<String>,
    /// Checkpoints of jobs whose tasks have newer ones than recorded.
    pub checkpoints: Vec<(Id, Checkpoints)>,
    /// What was learned from runs since the last batch.
    pub learned: Learned,
}

/// The ends of one incarnation of a worker up to a number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcknowledgedEnds {
    /// The worker's agent.
    pub agent: String,
    /// The incarnation of the worker.
    pub worker: Incarnation,
    /// The number of the last end.
    pub number: u64,
}
