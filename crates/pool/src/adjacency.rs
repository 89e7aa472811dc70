use serde::{Deserialize, Serialize};

/// How close together the tasks of a gang must run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Adjacency {
    /// Anywhere in the pool.
    #[default]
    Any,
    /// Within one availability zone.
    Zone,
    /// Within one rack.
    Rack,
    /// On one worker.
    Worker,
}
