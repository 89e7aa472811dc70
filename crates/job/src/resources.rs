use serde::{Deserialize, Serialize};

/// Processor, memory and accelerators that a task needs or a worker has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// True if `self` fits in `room`.
    pub fn fits(&self, room: &Resources) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Subtracts `need`, saturating at zero.
    pub fn subtract(&mut self, need: &Resources) {
        self.cpu = self.cpu.saturating_sub(need.cpu);
        self.memory = self.memory.saturating_sub(need.memory);
        self.accelerators = self.accelerators.saturating_sub(need.accelerators);
    }

    /// Adds `need`.
    pub fn add(&mut self, need: &Resources) {
        self.cpu += need.cpu;
        self.memory += need.memory;
        self.accelerators += need.accelerators;
    }

    /// The number of times that `self` fits in `room`, at most `most`.
    pub fn fit_count(&self, room: &Resources, most: u64) -> u64 {
        let by = |need: u64, room: u64| room.checked_div(need).unwrap_or(most);
        by(self.cpu, room.cpu)
            .min(by(self.memory, room.memory))
            .min(by(self.accelerators, room.accelerators))
            .min(most)
    }
}
