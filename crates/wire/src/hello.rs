use serde::{Deserialize, Serialize};

/// What kind of process speaks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

/// Who opens or accepts a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The kind of process.
    pub role: Role,
    /// Its name: of the worker for an agent, of the instance for an entry.
    pub name: String,
    /// Drawn at random when the process started.
    pub incarnation: u64,
}
