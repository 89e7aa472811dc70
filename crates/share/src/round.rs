use std::collections::BTreeMap;

use crate::pool::Pool;

/// Inputs of a planning round.
#[derive(Clone, Debug)]
pub struct Round<'a, W> {
    /// The pools at its beginning, with the steps that the previous round left waiting.
    pub pools: &'a BTreeMap<String, Pool>,
    /// Returns the weight of a team, at least 1; none if the configuration has no such team.
    pub weight: W,
    /// Time in which recent usage halves, in milliseconds; not 0.
    pub half_life: u64,
    /// Monotonic time in milliseconds.
    pub now: u64,
    /// Time of day, in milliseconds since 1970.
    pub wall: u64,
}
