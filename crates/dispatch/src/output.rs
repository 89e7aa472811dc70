use quincewheel_wire::{LinkId, Order};

use crate::clearance_request::ClearanceRequest;

/// An action that the owner's process must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Send an order to an agent.
    Send {
        /// The agent's connection.
        link: LinkId,
        /// The order.
        order: Order,
    },
    /// Request which workers may run a step, and pass the answer to
    /// [`crate::Owner::on_clearance`].
    RequestClearance {
        /// The request.
        request: ClearanceRequest,
    },
    /// Request a list of all machines, and pass it to [`crate::Owner::on_machines`].
    ListMachines,
    /// Take a machine down for a wave of maintenance.
    TakeDown {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: String,
    },
    /// Report the status of a wave to the operators.
    WaveStatus {
        /// The wave.
        number: u64,
        /// Whether all machines that still exist have been taken down.
        done: bool,
    },
    /// Close a connection that is unresponsive or was replaced.
    Close {
        /// The connection.
        link: LinkId,
    },
    /// End this ownership, since a later owner has taken over.
    Deposed {
        /// The later epoch.
        epoch: u64,
    },
    /// Write a line to the log.
    Log {
        /// The log event.
        event: &'static str,
        /// The job or worker that it concerns.
        subject: String,
        /// Details of the decision.
        detail: String,
    },
}
