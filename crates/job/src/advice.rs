use serde::{Deserialize, Serialize};

/// How the steps of a queue get clearance: an external service decides which workers may run a
/// step, and issues a ticket for each.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Advice {
    /// Time that the service takes to reply, in milliseconds ...
    pub decide: u64,
    /// ... plus this many for each worker in the request.
    pub each: u64,
    /// Milliseconds for which a ticket is valid.
    pub valid: u64,
}

impl Advice {
    /// Returns how long the service takes to answer a call that names this many workers, in
    /// milliseconds.
    pub fn call_ms(&self, workers: usize) -> u64 {
        self.each.saturating_mul(workers as u64).saturating_add(self.decide)
    }
}
