use crate::{JobId, Placement};

/// An action that the caller of [`crate::Pool::decide`] has to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Start the job. Its accelerators are held from now on.
    Start {
        /// The job.
        job: JobId,
        /// Worker and accelerators by rank.
        placement: Placement,
        /// True if the team's guarantee covers the job, so that it is not reclaimed.
        guaranteed: bool,
    },
    /// Stop a job that borrows accelerators, to free them.
    Reclaim {
        /// The job to stop.
        job: JobId,
        /// The job that needs the accelerators.
        claimant: JobId,
    },
}
