use std::collections::BTreeMap;

use quincewheel_job::Resources;
use quincewheel_place::WorkerIndex;

use crate::claim::Claim;
use crate::profile::least;
use crate::turn::Turn;

/// The claims of one round.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The claims, in their order.
    pub claims: Vec<Claim>,
    /// What the claims hold on each claimed worker.
    pub(crate) holds: BTreeMap<WorkerIndex, Vec<Hold>>,
}

/// What one claim holds on one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    /// Index of the claim.
    pub claim: usize,
    /// What the gang's tasks need there.
    pub need: Resources,
    /// What runs are expected to release there before the planned start; nothing if the start is
    /// overdue, since these expectations were wrong.
    pub released: Resources,
}

impl Plan {
    /// Returns the claimed workers in ascending order.
    pub fn workers(&self) -> impl Iterator<Item = WorkerIndex> {
        self.holds.keys().copied()
    }

    /// True if any claim binds the step.
    pub fn binds(&self, step: &Turn) -> bool {
        self.claims.iter().any(|claim| claim.binds(step))
    }

    /// Returns which part of the `free` resources of a worker a step may still use that is expected
    /// to run there until `until`; none if no claim limits it.
    pub fn usable(
        &self,
        worker: WorkerIndex,
        free: &Resources,
        step: &Turn,
        until: u64,
    ) -> Option<Resources> {
        let holds = self.holds.get(&worker)?;
        let binding = |hold: &&Hold| self.claims[hold.claim].binds(step);
        let mut usable = None;
        for hold in holds.iter().filter(binding) {
            let claim = &self.claims[hold.claim];
            if until <= claim.closes_at {
                continue;
            }
            let mut room = *free;
            room.add(&hold.released);
            for other in holds.iter().filter(binding) {
                let held = &self.claims[other.claim];
                if held.start <= claim.start && claim.start < held.until {
                    room.subtract(&other.need);
                }
            }
            usable = Some(least(usable.as_ref().unwrap_or(free), &room));
        }
        usable
    }
}
