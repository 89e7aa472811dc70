/// Orders steps: covered by a guarantee, then by priority, then by what
/// they can still earn, then by how soon they must start to end within their
/// objective. With what they can earn before the priority, mean worth fell from
/// 0.80 to 0.72 and from 0.75 to 0.69 (four seeds of each standard day).
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// No guarantee of its team covers it.
    pub borrowed: bool,
    /// Its queue's; 0 comes first.
    pub priority: u32,
    /// What its job can still earn.
    pub lateness: Lateness,
    /// The latest start, in milliseconds since 1970, that keeps its objective.
    pub latest_start: i64,
    /// Orders jobs by when they were accepted.
    pub version: u64,
}

/// What a job can still earn. One that is late earns a fourth or so of one that
/// is not, whatever its priority; one that is hopeless only has to end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Lateness {
    /// It can end within its objective.
    InTime,
    /// It can end while it still earns something.
    Late,
    /// It cannot.
    Expired,
}

/// Work that need not start for so many milliseconds leaves whole workers to
/// work that must. Longer than most urgent work takes, so that what it waited
/// for is free again by then.
const EASE: i64 = 3000;

impl Rank {
    /// Until when it leaves whole workers to work that has less time, in
    /// milliseconds since 1970; none if it never does.
    pub fn yields_workers_until(&self) -> Option<u64> {
        let until = u64::try_from(self.latest_start - EASE).ok();
        until.filter(|_| self.priority > 0)
    }

    /// True if work of others is stopped for it. A late job that took room
    /// would earn little by it, and would be stopped for in turn: where all did,
    /// one day threw away more work than it did.
    pub fn may_preempt(&self) -> bool {
        !self.borrowed || (self.priority == 0 && self.lateness == Lateness::InTime)
    }
}
