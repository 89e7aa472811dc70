use quincewheel_job::Run;
use quincewheel_wire::Notice;

/// The report of a stop that the worker has confirmed, held back until a later poll shows that
/// the run has ended.
pub(crate) struct StopReport {
    pub notice: Notice,
    /// Calls with this id or a higher one were made after the stop was confirmed.
    pub min_poll: u64,
}

impl StopReport {
    /// True while the worker still lists the run. A stop takes time, and the task must not start
    /// elsewhere before the run has ended.
    pub fn still_runs(&self, running: &[Run]) -> bool {
        let (Notice::Stopped { task, run } | Notice::Unstarted { task, run, .. }) = &self.notice
        else {
            return false;
        };
        running.iter().any(|listed| listed.task == *task && listed.number == *run)
    }
}
