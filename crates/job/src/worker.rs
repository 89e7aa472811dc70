use serde::{Deserialize, Serialize};

use crate::incarnation::Incarnation;
use crate::resources::Resources;

/// One incarnation of a worker, as it reports itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Worker {
    /// Its id, which it may keep when it restarts.
    pub id: String,
    /// When its process started, in milliseconds since 1970; 0 on a platform where each
    /// start has another id.
    #[serde(default)]
    pub born: u64,
    /// The pool it belongs to.
    pub pool: String,
    /// Its availability zone.
    pub zone: String,
    /// Its total resources.
    pub capacity: Resources,
    /// All its labels.
    pub labels: Vec<String>,
    /// The label that names its rack; empty if it has none.
    pub rack: String,
    /// It is about to leave and accepts no new tasks.
    pub draining: bool,
    /// While it drains, the milliseconds for which it stays at least.
    pub remaining: u64,
    /// Remaining milliseconds for which it is slow after its start.
    #[serde(default)]
    pub cold: u64,
}

impl Worker {
    /// The incarnation of the worker.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), born: self.born }
    }

    /// True if it is this incarnation.
    pub fn is_incarnation(&self, incarnation: &Incarnation) -> bool {
        self.id == incarnation.id && self.born == incarnation.born
    }

    /// True if a later report of the same incarnation changes which tasks can run on it.
    pub fn eligibility_differs(&self, later: &Worker) -> bool {
        self.capacity != later.capacity
            || self.labels != later.labels
            || self.pool != later.pool
            || self.rack != later.rack
    }
}
