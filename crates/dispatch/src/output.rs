use quincewheel_wire::{LinkId, Order};

use crate::clearance::ClearanceRequest;

/// What the owner wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Give an order.
    Send {
        /// On which connection.
        link: LinkId,
        /// The order.
        order: Order,
    },
    /// Ask which workers may run a step, and hand the answer to
    /// [`crate::Owner::on_clearance`].
    RequestClearance {
        /// What is asked.
        request: ClearanceRequest,
    },
    /// List all machines.
    ListMachines,
    /// Take a machine down for a wave of maintenance.
    TakeDown {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: String,
    },
    /// Tell operators how a wave goes.
    WaveStatus {
        /// The wave.
        number: u64,
        /// All machines that are still there have begun.
        done: bool,
    },
    /// Close a connection that fell silent or was replaced.
    Close {
        /// The connection.
        link: LinkId,
    },
    /// A later owner has taken over; this one must end.
    Deposed {
        /// The later epoch.
        epoch: u64,
    },
    /// Something worth a line in the log.
    Log {
        /// What was decided.
        event: &'static str,
        /// The job or worker that it concerns.
        subject: String,
        /// What decided it.
        detail: String,
    },
}
