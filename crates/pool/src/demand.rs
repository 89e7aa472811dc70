use std::time::Duration;

use crate::shape::Shape;

/// The requirements of a waiting job.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The team whose quota and guarantee it uses.
    pub team: String,
    /// The accelerators it needs.
    pub shape: Shape,
    /// The job starts before jobs that are not urgent, within and beyond the guarantee.
    pub urgent: bool,
    /// The job can run again, so that stopping it loses time but not its outcome.
    pub restartable: bool,
    /// When the job arrived, on the caller's clock.
    pub arrived_at: Duration,
    /// The run time that the client declared. Corrected by the run times of the team's earlier jobs.
    pub declared_duration: Duration,
    /// Workers on which earlier attempts failed. The job is not placed on them again.
    pub avoided_workers: Vec<String>,
}
