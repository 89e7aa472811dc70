use quincewheel_job::Resources;

/// What is in use of a pool by the runs that may exist: of all its known workers, and of those that
/// are open.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    capacity: Resources,
    used: Resources,
    open_capacity: Resources,
    open_used: Resources,
}

impl Load {
    /// Adds a worker of this capacity.
    pub fn add_worker(&mut self, capacity: &Resources, open: bool) {
        self.capacity.add(capacity);
        if open {
            self.open_capacity.add(capacity);
        }
    }

    /// Adds a run on a worker.
    pub fn add_run(&mut self, need: &Resources, open: bool) {
        self.used.add(need);
        if open {
            self.open_used.add(need);
        }
    }

    /// Returns whether under half is in use of the workers, all or the open ones: of the
    /// accelerators for tasks that need any, else of the processors or the memory. Processors are
    /// left over where all accelerators are in use.
    pub fn is_under_half_used(&self, accelerated: bool) -> bool {
        let under_half = |used: &Resources, all: &Resources| match accelerated {
            true => used.accelerators * 2 < all.accelerators,
            false => used.cpu * 2 < all.cpu || used.memory * 2 < all.memory,
        };
        under_half(&self.used, &self.capacity) || under_half(&self.open_used, &self.open_capacity)
    }
}
