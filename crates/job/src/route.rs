use serde::{Deserialize, Serialize};

/// The host and path under which clients call a queue.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// The host name.
    pub host: String,
    /// The prefix of the path; a job's name follows it.
    pub prefix: String,
    /// The queue's name.
    pub queue: String,
    /// Calls need no key.
    pub open: bool,
}
