use serde::{Deserialize, Serialize};

/// How near to one another the tasks of a gang must be.
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
