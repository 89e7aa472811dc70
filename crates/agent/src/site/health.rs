use std::cell::Cell;

use quincewheel_runner::{Action, Call, Fault, Reply};

/// How the worker has answered of late, for the log.
///
/// An agent calls its worker several times a second while it waits for proof of
/// what runs there, and a worker may be lost for good: a line for each call would
/// fill the log, and none for a refusal hid workers that were well by their own
/// reports and refused every look. So each change is told, once.
#[derive(Debug, Default)]
pub(crate) struct Health {
    trouble: Cell<Option<Trouble>>,
}

/// What is wrong, since when, and how many calls it has cost.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    event: &'static str,
    since: u64,
    calls: u64,
}

impl Health {
    /// Takes note of an answer that came at `now`, and logs what has changed.
    pub fn note(&self, call: &Call, answer: &Result<Reply, Fault>, now: u64) {
        let former = self.trouble.get();
        let Some(event) = judge(&call.action, answer) else {
            return self.recover(call, answer, now);
        };
        if let Some(former) = former.filter(|former| former.event == event) {
            return self.trouble.set(Some(Trouble { calls: former.calls + 1, ..former }));
        }
        let since = former.map_or(now, |former| former.since);
        let calls = former.map_or(0, |former| former.calls) + 1;
        self.trouble.set(Some(Trouble { event, since, calls }));
        let worker = call.worker.as_str();
        log::info!(event = event, worker = worker, fence = call.fencing_token; "{answer:?}");
    }

    fn recover(&self, call: &Call, answer: &Result<Reply, Fault>, now: u64) {
        if matches!(answer, Ok(Reply::Refused(_))) {
            return;
        }
        if let Some(former) = self.trouble.take() {
            let (worker, ms) = (call.worker.as_str(), now.saturating_sub(former.since));
            log::info!(event = "worker answers", worker = worker, ms = ms, calls = former.calls; "");
        }
    }
}

/// The event that an answer stands for, if something is wrong. What a worker
/// refuses of starts and stops is a decision about them, and told by the owner.
fn judge(action: &Action, answer: &Result<Reply, Fault>) -> Option<&'static str> {
    match (action, answer) {
        (_, Err(_)) => Some("worker silent"),
        (Action::Hold { .. }, Ok(Reply::Refused(_))) => Some("worker refuses"),
        _ => None,
    }
}
