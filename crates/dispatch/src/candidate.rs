use quincewheel_job::Id;

/// Tasks of one step that could start now.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// Their job.
    pub id: Id,
    /// Which time of a scheduled job.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The tasks, by index.
    pub tasks: Vec<u32>,
    /// The team's guarantee covers them: room is made for them if need be.
    pub guaranteed: bool,
    /// Their own work, in core-milliseconds: what stopping others may cost.
    pub work: u64,
    /// Lower comes first.
    pub rank: Rank,
}

impl Candidate {
    /// Until when it leaves whole workers to work that has less time, in
    /// milliseconds since 1970; none if it never does.
    pub fn waits_until(&self) -> Option<u64> {
        let until = u64::try_from(self.rank.latest - EASE).ok();
        until.filter(|_| self.rank.priority > 0)
    }

    /// True if work of others is stopped for them. A late job that took room
    /// would earn little by it, and would be stopped for in turn: where all did,
    /// one day threw away more work than it did.
    pub fn takes_room(&self) -> bool {
        self.guaranteed || (self.rank.priority == 0 && self.rank.hope == Hope::InTime)
    }
}

/// Orders candidates: covered by a guarantee, then by priority, then by what
/// they can still earn, then by how soon they must start to end within their
/// objective. With what they can earn before the priority, mean worth fell from
/// 0.80 to 0.72 and from 0.75 to 0.69 (four seeds of each standard day).
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    pub borrowed: bool,
    pub priority: u32,
    pub hope: Hope,
    pub latest: i64,
    pub version: u64,
}

/// What a job can still earn. One that is late earns a fourth or so of one that
/// is not, whatever its priority; one that is hopeless only has to end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Hope {
    InTime,
    Late,
    Hopeless,
}

/// Work that need not start for so many milliseconds leaves whole workers to
/// work that must. Longer than most urgent work takes, so that what it waited
/// for is free again by then.
const EASE: i64 = 3000;
