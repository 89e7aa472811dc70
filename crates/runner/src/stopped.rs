use quincewheel_job::Run;
use quincewheel_wire::Notice;

/// A confirmed stop.
pub(crate) struct Stopped {
    pub notice: Notice,
    /// A look of this name or a later one began after the stop.
    pub look: u64,
}

impl Stopped {
    /// True while the worker still lists the run: a stop takes its time, and
    /// the task must not start elsewhere before its end.
    pub fn goes_on(&self, running: &[Run]) -> bool {
        let (Notice::Stopped { task, run } | Notice::Unstarted { task, run, .. }) = &self.notice
        else {
            return false;
        };
        running.iter().any(|listed| listed.task == *task && listed.number == *run)
    }
}
