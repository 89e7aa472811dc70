use serde::{Deserialize, Serialize};

/// The kind of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Serves clients and operators, and may own the shard.
    Entry,
    /// Runs next to a worker and manages its tasks.
    Agent,
}

/// The identity that each side of a connection sends during the handshake.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The kind of the process.
    pub role: Role,
    /// Name of the worker for an agent, or of the instance for an entry.
    pub name: String,
    /// Random id chosen when the process started. It distinguishes a restarted process
    /// from its previous incarnation.
    pub incarnation: u64,
}
