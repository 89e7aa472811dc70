use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Adjacency;
use crate::cell;

/// The accelerators and task slots that a search may use, by worker. Searches work on this copy, so
/// that a failed plan changes nothing.
#[derive(Clone, Debug)]
pub struct Tally {
    workers: Vec<WorkerCells>,
    layout: Arc<Layout>,
}

/// Indices of workers, by rack and by availability zone.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    racks: Vec<Vec<usize>>,
    zones: Vec<Vec<usize>>,
    all: Vec<usize>,
}

/// The accelerators and task slots of one worker.
#[derive(Clone, Debug)]
pub struct WorkerCells {
    pub worker: Arc<str>,
    pub free: u64,
    pub slots: u32,
}

impl WorkerCells {
    /// The number of tasks with a cell of `size` that fit on the worker.
    pub fn task_capacity(&self, size: u32) -> u32 {
        cell::count(self.free, size).min(self.slots)
    }
}

impl Layout {
    /// Returns the layout of workers given by zone and rack, in the order of their indices.
    pub fn new<'a>(workers: impl Iterator<Item = (&'a str, &'a str)>) -> Layout {
        let mut racks: BTreeMap<(&str, &str), Vec<usize>> = BTreeMap::new();
        let mut zones: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        let mut all = Vec::new();
        for (index, (zone, rack)) in workers.enumerate() {
            racks.entry((zone, rack)).or_default().push(index);
            zones.entry(zone).or_default().push(index);
            all.push(index);
        }
        Layout { racks: racks.into_values().collect(), zones: zones.into_values().collect(), all }
    }
}

impl Tally {
    pub fn new(layout: Arc<Layout>, workers: Vec<WorkerCells>) -> Tally {
        Tally { workers, layout }
    }

    /// Removes accelerators of a worker.
    pub fn remove(&mut self, worker: &str, mask: u64) {
        for cells in self.workers.iter_mut().filter(|cells| *cells.worker == *worker) {
            cells.free &= !mask;
        }
    }

    pub fn worker_mut(&mut self, index: usize) -> &mut WorkerCells {
        &mut self.workers[index]
    }

    pub fn workers(&self) -> &[WorkerCells] {
        &self.workers
    }

    /// Groups of worker indices, each as wide as the adjacency allows.
    pub fn domains(&self, adjacency: Adjacency) -> Box<dyn Iterator<Item = &[usize]> + '_> {
        match adjacency {
            Adjacency::Worker => Box::new(self.layout.all.chunks(1)),
            Adjacency::Rack => Box::new(self.layout.racks.iter().map(Vec::as_slice)),
            Adjacency::Zone => Box::new(self.layout.zones.iter().map(Vec::as_slice)),
            Adjacency::Any => Box::new(std::iter::once(self.layout.all.as_slice())),
        }
    }
}
