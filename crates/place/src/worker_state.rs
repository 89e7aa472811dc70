use quincewheel_job::{Incarnation, Resources};

use crate::protection::Protection;

/// A worker in the snapshot on which placement decides.
#[derive(Clone, Debug, Default)]
pub struct WorkerState {
    /// The name of the worker's agent.
    pub name: String,
    /// The incarnation of the worker.
    pub incarnation: Incarnation,
    /// The pool it belongs to.
    pub pool: String,
    /// Its rack.
    pub rack: String,
    /// Its labels.
    pub labels: Vec<String>,
    /// Its total resources.
    pub capacity: Resources,
    /// Its free resources.
    pub free: Resources,
    /// Resources of runs that are being stopped.
    pub stopping: Resources,
    /// Resources of runs that, by their progress, end about as soon as a stop would end them.
    pub ending: Resources,
    /// Tasks are placed here only if no other worker has room.
    pub deprioritized: bool,
    /// Preference among workers that are as good otherwise, lowest first: how slow the worker is,
    /// or how fast it is for work that leaves fast workers to others.
    pub speed_cost: i32,
    /// Work that may be preempted.
    pub preemptible: Vec<Preemptible>,
}

impl WorkerState {
    /// Resources that are free now or soon. With `ignores_ending`, runs that are about to end are
    /// left out, since a slow worker may delay their end.
    pub fn available_soon(&self, ignores_ending: bool) -> Resources {
        let mut room = self.free;
        room.add(&self.stopping);
        if !ignores_ending {
            room.add(&self.ending);
        }
        room
    }

    /// Reserves resources: free ones first, then those that are free soon.
    pub fn reserve(&mut self, need: &Resources) {
        let mut rest = *need;
        for room in [&mut self.free, &mut self.stopping, &mut self.ending] {
            let before = *room;
            room.subtract(&rest);
            rest.subtract(&before);
        }
    }
}

/// Work on a worker that may be preempted.
#[derive(Clone, Debug, Default)]
pub struct Preemptible {
    /// The unit that is stopped as a whole: a task, or a gang, which may run on several workers.
    pub unit: u64,
    /// The resources that it holds on this worker.
    pub need: Resources,
    /// Its protection against preemption.
    pub protection: Protection,
    /// The work that is lost if the whole unit is stopped, in core-milliseconds.
    pub loss: u64,
    /// It is also counted in [`WorkerState::ending`].
    pub ending: bool,
}
