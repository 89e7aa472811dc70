use std::collections::BTreeMap;
use std::sync::Arc;

use crate::JobId;
use crate::cell;

/// Whether a worker may be given new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// It may be given new work.
    Serving,
    /// No heartbeat of its agent arrived for a while; it may come back.
    Suspect,
    /// Its endpoint or its agent is about to shut down.
    Leaving,
    /// An operator drained it.
    Drained,
    /// Several distinct jobs in a row failed on it.
    Quarantined,
}

impl Condition {
    /// The name that operators see.
    pub fn name(self) -> &'static str {
        match self {
            Condition::Serving => "serving",
            Condition::Suspect => "suspect",
            Condition::Leaving => "leaving",
            Condition::Drained => "drained",
            Condition::Quarantined => "quarantined",
        }
    }
}

/// A worker and the jobs that hold its accelerators.
#[derive(Clone, Debug)]
pub struct Worker {
    pub name: Arc<str>,
    pub zone: String,
    pub rack: String,
    pub accelerators: u32,
    pub slots: u32,
    pub condition: Condition,
    pub held: BTreeMap<JobId, u64>,
    pub tasks: u32,
    /// Accelerators that `held` leaves free; cached because every search reads it.
    free: u64,
}

impl Worker {
    pub fn new(name: &str) -> Worker {
        Worker {
            name: name.into(),
            zone: String::new(),
            rack: String::new(),
            accelerators: 0,
            slots: 0,
            condition: Condition::Serving,
            held: BTreeMap::new(),
            tasks: 0,
            free: 0,
        }
    }

    pub fn free(&self) -> u64 {
        self.free
    }

    /// Recomputes the free accelerators after `held` or the size changed.
    pub fn refresh(&mut self) {
        let all = cell::full(self.accelerators);
        self.free = self.held.values().fold(all, |free, mask| free & !mask);
    }

    pub fn serving(&self) -> bool {
        self.condition == Condition::Serving
    }
}
