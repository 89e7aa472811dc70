use quincewheel_job::{Evacuation, Incarnation, Task};
use serde::{Deserialize, Serialize};

/// What the owner tells an agent about its worker's runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Order {
    /// The sender owns the deployment under this epoch. The first order on a
    /// connection; an agent that follows a later epoch refuses.
    Claim {
        /// Rises with each change of owner; the fencing token at workers.
        epoch: u64,
    },
    /// All that the worker runs may run on for a lease from `stamp`.
    Grant {
        /// The agent's own clock when it asked, in milliseconds. Its own,
        /// because a grant that a cut held up must not start a lease anew.
        stamp: u64,
    },
    /// Nothing starts any more in these availability zones, and no longer in others. Told when
    /// it changes, and after [`Order::Claim`]; a claim under another epoch ends what was told.
    Evacuate {
        /// All of them.
        zones: Evacuation,
    },
    /// Start a run.
    Start {
        /// The incarnation of the worker that is meant.
        worker: Incarnation,
        /// The task.
        task: Task,
        /// Numbers its starts.
        run: u64,
        /// Given to the task.
        spec: String,
        /// The checkpoint to resume from; empty for none.
        saved: String,
        /// What clears the step for this worker; empty where nothing must.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        ticket: String,
        /// The same order was given before and may have taken effect, through an
        /// agent or a connection that is gone.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        again: bool,
    },
    /// Stop a run, or see to it that it cannot start any more.
    Stop {
        /// The incarnation of the worker that is meant.
        worker: Incarnation,
        /// The task.
        task: Task,
        /// Which start of it.
        run: u64,
    },
    /// Let a run work, and disturb its neighbours, at a share of its speed.
    Pace {
        /// The incarnation of the worker that is meant.
        worker: Incarnation,
        /// The task.
        task: Task,
        /// Which start of it.
        run: u64,
        /// The share, 0 to 100.
        percent: u32,
    },
    /// All ends up to `number` are recorded; the worker may forget them.
    Seen {
        /// The incarnation of the worker that listed them.
        worker: Incarnation,
        /// The last of them.
        number: u64,
    },
}
