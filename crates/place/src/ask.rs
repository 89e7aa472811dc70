use quincewheel_job::Step;

use crate::hold::Hold;
use crate::spot::{Holder, Spot};

/// Tasks of one step that want places.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The step.
    pub step: &'a Step,
    /// The pool that runs it.
    pub pool: &'a str,
    /// How many tasks.
    pub count: u32,
    /// They may wait for a rack of their own.
    pub patient: bool,
    /// The firmest hold that gives way to them.
    pub over: Hold,
    /// They must have their room in time, whatever becomes of other work.
    pub sure: bool,
    /// How many tasks of the step each worker already has, in the order of the
    /// spots; empty if it has none anywhere.
    pub held: &'a [u32],
}

impl Ask<'_> {
    /// True if the worker may run the step at all.
    pub fn allows(&self, spot: &Spot) -> bool {
        let label = &self.step.label;
        spot.pool == self.pool && (label.is_empty() || spot.labels.contains(label))
    }

    /// True if the work gives way to these tasks.
    pub fn displaces(&self, holder: &Holder) -> bool {
        holder.hold <= self.over && (self.sure || !holder.ending)
    }

    /// How many tasks fit on the worker with this much room.
    pub fn copies(&self, place: usize, room: &quincewheel_job::Resources) -> u64 {
        let held = u64::from(self.held.get(place).copied().unwrap_or(0));
        let cap = match u64::from(self.step.per_worker) {
            0 => u64::from(self.count),
            most => most.saturating_sub(held).min(u64::from(self.count)),
        };
        self.step.resources().fit_count(room, cap)
    }
}
