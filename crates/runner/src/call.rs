use quincewheel_job::{End, Run, Task};
use quincewheel_wire::Refused;

/// A call to the worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Where the worker listens.
    pub address: String,
    /// The incarnation of the worker that is meant.
    pub worker: String,
    /// The epoch of the owner, as fencing token.
    pub fencing_token: u64,
    /// What the worker is to do.
    pub action: Action,
    /// Milliseconds after which the call is given up.
    pub timeout: u64,
}

/// What a worker is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start a run.
    Start {
        /// The task.
        task: Task,
        /// Numbers its starts.
        run: u64,
        /// Given to the task.
        spec: String,
        /// The checkpoint to resume from; empty for none.
        saved: String,
        /// What clears the step for this worker; empty where nothing must.
        ticket: String,
        /// When the lease ends, on the worker's clock.
        lease_end: u64,
    },
    /// Stop a run.
    Stop {
        /// The task.
        task: Task,
        /// Which start of it.
        run: u64,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// The task.
        task: Task,
        /// Which start of it.
        run: u64,
        /// The share, 0 to 100.
        percent: u32,
    },
    /// Tell what runs and what ended, and renew the lease.
    Hold {
        /// Ends up to here are recorded.
        acknowledged: u64,
        /// When the lease ends, on the worker's clock; none to leave it.
        lease_end: Option<u64>,
        /// Wait for an end for so many milliseconds.
        wait: u64,
    },
}

/// A worker's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Done, for starts and stops.
    Done {
        /// The worker's clock.
        clock: u64,
    },
    /// The answer to a hold.
    Held {
        /// When the worker's process started, as [`quincewheel_job::Worker::born`].
        born: u64,
        /// The worker's clock.
        clock: u64,
        /// All that runs.
        running: Vec<Run>,
        /// Ends that are not yet recorded.
        ended: Vec<End>,
    },
    /// Refused; nothing was done.
    Refused(Refused),
}

/// Why a call brought no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing was sent: the worker takes no connections.
    Unsent {
        /// What went wrong.
        detail: String,
    },
    /// It may take effect, now or later.
    Unclear {
        /// The connection broke before the answer; otherwise none came in time.
        closed: bool,
        /// What went wrong.
        detail: String,
    },
}
