use quincewheel_job::Worker;

/// A worker's periodic report to its agent.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat<'a> {
    /// The worker's identity, capacity and state.
    pub worker: &'a Worker,
    /// Address at which the worker accepts calls.
    pub address: &'a str,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// Sequence number within one incarnation; it rises with each heartbeat.
    pub number: u64,
}
