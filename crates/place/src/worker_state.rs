use quincewheel_job::{Incarnation, Resources};

use crate::protection::Protection;

/// A worker as the decisions see it.
#[derive(Clone, Debug, Default)]
pub struct WorkerState {
    /// Names the worker's agent.
    pub name: String,
    /// Which incarnation of the worker it is.
    pub incarnation: Incarnation,
    /// The pool it belongs to.
    pub pool: String,
    /// The rack it stands in.
    pub rack: String,
    /// Its labels.
    pub labels: Vec<String>,
    /// What it has in all.
    pub capacity: Resources,
    /// What is free.
    pub free: Resources,
    /// What becomes free because runs are being stopped.
    pub stopping: Resources,
    /// What becomes free about as soon as a stop would make it so, because runs
    /// end by themselves, going by their progress.
    pub ending: Resources,
    /// Its doubtful health: work goes elsewhere if it can.
    pub deprioritized: bool,
    /// What could be taken away.
    pub preemptible: Vec<Preemptible>,
}

impl WorkerState {
    /// What is free now or soon. One that must be `sure` does not count on
    /// runs that end by themselves: their worker may slow down.
    pub fn available_soon(&self, ignores_ending: bool) -> Resources {
        let mut room = self.free;
        room.add(&self.stopping);
        if !ignores_ending {
            room.add(&self.ending);
        }
        room
    }

    /// Sets room aside: what is free, and beyond that what is free soon.
    pub fn reserve(&mut self, need: &Resources) {
        let mut rest = *need;
        for room in [&mut self.free, &mut self.stopping, &mut self.ending] {
            let before = *room;
            room.subtract(&rest);
            rest.subtract(&before);
        }
    }
}

/// Work that may be taken away from a worker.
#[derive(Clone, Debug, Default)]
pub struct Preemptible {
    /// Names the unit that stops as a whole: a task, or a gang, which may
    /// hold places on several workers.
    pub unit: u64,
    /// What it takes here.
    pub need: Resources,
    /// What it gives way to.
    pub protection: Protection,
    /// What stopping the whole unit loses, in core-milliseconds.
    pub loss: u64,
    /// It is counted in [`Spot::ending`], too.
    pub ending: bool,
}
