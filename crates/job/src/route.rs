use serde::{Deserialize, Serialize};

/// Where clients reach a queue.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The host that clients name.
    pub host: String,
    /// What the path begins with; a job's name follows.
    pub prefix: String,
    /// The queue's name.
    pub queue: String,
    /// Calls need no key.
    pub open: bool,
}
