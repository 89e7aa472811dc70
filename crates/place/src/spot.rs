use quincewheel_job::Need;

/// A worker as the decisions see it.
#[derive(Clone, Debug, Default)]
pub struct Spot {
    /// Names the worker's agent.
    pub name: String,
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
    /// Its doubtful health: work goes elsewhere if it can.
    pub doubtful: bool,
    /// What could be taken away.
    pub holders: Vec<Holder>,
}

/// Work that may be taken away from a worker.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// Names the unit that stops as a whole: a task, or a gang, which may
    /// hold places on several workers.
    pub unit: u64,
    /// What it takes here.
    pub need: Need,
    /// It borrows what is guaranteed to others, at the same priority as theirs:
    /// it gives way to a guarantee only.
    pub borrows: bool,
    /// What stopping the whole unit loses, in core-milliseconds.
    pub loss: u64,
}
