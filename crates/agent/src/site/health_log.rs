use std::cell::Cell;

use quincewheel_runner::{Action, Call, Fault, Reply};

/// Logs changes in how the worker answers calls.
///
/// An agent calls its worker several times a second while it waits for proof of what runs there,
/// and a worker may never answer again, so a line for each call would fill the log. Without lines
/// for refusals, a worker that refuses every poll while its heartbeats look healthy would go
/// unnoticed. Therefore each change is logged once.
#[derive(Debug, Default)]
pub(crate) struct HealthLog {
    problem: Cell<Option<Problem>>,
}

/// A problem with the worker: the event that was logged for it, when it began, in milliseconds, and
/// how many calls have failed since.
#[derive(Clone, Copy, Debug)]
struct Problem {
    event: &'static str,
    since: u64,
    calls: u64,
}

impl HealthLog {
    /// Records a reply that arrived at `now`, in milliseconds, and logs a change.
    pub fn record(&self, call: &Call, reply: &Result<Reply, Fault>, now: u64) {
        let previous = self.problem.get();
        let Some(event) = problem_event(&call.action, reply) else {
            return self.recover(call, reply, now);
        };
        if let Some(previous) = previous.filter(|previous| previous.event == event) {
            return self.problem.set(Some(Problem { calls: previous.calls + 1, ..previous }));
        }
        let since = previous.map_or(now, |previous| previous.since);
        let calls = previous.map_or(0, |previous| previous.calls) + 1;
        self.problem.set(Some(Problem { event, since, calls }));
        let worker = call.worker.as_str();
        log::info!(event = event, worker = worker, fence = call.fencing_token; "{reply:?}");
    }

    /// Logs that the worker answers again. A refused call does not count as recovery.
    fn recover(&self, call: &Call, reply: &Result<Reply, Fault>, now: u64) {
        if matches!(reply, Ok(Reply::Refused(_))) {
            return;
        }
        if let Some(previous) = self.problem.take() {
            let (worker, ms) = (call.worker.as_str(), now.saturating_sub(previous.since));
            log::info!(event = "worker answers", worker = worker, ms = ms, calls = previous.calls; "");
        }
    }
}

/// Returns the log event for a reply that shows a problem. A refused start or stop shows none: it is
/// a decision about that run, and the owner logs it.
fn problem_event(action: &Action, reply: &Result<Reply, Fault>) -> Option<&'static str> {
    match (action, reply) {
        (_, Err(_)) => Some("worker silent"),
        (Action::Hold { .. } | Action::List, Ok(Reply::Refused(_))) => Some("worker refuses"),
        _ => None,
    }
}
