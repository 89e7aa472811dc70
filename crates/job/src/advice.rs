use serde::{Deserialize, Serialize};

/// How a queue's steps are cleared for workers: a service outside the system
/// says which workers may run a step, and gives a ticket for each.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Advice {
    /// Milliseconds that an answer takes ...
    pub decide: u64,
    /// ... and so many more for each worker that is asked for.
    pub each: u64,
    /// Milliseconds for which a ticket holds.
    pub valid: u64,
}
