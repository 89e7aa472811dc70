use std::time::Duration;

use crate::shape::Shape;

/// What a waiting job asks for.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The team that pays for it.
    pub team: String,
    /// The accelerators it needs.
    pub shape: Shape,
    /// Starts before the team's other work within its guarantee.
    pub urgent: bool,
    /// Can run again, so that stopping it loses time but not its outcome.
    pub restartable: bool,
    /// When it came, on the caller's clock.
    pub arrived_at: Duration,
    /// How long its caller says it runs. Corrected by what the team's jobs did.
    pub declared_duration: Duration,
    /// Workers that earlier attempts failed on, not to be tried again.
    pub avoided_workers: Vec<String>,
}
