use quincewheel_job::{Incarnation, Need};

use crate::hold::Hold;

/// A worker as the decisions see it.
#[derive(Clone, Debug, Default)]
pub struct Spot {
    /// Names the worker's agent.
    pub name: String,
    /// Which incarnation of the worker it is.
    pub worker: Incarnation,
    /// The pool it belongs to.
    pub pool: String,
    /// The rack it stands in.
    pub rack: String,
    /// Its labels.
    pub labels: Vec<String>,
    /// What it has in all.
    pub capacity: Need,
    /// What is free.
    pub free: Need,
    /// What becomes free because runs are being stopped.
    pub stopping: Need,
    /// What becomes free about as soon as a stop would make it so, because runs
    /// end by themselves, going by their progress.
    pub ending: Need,
    /// Its doubtful health: work goes elsewhere if it can.
    pub doubtful: bool,
    /// What could be taken away.
    pub holders: Vec<Holder>,
}

impl Spot {
    /// What is free now or soon. One that must be `sure` does not count on
    /// runs that end by themselves: their worker may slow down.
    pub fn near(&self, sure: bool) -> Need {
        let mut near = self.free;
        near.give(&self.stopping);
        if !sure {
            near.give(&self.ending);
        }
        near
    }

    /// Sets room aside: what is free, and beyond that what is free soon.
    pub fn reserve(&mut self, need: &Need) {
        let mut rest = *need;
        for room in [&mut self.free, &mut self.stopping, &mut self.ending] {
            let had = *room;
            room.take(&rest);
            rest.take(&had);
        }
    }
}

/// Work that may be taken away from a worker.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// Names the unit that stops as a whole: a task, or a gang, which may
    /// hold places on several workers.
    pub unit: u64,
    /// What it takes here.
    pub need: Need,
    /// What it gives way to.
    pub hold: Hold,
    /// What stopping the whole unit loses, in core-milliseconds.
    pub loss: u64,
    /// It is counted in [`Spot::ending`], too.
    pub ending: bool,
}
