use quincewheel_job::{End, Run, Task};
use quincewheel_wire::Refused;

/// A call to the worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Address at which the worker listens.
    pub address: String,
    /// Id of the worker that the call is for. Another worker at the address refuses it.
    pub worker: String,
    /// The owner's epoch; workers refuse calls with a lower one than they have seen.
    pub fencing_token: u64,
    /// The operation.
    pub action: Action,
    /// Timeout in milliseconds.
    pub timeout: u64,
}

/// An operation of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start a run.
    Start {
        /// The task.
        task: Task,
        /// Number of the run; it rises with each start of the task.
        run: u64,
        /// Opaque parameters that the worker passes to the task.
        spec: String,
        /// The checkpoint to resume from; empty for none.
        saved: String,
        /// Clearance of the step for this worker; empty if the queue needs none.
        ticket: String,
        /// When the lease ends, on the worker's clock.
        lease_end: u64,
    },
    /// Stop a run.
    Stop {
        /// The task.
        task: Task,
        /// Number of the run.
        run: u64,
    },
    /// Throttle a run.
    Pace {
        /// The task.
        task: Task,
        /// Number of the run.
        run: u64,
        /// Share of its full speed, 0 to 100.
        percent: u32,
    },
    /// List the worker's runs, with no other effect.
    List,
    /// Poll the worker for its runs and ends, acknowledge ends, and renew the lease.
    Hold {
        /// Ends up to this number are recorded, and the worker may forget them; 0 for none.
        acknowledged: u64,
        /// New end of the lease on the worker's clock; none leaves it unchanged.
        lease_end: Option<u64>,
        /// How long the worker may hold its reply back until a run ends, in milliseconds.
        wait: u64,
    },
}

/// A worker's reply to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// A start, a stop or a change of pace was carried out.
    Done {
        /// The worker's clock, in milliseconds.
        clock: u64,
    },
    /// The reply to [`Action::Hold`] or [`Action::List`].
    Held {
        /// When the worker's process started, as in [`quincewheel_job::Worker::born`].
        born: u64,
        /// The worker's clock, in milliseconds.
        clock: u64,
        /// All runs in progress.
        running: Vec<Run>,
        /// Ends that have not been acknowledged, from the one with the lowest number on.
        ended: Vec<End>,
        /// There may be further ends. A run that is not listed may then have ended, and is not known
        /// to have never been there.
        truncated: bool,
    },
    /// The worker refused the call and did nothing.
    Refused(Refused),
}

/// Why a call got no reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing was sent: the worker accepts no connections.
    Unsent {
        /// The error, for the log.
        detail: String,
    },
    /// The call was sent, and may take effect now or later.
    Unclear {
        /// The connection broke before the reply; if false, the call timed out or its reply
        /// could not be read.
        closed: bool,
        /// The error, for the log.
        detail: String,
    },
}
