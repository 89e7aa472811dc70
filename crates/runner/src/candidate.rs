use quincewheel_job::Worker;

/// Another incarnation that sent a heartbeat while one is known. It is verified before it
/// replaces the known one.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub worker: Worker,
    pub address: String,
    /// Sequence number of its heartbeat.
    pub number: u64,
}
