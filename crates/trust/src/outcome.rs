use quincewheel_job::{Id, Incarnation};

/// A run fails at once if it fails within this many milliseconds of its start. Faulty workers were
/// seen to fail runs after up to 310 ms, and healthy work of the users takes at least 2 s.
const IMMEDIATE_MS: u64 = 500;

/// The end of a run that says something about its worker.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// The worker.
    pub worker: Incarnation,
    /// The job that the run belonged to.
    pub job: Id,
    /// When its start was ordered; 0 if that is not known.
    pub started: u64,
    /// How long it ran since its start was confirmed; none if that is not known.
    pub ran: Option<u64>,
    /// It succeeded.
    pub success: bool,
}

impl Outcome {
    /// True if the run failed at once after its start.
    pub fn is_immediate_failure(&self) -> bool {
        !self.success && self.ran.is_some_and(|ran| ran <= IMMEDIATE_MS)
    }
}
