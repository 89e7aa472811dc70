use std::cell::RefCell;

use quincewheel_job::Worker;

/// Logs each incarnation of the worker once. A worker may restart under the same id, and only the
/// start time in its heartbeats shows it.
#[derive(Debug, Default)]
pub(crate) struct StartLog {
    last: RefCell<Option<(String, u64)>>,
}

impl StartLog {
    /// Records a heartbeat and logs it if it is the first of an incarnation.
    pub fn record(&self, worker: &Worker) {
        let mut last = self.last.borrow_mut();
        let known =
            last.as_ref().is_some_and(|(id, born)| *id == worker.id && *born == worker.born);
        if !known {
            let id = worker.id.as_str();
            log::info!(event = "worker started", worker = id, born = worker.born; "");
            *last = Some((worker.id.clone(), worker.born));
        }
    }
}
