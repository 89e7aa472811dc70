use quincewheel_job::Task;

use crate::call::Action;

/// An order to start or stop a run that the worker has not confirmed yet.
pub(crate) struct Pending {
    pub action: Action,
    /// Failed attempts.
    pub attempts: u32,
    /// An earlier attempt of the start got no reply and may still take effect.
    pub may_take_effect: bool,
    /// The stop replaced a start whose outcome is unknown.
    pub replaces_start: bool,
    /// The task of the start is suspected of crashing workers.
    pub suspect: bool,
    /// When the lease ends, on the agent's clock, under which a start was accepted.
    pub lease_end: u64,
    /// When the next attempt is due; none while a call is in flight.
    pub retry_at: Option<u64>,
}

impl Pending {
    /// Creates an order whose first attempt is due at once.
    pub fn new(action: Action) -> Pending {
        Pending {
            action,
            attempts: 0,
            may_take_effect: false,
            replaces_start: false,
            suspect: false,
            lease_end: u64::MAX,
            retry_at: Some(0),
        }
    }

    pub fn is_start_of(&self, task: &Task, run: u64) -> bool {
        matches!(&self.action, Action::Start { task: t, run: r, .. } if t == task && *r == run)
    }

    pub fn is_start(&self) -> bool {
        matches!(self.action, Action::Start { .. })
    }

    /// True if this is a start that was sent and has no reply yet.
    pub fn is_start_in_flight(&self) -> bool {
        self.is_start() && self.retry_at.is_none()
    }

    /// Turns a start whose outcome is unknown into a stop of the same run.
    pub fn replace_with_stop(&mut self, now: u64) {
        let (task, run) = self.run();
        self.action = Action::Stop { task, run };
        self.replaces_start = true;
        self.retry_at = Some(now);
    }

    /// The task and the number of the run.
    pub fn run(&self) -> (Task, u64) {
        match &self.action {
            Action::Start { task, run, .. } | Action::Stop { task, run } => (task.clone(), *run),
            Action::Hold { .. } | Action::List | Action::Pace { .. } => {
                unreachable!("only starts and stops are stored as pending orders")
            }
        }
    }
}
