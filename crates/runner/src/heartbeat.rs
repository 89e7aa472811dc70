use quincewheel_job::Worker;

/// A report of the worker about itself.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat<'a> {
    /// What it is.
    pub worker: &'a Worker,
    /// Where it takes calls.
    pub address: &'a str,
    /// Its clock, in milliseconds.
    pub clock: u64,
    /// Numbers the reports of an incarnation; rises.
    pub number: u64,
}
