use std::collections::BTreeMap;

use crate::cell;

/// Accelerators that a search may use, worker by worker, and the slots left
/// there. Searches work on a tally so that a plan that fails changes nothing.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    spots: Vec<Spot>,
    /// Spots by rack, racks by availability zone.
    zones: BTreeMap<String, BTreeMap<String, Vec<usize>>>,
}

/// One worker's part of a tally.
#[derive(Clone, Debug)]
pub struct Spot {
    pub worker: String,
    pub free: u64,
    pub slots: u32,
}

impl Spot {
    /// How many tasks with a cell of `size` fit here.
    pub fn room(&self, size: u32) -> u32 {
        cell::count(self.free, size).min(self.slots)
    }
}

impl Tally {
    pub fn add(&mut self, zone: &str, rack: &str, spot: Spot) {
        let racks = self.zones.entry(zone.to_owned()).or_default();
        racks.entry(rack.to_owned()).or_default().push(self.spots.len());
        self.spots.push(spot);
    }

    /// Takes cells of a worker out.
    pub fn without(&mut self, worker: &str, mask: u64) {
        for spot in self.spots.iter_mut().filter(|spot| spot.worker == worker) {
            spot.free &= !mask;
        }
    }

    pub fn spot(&mut self, at: usize) -> &mut Spot {
        &mut self.spots[at]
    }

    pub fn spots(&self) -> &[Spot] {
        &self.spots
    }

    /// Groups of spots, each as wide as the adjacency allows.
    pub fn domains(&self, adjacency: crate::Adjacency) -> Vec<Vec<usize>> {
        use crate::Adjacency::*;
        let racks = || self.zones.values().flat_map(|racks| racks.values());
        match adjacency {
            Worker => (0..self.spots.len()).map(|at| vec![at]).collect(),
            Rack => racks().cloned().collect(),
            Zone => self.zones.values().map(|z| z.values().flatten().copied().collect()).collect(),
            Any => vec![(0..self.spots.len()).collect()],
        }
    }
}
