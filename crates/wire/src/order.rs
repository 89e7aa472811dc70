use quincewheel_job::{Evacuation, Incarnation, Task};
use serde::{Deserialize, Serialize};

/// An order from the owner to an agent about its worker's runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Order {
    /// Claims ownership of the deployment under an epoch. This is the first order
    /// on a connection; an agent that follows a later epoch rejects it.
    Claim {
        /// Increases with each change of owner; used as fencing token at workers.
        epoch: u64,
    },
    /// Renews the lease of all runs on the worker, counted from `stamp`.
    Grant {
        /// Time of the agent's clock when it requested the lease, in milliseconds.
        /// Counting from the request keeps a grant that a network partition delayed
        /// from extending the lease.
        stamp: u64,
    },
    /// Sets the availability zones that are being evacuated, in which nothing may
    /// start. Replaces the previous set. Sent on each change and after
    /// [`Order::Claim`]; a claim under another epoch clears the set.
    Evacuate {
        /// All zones under evacuation.
        zones: Evacuation,
    },
    /// Start a run.
    Start {
        /// The incarnation of the worker to which the order applies.
        worker: Incarnation,
        /// The task.
        task: Task,
        /// Number of this run of the task.
        run: u64,
        /// Specification passed to the task.
        spec: String,
        /// The checkpoint to resume from, or empty.
        saved: String,
        /// The clearance of the step for this worker, or empty if none is needed.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        ticket: String,
        /// Whether the same order was sent before and may have taken effect, through
        /// an agent or a connection that has since been lost.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        again: bool,
        /// Whether the task is suspected of crashing workers. The agent then reports whether it
        /// has survived its start.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        suspect: bool,
    },
    /// Stop a run, or prevent it from starting.
    Stop {
        /// The incarnation of the worker to which the order applies.
        worker: Incarnation,
        /// The task.
        task: Task,
        /// Number of this run of the task.
        run: u64,
    },
    /// Throttle a run to a percentage of its speed, which also reduces its load on
    /// other runs of the worker.
    Pace {
        /// The incarnation of the worker to which the order applies.
        worker: Incarnation,
        /// The task.
        task: Task,
        /// Number of this run of the task.
        run: u64,
        /// Percentage of full speed, 0 to 100.
        percent: u32,
    },
    /// Acknowledge that all ends up to `number` are recorded, so that the worker
    /// can discard them.
    Seen {
        /// The incarnation of the worker that listed them.
        worker: Incarnation,
        /// Number of the last acknowledged end.
        number: u64,
    },
}
