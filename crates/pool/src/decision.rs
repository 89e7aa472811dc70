use crate::{JobId, Placement};

/// What the pool's user is to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Start the job there. The accelerators are held for it from now on.
    Start {
        /// The job.
        job: JobId,
        /// Worker and accelerators by rank.
        placement: Placement,
        /// True if the team's guarantee pays, so that it will not be reclaimed.
        guaranteed: bool,
    },
    /// Stop this borrowed job; its accelerators are wanted back.
    Reclaim {
        /// The job that gives way.
        job: JobId,
        /// The guaranteed job that it gives way to.
        claimant: JobId,
    },
}
