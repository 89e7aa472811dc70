use quincewheel_job::{Id, Incarnation, Progress};
use quincewheel_store::{Commit, Excess, Limits, Put};

use crate::checkpoints::Checkpoints;
use crate::learned::Learned;
use crate::rows;

/// State that the owner records in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// All rows that it writes.
    pub rows: Vec<Put>,
    /// Parts of the progress of jobs that changed.
    pub jobs: Vec<(Id, Progress)>,
    /// Ends that workers may forget once the batch is recorded.
    pub acknowledged: Vec<AcknowledgedEnds>,
    /// Waves of maintenance that are new or complete.
    pub waves: Vec<(u64, rows::WaveRecord)>,
    /// Agents whose rows are deleted.
    pub departed: Vec<String>,
    /// Parts of the checkpoints of jobs whose tasks have newer ones than recorded.
    pub checkpoints: Vec<(Id, Checkpoints)>,
    /// What was learned from runs since the last batch.
    pub learned: Learned,
}

impl Batch {
    /// Checks that the table takes the batch. The error names the limit that it exceeds.
    pub fn check(&self, limits: &Limits) -> Result<(), Excess> {
        let delete = self.departed.iter().map(|name| rows::node_key(name)).collect();
        limits.check(&Commit { put: self.rows.clone(), delete, ..Commit::default() })
    }
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
