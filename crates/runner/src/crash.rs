use quincewheel_job::{Incarnation, Task};

/// A presumed crash: an incarnation of the worker that broke its connections just after starts
/// and did not come back.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub worker: Incarnation,
    /// Starts that may have caused it: tasks and numbers of their runs.
    pub starts: Vec<(Task, u64)>,
    /// When the end of the incarnation was detected.
    pub at: u64,
}
