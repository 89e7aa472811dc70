use quincewheel_job::Id;
use quincewheel_policy::Rank;

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
    /// Their own work, in core-milliseconds: what stopping others may cost.
    pub work: u64,
    /// One of them may crash the workers that start it.
    pub suspect: bool,
    /// Lower comes first.
    pub rank: Rank,
}

impl Candidate {
    /// Tasks of a step, each of which is so much `work`, and whether they are suspected.
    pub fn new(
        id: &Id,
        (occurrence, step): (u32, u32),
        (tasks, suspect): (Vec<u32>, bool),
        rank: Rank,
        work: u64,
    ) -> Candidate {
        let work = work * tasks.len() as u64;
        Candidate { id: id.clone(), occurrence, step, tasks, work, suspect, rank }
    }

    /// The team's guarantee covers them: room is made for them if need be.
    pub fn guaranteed(&self) -> bool {
        !self.rank.borrowed
    }
}
