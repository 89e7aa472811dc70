use std::collections::BTreeMap;

use quincewheel_job::Resources;

/// What one team has in a pool, and what it waits for there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Resources of its runs beyond its guarantee.
    pub used: Resources,
    /// Number of its steps that wait for room, by priority.
    pub waiting: BTreeMap<u32, u64>,
}

impl Demand {
    /// Returns whether the team uses anything or waits for anything.
    pub fn is_any(&self) -> bool {
        self.used != Resources::default() || !self.waiting.is_empty()
    }
}
