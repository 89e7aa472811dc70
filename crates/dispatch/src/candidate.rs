use quincewheel_job::Id;
use quincewheel_policy::Rank;

/// Tasks of one step that could start now. They are placed together.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// Id of the job.
    pub id: Id,
    /// The occurrence; always 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
    /// Indexes of the tasks in the step.
    pub tasks: Vec<u32>,
    /// Expected work of the tasks in core-milliseconds. It limits how much work of others may
    /// be lost by preemption.
    pub work: u64,
    /// The accelerators that the tasks need together.
    pub accelerators: u64,
    /// Whether one of the tasks may crash the workers that start it.
    pub suspect: bool,
    /// Candidates are placed in ascending order of rank.
    pub rank: Rank,
}

impl Candidate {
    /// Creates a candidate. `work` is that of one task, `accelerators` what all tasks need.
    pub fn new(
        id: &Id,
        (occurrence, step): (u32, u32),
        (tasks, suspect): (Vec<u32>, bool),
        rank: Rank,
        (work, accelerators): (u64, u64),
    ) -> Candidate {
        let work = work * tasks.len() as u64;
        Candidate { id: id.clone(), occurrence, step, tasks, work, accelerators, suspect, rank }
    }

    /// Returns whether the tasks are covered by their team's guarantee.
    pub fn guaranteed(&self) -> bool {
        !self.rank.borrowed
    }
}
